"""Backoff for instances whose replies timed out."""

import time
from collections.abc import Callable

import attrs

#: an instance is skipped for this long after a timeout, doubled with each further
#: timeout in a row. The first pause is short, since a single lost datagram should
#: not split a key's state between two owners for long.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0


@attrs.define
class _Backoff:
    """Backoff of one instance.

    :param timeouts: timeouts since its last reply.
    :param until_s: the instance is skipped until then.
    """

    timeouts: int = 0
    until_s: float = 0.0


class UnresponsivePeers:
    """Skips instances whose replies timed out, with exponential backoff.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}

    def is_skipped(self, name: str) -> bool:
        """Return whether an instance is to be skipped now."""
        backoff = self._backoffs.get(name)
        return backoff is not None and backoff.until_s > self._clock()

    def note_reply(self, name: str) -> None:
        """Record a reply of an instance, which ends its backoff."""
        self._backoffs.pop(name, None)

    def note_timeout(self, name: str) -> float:
        """Record a timeout of an instance; return how long to skip it, in seconds."""
        backoff = self._backoffs.setdefault(name, _Backoff())
        backoff.timeouts += 1
        pause_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (backoff.timeouts - 1))
        backoff.until_s = self._clock() + pause_s
        return pause_s
