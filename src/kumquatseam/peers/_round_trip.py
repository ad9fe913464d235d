"""Timeout of calls, from measured round-trip times."""

#: weights of the newest sample in the mean and in the deviation, and the number of
#: deviations in the timeout: those of TCP's retransmission timer (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4.0
#: timeout before the first sample.
FIRST_TIMEOUT_S = 0.03
#: shortest timeout: a process that is busy with a request replies this late.
MIN_TIMEOUT_S = 0.012
#: longest timeout: a tenth of the shortest usual target time to the first token,
#: since placing a request without the reply is better than placing it late.
MAX_TIMEOUT_S = 0.05


class RoundTripEstimate:
    """Smoothed round-trip time of the replies of other instances."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, took_s: float) -> None:
        """Add a measured round-trip time."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call."""
        if self._mean_s is None:
            return FIRST_TIMEOUT_S
        expected_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, expected_s))
