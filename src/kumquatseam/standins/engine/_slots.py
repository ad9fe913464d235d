"""Decode slots handed out by priority, then by arrival."""

import heapq
import itertools

import gevent.event


class PrioritySlots:
    """A counting semaphore whose waiters are woken lowest rank first.

    :param count: slots that run at once.
    """

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, gevent.event.Event]] = []
        self._arrivals = itertools.count()
        self.running = 0

    @property
    def waiting(self) -> int:
        """Requests waiting for a slot."""
        return len(self._waiting)

    def acquire(self, rank: int) -> None:
        """Wait for a slot; ``rank`` 0 is served first."""
        if self._free > 0 and not self._waiting:
            self._free -= 1
        else:
            ready = gevent.event.Event()
            heapq.heappush(self._waiting, (rank, next(self._arrivals), ready))
            ready.wait()
        self.running += 1

    def release(self) -> None:
        """Give a slot back, to the most urgent waiter if any."""
        self.running -= 1
        if self._waiting:
            _, _, ready = heapq.heappop(self._waiting)
            ready.set()
        else:
            self._free += 1
