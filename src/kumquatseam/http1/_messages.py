"""Requests, response heads and their headers."""

import enum
import re
from collections.abc import Iterable

import attrs

from kumquatseam.response_heads import check_final_status

#: headers that concern one connection only and are never forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)

#: a body up to this size is copied behind its head, to be sent at once.
MAX_JOINED_BYTES = 16_384
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |$)")
_REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Headers:
    """Header fields in the order received; names are case-insensitive.

    :param fields: name and value pairs as on the wire.
    """

    __slots__ = ("fields", "_values")

    def __init__(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        self.fields = tuple(fields)
        values: dict[bytes, bytes] = {}
        for name, value in self.fields:
            values.setdefault(name.lower(), value)
        self._values = values

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of ``name`` (given in lower case)."""
        return self._values.get(name)

    def all(self, name: bytes) -> list[str]:
        """Return all values of ``name`` (given in lower case) as texts."""
        return [
            value.decode("latin-1").strip()
            for field, value in self.fields
            if field.lower() == name
        ]

    def text(self, name: bytes) -> str:
        """Return the first value of ``name`` as text; ``""`` without one."""
        return self._values.get(name, b"").decode("latin-1").strip()

    def forwardable_fields(
        self, dropped: frozenset[bytes]
    ) -> list[tuple[bytes, bytes]]:
        """Return the fields that may be forwarded.

        :param dropped: further lower-case names to leave out.
        """
        named = {
            token.strip().lower()
            for name, value in self.fields
            if name.lower() == b"connection"
            for token in value.split(b",")
        }
        return [
            (name, value)
            for name, value in self.fields
            if (lower := name.lower()) not in HOP_BY_HOP
            and lower not in dropped
            and lower not in named
        ]


@attrs.frozen
class RequestLimits:
    """Limits of the size and duration of a caller's request.

    :param max_header_bytes: size of the request line and header fields together.
    :param max_body_bytes: size of the body after decoding chunks.
    :param header_timeout_s: time from the first byte to the end of the head.
    :param total_timeout_s: time from the first byte to the end of the body.
    :param idle_timeout_s: how long a connection may stay open without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    total_timeout_s: float = 30.0

    @property
    def max_request_bytes(self) -> int:
        """Size of the largest request."""
        return self.max_header_bytes + self.max_body_bytes


@attrs.frozen
class Request:
    """One complete request of a caller.

    :param method: e.g. ``b"POST"``.
    :param target: path and query exactly as sent.
    :param headers: its header fields.
    :param body: the complete body, without transfer coding; not copied.
    :param keep_alive: whether the connection may carry another request.
    :param received_s: monotonic time at which its first bytes arrived.
    :param complete_s: the same for its last bytes; as ``received_s`` if not given.
    :param version: HTTP version of its caller.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    keep_alive: bool
    received_s: float
    complete_s: float = attrs.field()
    version: str = "1.1"

    @complete_s.default
    def _received_at_once(self) -> float:
        return self.received_s

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class Framing(enum.Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: the body ends with its connection.
    CLOSE = "close"


@attrs.frozen
class ResponseHead:
    """The status line and headers of an upstream's response.

    :param status: e.g. ``200``; checked.
    :param headers: its header fields.
    :param length_bytes: the declared body length, if declared.
    :param is_chunked: whether the body uses chunked encoding.
    """

    status: int = attrs.field()
    headers: Headers
    length_bytes: int | None
    is_chunked: bool

    @status.validator
    def _check_status(self, _, status: int) -> None:
        check_final_status(status)

    @property
    def framing(self) -> Framing:
        """How the end of the body is told."""
        if self.is_chunked:
            return Framing.CHUNKS
        is_bodiless = self.status in (204, 304)
        is_length_known = self.length_bytes is not None or is_bodiless
        return Framing.LENGTH if is_length_known else Framing.CLOSE

    @property
    def is_ended_by_close(self) -> bool:
        """Whether the body ends only when the connection is closed."""
        return self.framing is Framing.CLOSE


def _encode_fields(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join(b"%b: %b\r\n" % field for field in fields)


def encode_request(
    method: bytes,
    target: bytes,
    fields: list[tuple[bytes, bytes]],
    body: bytes | bytearray,
) -> list[bytes | bytearray]:
    """Return the pieces of a request, with a Content-Length if it may have a body.

    A large body is a piece of its own, so that it is not copied.
    """
    framed = list(fields)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        framed.append((b"Content-Length", b"%d" % len(body)))
    head = b"%b %b HTTP/1.1\r\n" % (method, target) + _encode_fields(framed) + b"\r\n"
    return [head + body] if len(body) <= MAX_JOINED_BYTES else [head, body]


def encode_response_head(status: int, fields: list[tuple[bytes, bytes]]) -> bytes:
    """Return a status line and header fields, with the empty line."""
    reason = _REASONS.get(status, b"Status")
    return b"HTTP/1.1 %d %b\r\n" % (status, reason) + _encode_fields(fields) + b"\r\n"


def is_joined_head(reason: bytes, headers: Headers) -> bool:
    """Return whether a response's head begins with a part of another one.

    A response that ends in its first line or in a field runs on into the next one's
    first line. A field may as well quote one; then no name comes twice.

    :param reason: the reason phrase of its status line.
    """
    if _STATUS_LINE.search(reason):
        return True
    names = [name.lower() for name, _ in headers.fields]
    comes_twice = len(set(names)) < len(names)
    return comes_twice and any(_STATUS_LINE.search(v) for _, v in headers.fields)
