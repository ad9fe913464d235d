"""Find another response in a body whose end is that of its connection."""

import enum
import re
from collections.abc import Container

#: how every response begins.
_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?")
#: a status line that is not complete.
_STATUS_LINE_PART = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-5](?:[0-9](?:[0-9](?: [^\r\n]*)?\r?)?)?)?)?)?"
)
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*?)[ \t]*\r?")
#: longest head; longer ones count as body.
_MAX_HEAD_BYTES = 16_384
#: at the end of a body, this much of a response's start is not taken for body.
_MIN_PART = b"HTTP/"


class _Verdict(enum.Enum):
    """Whether bytes that look like a response are one."""

    BODY = "body"
    RESPONSE = "response"
    UNDECIDED = "undecided"


class SecondResponseFinder:
    """Tells the body of a response from another response behind it.

    The body ends with its connection, so the connection's framing does not tell them
    apart. Another response is recognised by its head, which bears the id of a request
    that was sent on the connection; a body may quote any other one.

    :param id_header: lower-case name of the header that bears the id.
    :param request_ids: the ids of the requests on the connection.
    """

    def __init__(self, id_header: bytes, request_ids: Container[str]) -> None:
        self._id_header = id_header
        self._request_ids = request_ids
        self._held = b""
        #: where the body of the other response begins in what is held.
        self._second_start: int | None = None
        self.has_found = False

    @property
    def second_body(self) -> bytes | None:
        """What was received of the other response's body; ``None`` without its head."""
        start = self._second_start
        return None if start is None else self._held[start:]

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that are body, and hold back what may not be."""
        self._held += data
        if self.has_found:
            return b""
        position = 0
        while (start := self._held.find(_START, position)) >= 0:
            verdict, position = self._judge(start)
            if verdict is _Verdict.RESPONSE:
                self.has_found = True
                self._second_start = position - start
                return self._release(start)
            if verdict is _Verdict.UNDECIDED:
                return self._release(start)
        return self._release(len(self._held) - _overlap(self._held, _START))

    def finish(self) -> bytes:
        """Return the rest of the body, at the end of the connection.

        A response that has begun counts as one, though its id may not have arrived.
        """
        if self.has_found:
            return b""
        rest, self._held = self._held, b""
        if rest.startswith(_MIN_PART):
            self.has_found = True
            return b""
        return rest

    def _release(self, end: int) -> bytes:
        body, self._held = self._held[:end], self._held[end:]
        return body

    def _judge(self, start: int) -> tuple[_Verdict, int]:
        """Judge what may be a head.

        :returns: the verdict, and the end of the head, or where to go on if it is none:
            what begins before has the same end, so it is none either.
        """
        line_start, expected = start, _STATUS_LINE
        is_own = False
        while (line_end := self._held.find(b"\n", line_start)) >= 0:
            line = self._held[line_start:line_end]
            if expected is _FIELD and line in (b"", b"\r"):
                return (_Verdict.RESPONSE if is_own else _Verdict.BODY), line_end + 1
            match = expected.fullmatch(line)
            if match is None or line_end - start > _MAX_HEAD_BYTES:
                # This line may itself be the first one of a response.
                return _Verdict.BODY, max(line_start, start + 1)
            if expected is _FIELD:
                is_own = is_own or self._is_own(match)
            line_start, expected = line_end + 1, _FIELD
        rest = self._held[line_start:]
        is_possible = expected is _FIELD or _STATUS_LINE_PART.fullmatch(rest)
        if is_possible and len(self._held) - start <= _MAX_HEAD_BYTES:
            return _Verdict.UNDECIDED, start
        return _Verdict.BODY, max(line_start, start + 1)

    def _is_own(self, field: re.Match) -> bool:
        name, value = field.groups()
        is_id = name.lower() == self._id_header
        return is_id and value.decode("latin-1") in self._request_ids


def _overlap(data: bytes, start: bytes) -> int:
    """Return the length of the longest end of ``data`` with which ``start`` begins."""
    for length in range(len(start) - 1, 0, -1):
        if data.endswith(start[:length]):
            return length
    return 0
