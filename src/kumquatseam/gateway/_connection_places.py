"""Which connection gives way to a new one; loaded when all places are first taken."""

import collections
import time

import gevent

from kumquatseam.http1 import BadRequestError, IdleConnectionError, RequestReader
from kumquatseam.logs import part_logger

_log = part_logger("server")

#: how long a first request may take once it has begun. A connection on which none has
#: gives way at once: clients send their first request as soon as they are connected.
FIRST_REQUEST_S = 1.0
#: how long a connection that has brought a request may wait for the next one.
KEPT_IDLE_S = 5.0
#: connections that a search finds at most.
MAX_FOUND = 64
#: pause after a search that found none, as a multiple of the time that it took.
SEARCH_PAUSE_FACTOR = 10.0
#: shortest time between two lines that say so in the log.
LOG_INTERVAL_S = 10.0


class ConnectionPlaces:
    """Closes connections that take places and send nothing, or hardly anything.

    Those that never brought a request go first, then those that have been idle or
    unfinished for longest.

    :param readers: what reads the requests of the open connections, by its greenlet.
    """

    def __init__(self, readers: dict[gevent.Greenlet, RequestReader]) -> None:
        self._readers = readers
        self._found: collections.deque = collections.deque()
        self._search_at_s = self._log_at_s = 0.0
        #: connections that gave way.
        self.freed = 0

    def free_one(self) -> bool:
        """Begin to close a connection; return whether there is one to close."""
        now_s = time.monotonic()
        while self._found or now_s >= self._search_at_s:
            if not self._found:
                self._search(now_s)
                continue
            greenlet, reader, since_s = self._found.popleft()
            if reader.waits_since_s == since_s:
                loop = gevent.get_hub().loop
                loop.run_callback(_close, greenlet, reader, since_s)
                self.freed += 1
                return True
        return False

    def _search(self, now_s: float) -> None:
        idle = [
            (greenlet, reader, reader.waits_since_s)
            for greenlet, reader in self._readers.items()
            if reader.waits_since_s is not None
            and now_s - reader.waits_since_s >= _allowed_s(reader)
        ]
        idle.sort(key=lambda entry: (entry[1].requests_read > 0, entry[2]))
        self._found.extend(idle[:MAX_FOUND])
        if not idle:
            ended_s = time.monotonic()
            self._search_at_s = ended_s + SEARCH_PAUSE_FACTOR * (ended_s - now_s)
        if now_s >= self._log_at_s:
            self._log_at_s = now_s + LOG_INTERVAL_S
            _log.bind(open=len(self._readers), idle=len(idle), freed=self.freed).info(
                "All places are taken: idle connections give way."
            )


def _allowed_s(reader: RequestReader) -> float:
    """Return how long a connection may wait for a request while places are needed."""
    if reader.requests_read:
        return KEPT_IDLE_S
    return FIRST_REQUEST_S if reader.is_reading else 0.0


def _close(greenlet: gevent.Greenlet, reader: RequestReader, since_s: float) -> None:
    """Close a connection that still waits; called by the event loop."""
    if greenlet.dead or reader.waits_since_s != since_s:
        return
    if reader.is_reading:
        error = "request not complete while its place was needed"
        greenlet.throw(BadRequestError(408, error))
    elif not reader.is_in_use():
        greenlet.throw(IdleConnectionError())
