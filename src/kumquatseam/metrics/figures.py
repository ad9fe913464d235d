"""Recording request figures in HDR histograms."""

import attrs

from kumquatseam.metrics._latency import LatencyHistogram

_SIGNIFICANT_DIGITS = 3


@attrs.frozen
class RequestStatisticsSummary:
    """The users' measures over a set of requests.

    :param requests: requests answered.
    :param refused: requests refused.
    :param prompt_tokens: prompt tokens over all answered requests.
    :param cached_tokens: of those, tokens served from an engine's cache.
    :param wasted_recompute_tokens: prompt tokens prefilled again though a
        live engine of the fleet held them under the same scope.
    :param ttft_p50_ms: median time to first token.
    :param ttft_p95_ms: 95th percentile.
    :param ttft_p99_ms: 99th percentile.
    """

    requests: int
    refused: int
    prompt_tokens: int
    cached_tokens: int
    wasted_recompute_tokens: int
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float

    @property
    def prefix_hit_rate(self) -> float:
        """Share of prompt tokens served from cache, 0 to 1."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0


class RequestStatistics:
    """Accumulates figures request by request."""

    def __init__(self) -> None:
        self._ttft = LatencyHistogram(_SIGNIFICANT_DIGITS)
        self._class_ttft: dict[str, LatencyHistogram] = {}
        self._requests = 0
        self._refused = 0
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._wasted_tokens = 0

    def record(
        self,
        ttft_s: float,
        prompt_tokens: int,
        cached_tokens: int,
        wasted_tokens: int = 0,
    ) -> None:
        """Record one answered request.

        :param ttft_s: time to first token in seconds.
        :param prompt_tokens: its prompt tokens.
        :param cached_tokens: of those, served from cache.
        :param wasted_tokens: of those, recomputed though cached elsewhere.
        """
        self.record_ttft(ttft_s)
        self.record_tokens(prompt_tokens, cached_tokens, wasted_tokens)

    def record_ttft(self, ttft_s: float, priority_class: str = "") -> None:
        """Record one request's time to first token."""
        self._ttft.record(ttft_s)
        if priority_class:
            of_class = self._class_ttft.get(priority_class)
            if of_class is None:
                of_class = LatencyHistogram(_SIGNIFICANT_DIGITS)
                self._class_ttft[priority_class] = of_class
            of_class.record(ttft_s)

    def record_tokens(
        self, prompt_tokens: int, cached_tokens: int, wasted_tokens: int = 0
    ) -> None:
        """Record the prompt of one answered request."""
        self._requests += 1
        self._prompt_tokens += prompt_tokens
        self._cached_tokens += cached_tokens
        self._wasted_tokens += wasted_tokens

    def class_ttft_ms(self, percentile: float) -> dict[str, float]:
        """Return a percentile of the time to first token, per priority class."""
        return {
            name: histogram.percentile_us(percentile) / 1000.0
            for name, histogram in self._class_ttft.items()
        }

    def record_refusal(self) -> None:
        """Record one refused request."""
        self._refused += 1

    def summary(self) -> RequestStatisticsSummary:
        """Return the figures so far."""
        return RequestStatisticsSummary(
            requests=self._requests,
            refused=self._refused,
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            wasted_recompute_tokens=self._wasted_tokens,
            ttft_p50_ms=self._percentile_ms(50),
            ttft_p95_ms=self._percentile_ms(95),
            ttft_p99_ms=self._percentile_ms(99),
        )

    def _percentile_ms(self, percentile: float) -> float:
        return self._ttft.percentile_us(percentile) / 1000.0
