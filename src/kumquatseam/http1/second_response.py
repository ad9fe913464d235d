"""Find another response in a body whose end is that of its connection.

Import it only where such a body is read; most responses have a framing.
"""

import enum
import re
from collections.abc import Callable, Container

import xxhash

from kumquatseam.http1._errors import ResponseInterruptedError
from kumquatseam.http1._messages import ResponseHead

#: how every response begins.
_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?")
#: a status line that is not complete.
_STATUS_LINE_PART = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-5](?:[0-9](?:[0-9](?: [^\r\n]*)?\r?)?)?)?)?)?"
)
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*?)[ \t]*\r?")
#: longest status line, and longest head; what is longer counts as body.
_MAX_STATUS_LINE_BYTES = 256
_MAX_HEAD_BYTES = 16_384
_STATUS_START = len(b"HTTP/1.1 ")
_STATUS_DIGITS = 3


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

    :param head: the first response's head.
    :param reason: the reason phrase of its status line.
    :param id_header: lower-case name of the header that bears the id.
    :param request_ids: the ids of the requests on the connection.
    """

    def __init__(
        self,
        head: ResponseHead,
        reason: bytes,
        id_header: bytes,
        request_ids: Container[str],
    ) -> None:
        self._status = b"%d %b" % (head.status, reason)
        self._names = {name.lower() for name, _ in head.headers.fields}
        self._id_header = id_header
        self._request_ids = request_ids
        self._held = b""
        #: what is known of a head at the start of what is held.
        self._line_start = 0
        self._is_own = False
        self._body_bytes = self._second_bytes = 0
        self._body_hash, self._second_hash = xxhash.xxh3_64(), xxhash.xxh3_64()
        self.has_found = False

    @property
    def is_repeated(self) -> bool:
        """Whether what came of the second response's body equals the first one."""
        is_as_long = self._second_bytes == self._body_bytes
        return is_as_long and self._second_hash.digest() == self._body_hash.digest()

    @property
    def is_longer(self) -> bool:
        """Whether the second response's body is longer than the first one."""
        return self._second_bytes > self._body_bytes

    def check_repetition(self, read: Callable[[], bytes], address: str) -> None:
        """Read a second response; one with the same body shows that that is whole.

        :param read: returns the next bytes of it; none at its end.
        :param address: the upstream, for the error.
        :raises ResponseInterruptedError: if it has another body.
        """
        while not self.is_longer and (data := read()):
            self.feed(data)
        if not self.is_repeated:
            raise ResponseInterruptedError(
                address, "another response behind the one to this request"
            )

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that are body, and hold back what may not be."""
        if self.has_found:
            self._add_second(data)
            return b""
        self._held += data
        position = 0
        while (start := self._held.find(_START, position)) >= 0:
            verdict, position = self._judge(start)
            if verdict is _Verdict.UNDECIDED:
                return self._release(start)
            self._line_start, self._is_own = 0, False
            if verdict is _Verdict.RESPONSE:
                self.has_found = True
                second, self._held = self._held[position:], self._held[:start]
                self._add_second(second)
                return self._release(start)
        return self._release(len(self._held) - _overlap(self._held, _START))

    def finish(self) -> bytes:
        """Return the rest of the body, at the end of the connection.

        A second response may end in its head, before its id; it counts as one if it
        begins like the first one.
        """
        rest, self._held = self._held, b""
        if self._begins_alike(rest):
            self.has_found = True
            return b""
        return rest

    def _release(self, end: int) -> bytes:
        body, self._held = self._held[:end], self._held[end:]
        self._body_hash.update(body)
        self._body_bytes += len(body)
        return body

    def _add_second(self, data: bytes) -> None:
        self._second_hash.update(data)
        self._second_bytes += len(data)

    def _judge(self, start: int) -> tuple[_Verdict, int]:
        """Judge what may be a head.

        :returns: the verdict, and the end of the head, or where to go on if it is none:
            what begins before has the same end, so it is none either.
        """
        held = self._held
        line_start = start + (self._line_start if start == 0 else 0)
        is_own = self._is_own and start == 0
        while True:
            is_first = line_start == start
            most_bytes = _MAX_STATUS_LINE_BYTES if is_first else _MAX_HEAD_BYTES
            line_end = held.find(b"\n", line_start, start + most_bytes)
            if line_end < 0:
                break
            line = held[line_start:line_end]
            if not is_first and line in (b"", b"\r"):
                return (_Verdict.RESPONSE if is_own else _Verdict.BODY), line_end + 1
            match = (_STATUS_LINE if is_first else _FIELD).fullmatch(line)
            if match is None:
                # This line may itself be the first one of a response.
                return _Verdict.BODY, max(line_start, start + 1)
            is_own = is_own or (not is_first and self._is_own_id(match))
            line_start = line_end + 1
        is_too_long = len(held) - start >= most_bytes
        if is_too_long or (is_first and not _STATUS_LINE_PART.fullmatch(held, start)):
            return _Verdict.BODY, max(line_start, start + 1)
        self._line_start, self._is_own = line_start - start, is_own
        return _Verdict.UNDECIDED, start

    def _is_own_id(self, field: re.Match) -> bool:
        name, value = field.groups()
        is_id = name.lower() == self._id_header
        return is_id and value.decode("latin-1") in self._request_ids

    def _begins_alike(self, rest: bytes) -> bool:
        """Return whether a part of a head, with its status, is that of a repetition."""
        status_line, *fields = rest.split(b"\n")
        status = status_line[_STATUS_START:].rstrip(b"\r")
        if len(status) < _STATUS_DIGITS or not self._status.startswith(status):
            return False
        return all(self._has_field(line) for line in fields)

    def _has_field(self, line: bytes) -> bool:
        name, colon, _ = line.rstrip(b"\r").lower().partition(b":")
        if colon:
            return name in self._names
        return any(known.startswith(name) for known in self._names)


def _overlap(data: bytes, start: bytes) -> int:
    """Return the length of the longest end of ``data`` with which ``start`` begins."""
    for length in range(len(start) - 1, 0, -1):
        if data.endswith(start[:length]):
            return length
    return 0
