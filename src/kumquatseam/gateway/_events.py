"""Splitting an event stream into whole events."""

_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Cuts a stream's bytes at the ends of events.

    A stream that is to go on at another engine may only be cut between two
    events, so an event is held back until it is whole.

    :param last_id: id of the last event already passed on, ``""`` for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events completed by ``data``."""
        self._pending += data
        end = max(_end_after(self._pending, sep) for sep in _SEPARATORS)
        whole, self._pending = self._pending[:end], self._pending[end:]
        if whole:
            self._note_ids(whole)
        return whole

    def rest(self) -> bytes:
        """Return what follows the last whole event, at a stream's end."""
        rest, self._pending = self._pending, b""
        return rest

    def drop_partial(self) -> None:
        """Forget an event that broke off."""
        self._pending = b""

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")


def _end_after(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return found + len(separator) if found >= 0 else 0
