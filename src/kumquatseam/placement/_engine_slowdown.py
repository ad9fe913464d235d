"""Estimate of how much slower than expected an engine is to its first event."""

import time
from collections.abc import Callable

#: weight of the newest first event in the moving average.
NEWEST_SHARE = 0.3
#: shorter expected times are raised to this: they say nothing about an engine's speed.
MIN_EXPECTED_S = 0.05
#: upper limit of the slowdown factor.
MAX_FACTOR = 8.0


class EngineSlowdown:
    """Ratio of an engine's time to the first event to the time expected of all.

    Requests that are still waiting count too: they show that an engine has become
    slow before any first event does.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._average = 1.0
        self._waiting: set[SentRequest] = set()

    def note_sent(self, expected_s: float) -> "SentRequest":
        """Record a request that was sent.

        :param expected_s: expected time to its first event.
        """
        request = SentRequest(self, self._clock(), max(MIN_EXPECTED_S, expected_s))
        self._waiting.add(request)
        return request

    def factor(self) -> float:
        """Return how many times slower than expected the engine is, at least 1."""
        now_s = self._clock()
        waited = [request.factor_at(now_s) for request in self._waiting]
        return min(MAX_FACTOR, max(1.0, self._average, *waited))

    def note_first_event(self, request: "SentRequest") -> None:
        """Update the average from a request whose first event arrived."""
        if request in self._waiting:
            factor = min(MAX_FACTOR, request.factor_at(self._clock()))
            self._average += NEWEST_SHARE * (factor - self._average)
            self.discard(request)

    def discard(self, request: "SentRequest") -> None:
        """Stop counting a request that no longer waits."""
        self._waiting.discard(request)


class SentRequest:
    """A request that waits for its first event from an engine.

    :param slowdown: the engine's estimate, updated from this request.
    :param sent_s: when it was sent.
    :param expected_s: expected time to its first event.
    """

    def __init__(
        self, slowdown: EngineSlowdown, sent_s: float, expected_s: float
    ) -> None:
        self._slowdown = slowdown
        self._sent_s = sent_s
        self._expected_s = expected_s

    def factor_at(self, now_s: float) -> float:
        """Return the time waited until ``now_s`` as a multiple of the expected time."""
        return (now_s - self._sent_s) / self._expected_s

    def note_first_event(self) -> None:
        """Record that the first event arrived."""
        self._slowdown.note_first_event(self)

    def end(self) -> None:
        """Record that the request no longer waits, whatever its outcome."""
        self._slowdown.discard(self)
