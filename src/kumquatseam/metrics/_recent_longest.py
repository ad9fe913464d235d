"""The longest of the times that were recorded recently."""

import time
from collections.abc import Callable

#: a time counts for this long at least, and for three times as long at most.
RECENT_S = 30.0
#: time allowed for the next one, as a multiple of the longest one: runs that move, or
#: that wait for processor time, take longer.
_ALLOWANCE = 1.5


class RecentLongest:
    """Keeps the longest time in constant memory.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._since_s = clock()
        self._longest_s = self._longest_before_s = 0.0

    def record(self, took_s: float) -> None:
        """Record a time."""
        self._advance()
        self._longest_s = max(self._longest_s, took_s)

    @property
    def allowed_s(self) -> float:
        """Time to allow for the next one; infinite if none is known."""
        self._advance()
        longest_s = max(self._longest_s, self._longest_before_s)
        return longest_s * _ALLOWANCE or float("inf")

    def _advance(self) -> None:
        """Forget what was recorded before the previous span."""
        age_s = self._clock() - self._since_s
        if age_s >= RECENT_S:
            self._longest_before_s = self._longest_s if age_s < 2 * RECENT_S else 0.0
            self._longest_s = 0.0
            self._since_s += age_s
