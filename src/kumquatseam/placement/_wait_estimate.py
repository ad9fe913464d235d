"""Correction of the modelled time to the first event by observed times.

Under load an engine takes longer than the number of unread prompt tokens suggests: it
prefills them between the decoding steps of other requests, and long prompts take more
than their share. The difference varies by engine, with the mix of requests and from
minute to minute, so it is fitted to requests sent and their first events. Without the
correction, most requests admitted under overload miss their target latency by a little.
"""

import attrs

#: number of answers that sets how fast old ones lose weight: a few seconds of an
#: instance's requests, so that the estimate follows a change of load.
MEMORY_ANSWERS = 40
#: prior, as a number of answers that came as modelled, and the spread of their waits.
PRIOR_ANSWERS = 6
PRIOR_SPREAD_MS = 300.0
#: limits of the slope of observed over modelled waits.
MIN_SLOPE = 0.7
MAX_SLOPE = 4.0
#: upper limit of the time that an answer takes with no modelled wait.
MAX_BASE_MS = 400.0
#: observed waits are capped at this many times the expected wait plus this time; a
#: longer wait indicates a failure and not load.
OUTLIER_FACTOR = 4.0
OUTLIER_MS = 1000.0


@attrs.define
class WaitEstimate:
    """Least-squares line through modelled and observed waits, weighted by recency.

    Reads no clock and does no input or output.
    """

    _weight: float = PRIOR_ANSWERS
    _modelled: float = PRIOR_ANSWERS * PRIOR_SPREAD_MS
    _observed: float = PRIOR_ANSWERS * PRIOR_SPREAD_MS
    _squares: float = PRIOR_ANSWERS * 2 * PRIOR_SPREAD_MS**2
    _products: float = PRIOR_ANSWERS * 2 * PRIOR_SPREAD_MS**2

    def observe(self, modelled_ms: float, observed_ms: float) -> None:
        """Update the line with the observed wait of one request.

        :param modelled_ms: the wait that the model gave for it.
        """
        max_observed_ms = self.expected_ms(modelled_ms) * OUTLIER_FACTOR + OUTLIER_MS
        observed_ms = min(observed_ms, max_observed_ms)
        decay = 1 - 1 / MEMORY_ANSWERS
        self._weight = self._weight * decay + 1
        self._modelled = self._modelled * decay + modelled_ms
        self._observed = self._observed * decay + observed_ms
        self._squares = self._squares * decay + modelled_ms**2
        self._products = self._products * decay + modelled_ms * observed_ms

    def expected_ms(self, modelled_ms: float) -> float:
        """Return the expected real wait for a modelled wait."""
        slope, base_ms = self._line()
        return base_ms + slope * modelled_ms

    def modelled_ms(self, expected_ms: float) -> float:
        """Return the modelled wait that corresponds to an expected real wait."""
        slope, base_ms = self._line()
        return max(0.0, (expected_ms - base_ms) / slope)

    def _line(self) -> tuple[float, float]:
        """Return the slope and the intercept of the line."""
        mean_modelled = self._modelled / self._weight
        mean_observed = self._observed / self._weight
        variance = self._squares / self._weight - mean_modelled**2
        covariance = self._products / self._weight - mean_modelled * mean_observed
        slope = covariance / variance if variance > 1.0 else 1.0
        slope = min(MAX_SLOPE, max(MIN_SLOPE, slope))
        base_ms = mean_observed - slope * mean_modelled
        return slope, min(MAX_BASE_MS, max(0.0, base_ms))
