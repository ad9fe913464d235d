"""How long an answer is waited for."""

#: weights of the newest measurement in the mean and in the deviation, and how
#: many deviations are waited for: those of TCP's retransmission timer (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4.0
#: wait before anything was measured.
FIRST_TIMEOUT_S = 0.03
#: shortest wait: a process that serves a request meanwhile answers this late.
MIN_TIMEOUT_S = 0.012
#: longest wait: a tenth of the shortest usual time that a first answer is aimed
#: at, since a request is better placed blindly than late.
MAX_TIMEOUT_S = 0.05


class RoundTripEstimate:
    """How long answers of other instances take, from those that came."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def note(self, took_s: float) -> None:
        """Take in how long an answer took."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    @property
    def timeout_s(self) -> float:
        """How long to wait for the next answer."""
        if self._mean_s is None:
            return FIRST_TIMEOUT_S
        expected_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, expected_s))
