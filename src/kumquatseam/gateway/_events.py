"""Split a stream of server-sent events into complete events."""

import re

#: the end of an event: a blank line, with any line ends. A CR ends a line at once only
#: after another CR; elsewhere it may be the first half of CRLF.
_EVENT_END = re.compile(rb"\r\r\n?|(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?=[^\n]))")
#: blank lines and comments, which belong to no event.
_BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?(?:\r\n|\n|\r(?!\n)))*")
#: a line of an event: a comment, or a field, whose value may be missing.
_LINE = re.compile(rb"(?:\xef\xbb\xbf)?(?:$|:|[A-Za-z][A-Za-z0-9_-]*(?:$|:))")


class EventSplitter:
    """Splits the bytes of a stream at the ends of events.

    A stream can be resumed on another engine only between two events, so an event
    is held back until it is complete. What is no event is not passed on, and nothing
    behind it.

    :param last_id: id of the last event already forwarded, ``""`` for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._pending = b""
        #: whether bytes were received that are no event.
        self.is_spoiled = False

    def feed(self, data: bytes) -> bytes:
        """Add ``data``; return the events that are complete now."""
        if self.is_spoiled:
            return b""
        self._pending += data
        end = _last_event_end(self._pending)
        complete, self._pending = self._pending[:end], self._pending[end:]
        valid = _valid_events(complete)
        self.is_spoiled = len(valid) < len(complete)
        self._record_last_id(valid)
        return valid

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event was received, and not its end."""
        return _BETWEEN_EVENTS.fullmatch(self._pending) is None

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at the end of a stream."""
        rest, self._pending = self._pending, b""
        return rest

    def drop_partial(self) -> None:
        """Discard what is no complete event of an interrupted stream."""
        self._pending = b""
        self.is_spoiled = False

    def _record_last_id(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")


def _valid_events(complete: bytes) -> bytes:
    """Return the events before the first one with a line that belongs to none."""
    start = 0
    for line in complete.splitlines(keepends=True):
        if not _LINE.match(line.rstrip(b"\r\n")):
            return complete[: _last_event_end(complete[:start])]
        start += len(line)
    return complete


def _last_event_end(data: bytes) -> int:
    """Return the index behind the last complete event; 0 if there is none."""
    if b"\r" not in data:
        found = data.rfind(b"\n\n")
        return found + 2 if found >= 0 else 0
    end = 0
    for match in _EVENT_END.finditer(data):
        end = match.end()
    return end
