"""How many requests a brittle upstream is trusted to take at once."""

import collections
import math

#: for how long the window takes the requests that run already for accepted, after the
#: upstream became brittle.
SETTLE_S = 0.3
#: time without growth after a refusal; doubles with each further one.
MIN_GROWTH_PAUSE_S = 1.0
MAX_GROWTH_PAUSE_S = 8.0
#: after this long without a refusal, the next one counts as the first.
FORGIVE_S = 10.0
#: interval at which the window grows beyond the upstream's slots.
QUEUE_GROWTH_INTERVAL_S = 1.0
#: slots for each request that is tried beyond them, so that the upstream does not
#: stand idle until the next one arrives.
SLOTS_PER_QUEUED = 6
#: a try that fails is a refusal, so upstreams that bear fewer are spared.
MIN_BEARABLE_FOR_TRIES = 4.0
#: share of the bearable refusals after which nothing is sent until they are over. What
#: is on its way by then may be refused as well.
MAX_REFUSED_SHARE = 0.75
#: time in which refusals add up.
REFUSAL_WINDOW_S = 1.0


class AdmissionWindow:
    """Grows with what the upstream accepts and shrinks when it refuses.

    It starts with as many requests as may be refused without harm. How many more may
    wait at the upstream is not announced and changes, so it is tried out.

    :param now_s: the current time.
    """

    def __init__(self, now_s: float) -> None:
        self._slots = 1
        self._bearable_per_s = 0.0
        self._started_s = now_s
        self._size = 0.0
        self._refused_s: collections.deque[float] = collections.deque()
        self._last_refused_s = float("-inf")
        self._grows_from_s = now_s
        self._growth_pause_s = MIN_GROWTH_PAUSE_S
        self._queue_grown_s = now_s

    @property
    def size(self) -> int:
        """The most requests that may run or wait there at once."""
        return max(1, int(self._size))

    def set_upstream(self, slots: int, bearable_per_s: float) -> None:
        """Set how many requests the upstream runs at once, and refusals it bears."""
        self._slots = max(1, slots)
        self._bearable_per_s = bearable_per_s
        if not self._size:
            self._size = max(1.0, min(bearable_per_s, self._slots))

    def note_running(self, running: int, now_s: float) -> None:
        """Record how many requests run there, as far as instances have told."""
        if now_s < self._started_s + SETTLE_S:
            self._size = max(self._size, min(running, self._slots))

    def note_completed(self, count: int, running_before: int, now_s: float) -> None:
        """Record requests that ended without a refusal.

        :param running_before: requests that ran before they ended. Only a window that
            was full has been tried.
        """
        if running_before < self.size or now_s < self._grows_from_s:
            return
        if self._size < self._slots:
            self._size = min(self._slots, self._size + count)
        elif (
            self._size < self._slots + self._max_queued
            and now_s >= self._queue_grown_s + QUEUE_GROWTH_INTERVAL_S
        ):
            self._queue_grown_s = now_s
            self._size += 1

    def note_refused(self, count: int, running: int, now_s: float) -> None:
        """Record refusals.

        :param running: requests that run there besides.
        """
        if now_s > self._last_refused_s + FORGIVE_S:
            self._growth_pause_s = MIN_GROWTH_PAUSE_S
        elif now_s >= self._grows_from_s:
            self._growth_pause_s = min(MAX_GROWTH_PAUSE_S, 2 * self._growth_pause_s)
        self._last_refused_s = now_s
        self._refused_s.extend([now_s] * count)
        self._grows_from_s = now_s + self._growth_pause_s
        self._size = max(1.0, min(self._size, running))

    def closed_s(self, now_s: float) -> float:
        """Return for how long nothing may be sent there; 0 if something may."""
        while self._refused_s and self._refused_s[0] <= now_s - REFUSAL_WINDOW_S:
            self._refused_s.popleft()
        most = max(1, math.ceil(self._bearable_per_s * MAX_REFUSED_SHARE))
        if len(self._refused_s) < most:
            return 0.0
        return self._refused_s[-most] + REFUSAL_WINDOW_S - now_s

    @property
    def _max_queued(self) -> int:
        """Requests that are tried beyond the slots."""
        if self._bearable_per_s < MIN_BEARABLE_FOR_TRIES:
            return 0
        return max(1, self._slots // SLOTS_PER_QUEUED)
