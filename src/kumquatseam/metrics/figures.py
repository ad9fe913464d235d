"""Statistics of requests, with HDR histograms of the time to first token."""

import attrs

from kumquatseam.metrics._latency import LatencyHistogram

_SIGNIFICANT_DIGITS = 3


@attrs.frozen
class RequestStatisticsSummary:
    """Statistics over a set of requests.

    :param requests: number of answered requests.
    :param refused: number of refused requests.
    :param prompt_tokens: prompt tokens over all answered requests.
    :param cached_tokens: prompt tokens served from an engine's cache.
    :param wasted_recompute_tokens: prompt tokens that were prefilled although a live
        engine of the fleet had them cached under the same scope.
    :param ttft_p50_ms: median time to first token.
    :param ttft_p95_ms: 95th percentile of the time to first token.
    :param ttft_p99_ms: 99th percentile of the time to first token.
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
    """Accumulates statistics of requests."""

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
        :param prompt_tokens: number of prompt tokens.
        :param cached_tokens: prompt tokens served from cache.
        :param wasted_tokens: prompt tokens recomputed although cached elsewhere.
        """
        self.record_ttft(ttft_s)
        self.record_tokens(prompt_tokens, cached_tokens, wasted_tokens)

    def record_ttft(self, ttft_s: float, priority_class: str = "") -> None:
        """Record the time to first token of one request."""
        self._ttft.record(ttft_s)
        if priority_class:
            histogram = self._class_ttft.get(priority_class)
            if histogram is None:
                histogram = LatencyHistogram(_SIGNIFICANT_DIGITS)
                self._class_ttft[priority_class] = histogram
            histogram.record(ttft_s)

    def record_tokens(
        self, prompt_tokens: int, cached_tokens: int, wasted_tokens: int = 0
    ) -> None:
        """Record the prompt tokens of one answered request."""
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
        """Return the statistics of the requests recorded so far."""
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
