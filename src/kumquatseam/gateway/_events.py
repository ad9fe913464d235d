"""Split a stream of server-sent events into complete events."""

_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Splits the bytes of a stream at the ends of events.

    A stream can be resumed on another engine only between two events, so an event
    is held back until it is complete.

    :param last_id: id of the last event already forwarded, ``""`` for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Add ``data``; return the events that are complete now."""
        self._pending += data
        end = max(_end_after(self._pending, sep) for sep in _SEPARATORS)
        complete, self._pending = self._pending[:end], self._pending[end:]
        if complete:
            self._record_last_id(complete)
        return complete

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at the end of a stream."""
        rest, self._pending = self._pending, b""
        return rest

    def drop_partial(self) -> None:
        """Discard an incomplete event of an interrupted stream."""
        self._pending = b""

    def _record_last_id(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")


def _end_after(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return found + len(separator) if found >= 0 else 0
