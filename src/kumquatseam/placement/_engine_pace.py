"""Learning how much longer than expected one engine takes to the first event."""

import time
from collections.abc import Callable

#: share that the newest first event has in what is believed of an engine.
NEWEST_SHARE = 0.3
#: shorter waits tell nothing of an engine's pace.
MIN_EXPECTED_S = 0.05
#: engines are taken for this many times slower than expected at most.
MAX_FACTOR = 8.0


class EnginePace:
    """How much longer one engine takes than is expected of all.

    Requests that still wait tell of an engine that turned slow before any that
    began do.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._learnt = 1.0
        self._waiting: set[SentRequest] = set()

    def note_sent(self, expected_s: float) -> "SentRequest":
        """Note that a request was sent whose first event is expected after a time."""
        request = SentRequest(self, self._clock(), max(MIN_EXPECTED_S, expected_s))
        self._waiting.add(request)
        return request

    def factor(self) -> float:
        """Return how many times as long as expected the engine takes; 1 at least."""
        now_s = self._clock()
        waited = [request.factor_at(now_s) for request in self._waiting]
        return min(MAX_FACTOR, max(1.0, self._learnt, *waited))

    def note_begun(self, request: "SentRequest") -> None:
        """Learn from a request whose first event came."""
        if request in self._waiting:
            factor = min(MAX_FACTOR, request.factor_at(self._clock()))
            self._learnt += NEWEST_SHARE * (factor - self._learnt)
            self.forget(request)

    def forget(self, request: "SentRequest") -> None:
        """Forget a request that waits no longer."""
        self._waiting.discard(request)


class SentRequest:
    """A request that waits for its first event at an engine.

    :param pace: learns from it.
    :param sent_s: when it was sent.
    :param expected_s: how long its first event was expected to take.
    """

    def __init__(self, pace: EnginePace, sent_s: float, expected_s: float) -> None:
        self._pace = pace
        self._sent_s = sent_s
        self._expected_s = expected_s

    def factor_at(self, now_s: float) -> float:
        """Return how many times as long as expected it has waited."""
        return (now_s - self._sent_s) / self._expected_s

    def note_begun(self) -> None:
        """Note that its first event came."""
        self._pace.note_begun(self)

    def end(self) -> None:
        """Note that it waits no longer, whatever came of it."""
        self._pace.forget(self)
