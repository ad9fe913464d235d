"""A clock for tests, and an even rate of callers, which hold beside load."""

import math
import threading
import time

#: shortest sleep of who waits for the clock.
_MIN_SLEEP_S = 0.005


class TestClock:
    """Counts seconds, and stands still where something takes longer than it is to.

    Beside load a process may start for longer than a test is to last. What is due by
    this clock waits for it, and so does patience that is counted by it.
    """

    __test__ = False

    def __init__(self):
        self._started_s = time.monotonic()
        self._stops_at_s = math.inf
        self._lock = threading.Lock()

    @property
    def now_s(self):
        """Seconds since the start, less the time for which it stood still."""
        with self._lock:
            return min(self._counted_s(), self._stops_at_s)

    @property
    def stands_still(self):
        with self._lock:
            return self._counted_s() >= self._stops_at_s

    def wait_for(self, end_s, wait):
        """Call ``wait``, and do not go on beyond ``end_s`` until it returns."""
        with self._lock:
            self._stops_at_s = end_s
        try:
            wait()
        finally:
            with self._lock:
                self._started_s += max(0.0, self._counted_s() - self._stops_at_s)
                self._stops_at_s = math.inf

    def sleep_until(self, at_s):
        """Sleep until it is that late."""
        while (left_s := at_s - self.now_s) > 0:
            time.sleep(max(_MIN_SLEEP_S, left_s))

    def sleep_while_still(self):
        """Sleep until it goes on."""
        while self.stands_still:
            time.sleep(_MIN_SLEEP_S)

    def _counted_s(self):
        return time.monotonic() - self._started_s


def evenly(clock, per_s, for_s):
    """Yield the numbers of what is to begin from the clock's start on, when it is due.

    A pause after each one would add the time that beginning it takes, which beside load
    may be as long as the pause: fewer would begin than the test means to offer.
    """
    for number in range(round(per_s * for_s)):
        clock.sleep_until(number / per_s)
        yield number
