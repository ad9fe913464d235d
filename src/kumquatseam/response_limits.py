"""Limits on what one HTTP response may take, enforced where bytes are received."""

import contextlib
import contextvars
import http.client
import io
import re
import time
from collections.abc import Callable, Iterator

import attrs
import gevent
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import InvalidHeader, ProtocolError
from urllib3.util.response import assert_header_parsing

from kumquatseam.response_heads import (
    InvalidHeadError,
    check_field_line,
    is_interim,
    parse_status_line,
)

_BUFFER_BYTES = 65_536
_LENGTH = re.compile(r"[0-9]+[ \t]*")
#: longest first line of a head.
_MAX_LINE_BYTES = 65_536
#: size of a response's head and framing, in addition to its body.
_OVERHEAD_BYTES = 65_536
#: reads after which other greenlets run, also if there is more to read.
_READS_PER_TURN = 16


@attrs.frozen
class ResponseLimits:
    """What a response may take; whoever makes a call states them.

    :param max_bytes: size of the body, both as received and decoded.
    :param total_s: time from the request to the last byte of its response.
    :param hold: called with the size of what is held of the body, before more is
        received; raises the error that ends the call.
    """

    max_bytes: int
    total_s: float
    hold: Callable[[int], None] | None = None


class ResponseLimitError(ProtocolError):
    """A response exceeded its limits; its connection is closed."""


@attrs.define
class _Allowance:
    """What is left for one response.

    :param limits: its limits.
    :param until_s: monotonic time at which it must be complete.
    :param left_bytes: how much of it may still be received.
    """

    limits: ResponseLimits
    until_s: float
    left_bytes: int

    def check(self) -> None:
        """Check that more may be received.

        :raises ResponseLimitError: if not.
        """
        if self.left_bytes <= 0:
            raise ResponseLimitError(f"response over {self.limits.max_bytes} bytes")
        if time.monotonic() >= self.until_s:
            raise ResponseLimitError(
                f"response not complete within {self.limits.total_s} s"
            )


_allowance: contextvars.ContextVar[_Allowance] = contextvars.ContextVar("allowance")


@contextlib.contextmanager
def limited(limits: ResponseLimits) -> Iterator[None]:
    """Apply ``limits`` to the response to the request that is made inside.

    They go on to apply to the rest of its body when that is read later.
    """
    until_s = time.monotonic() + limits.total_s
    allowance = _Allowance(limits, until_s, limits.max_bytes + _OVERHEAD_BYTES)
    token = _allowance.set(allowance)
    try:
        yield
    finally:
        _allowance.reset(token)


def read_body(response: urllib3.BaseHTTPResponse, limits: ResponseLimits) -> bytes:
    """Return the decoded body of a response, and release its connection.

    :raises ResponseLimitError: if it is larger than allowed once it is decoded.
    :raises urllib3.exceptions.HTTPError: if it is not complete.
    """
    body = bytearray()
    while data := response.read(_BUFFER_BYTES, decode_content=True):
        body += data
        if len(body) > limits.max_bytes:
            raise ResponseLimitError(f"response over {limits.max_bytes} bytes")
        if limits.hold is not None:
            limits.hold(len(body))
    response.release_conn()
    return bytes(body)


class _LimitedReader(io.RawIOBase):
    """Receives one response from a socket.

    :param raw: reads from the socket.
    :param connection: the socket, whose timeout is that of one read.
    :param allowance: what the response may take.
    """

    def __init__(self, raw: io.RawIOBase, connection, allowance: _Allowance) -> None:
        self._raw = raw
        self._connection = connection
        self._allowance = allowance
        self._reads = 0

    def readable(self) -> bool:
        return True

    def close(self) -> None:
        self._raw.close()
        super().close()

    def readinto(self, buffer) -> int | None:
        allowance = self._allowance
        allowance.check()
        self._reads += 1
        if self._reads % _READS_PER_TURN == 0:
            gevent.sleep(0)
        timeout_s = self._connection.gettimeout()
        left_s = max(allowance.until_s - time.monotonic(), 0.001)
        if timeout_s is None or left_s < timeout_s:
            self._connection.settimeout(left_s)
        try:
            received = self._raw.readinto(buffer)
        finally:
            self._connection.settimeout(timeout_s)
        allowance.left_bytes -= received or 0
        return received


class LineReader(io.BufferedReader):
    """Reads lines of heads and framing, which do not end with the connection."""

    #: whether the lines that are read are fields of a head, or the end of it.
    is_in_fields = False

    def readline(self, size=-1):
        """Return the next line.

        :raises ConnectionError: if it ends with the connection, or has a line end
            inside.
        :raises InvalidHeadError: if it should be a field and is none.
        """
        line = super().readline(size)
        if b"\r" in line[:-2] or (line[-1:] != b"\n" and len(line) != size):
            raise ConnectionError("no whole line", line[-80:])
        if self.is_in_fields and line.strip(b"\r\n"):
            check_field_line(line)
        return line


class _LimitedResponse(http.client.HTTPResponse):
    def __init__(self, sock, *arguments, **options) -> None:
        super().__init__(sock, *arguments, **options)
        # Nothing is buffered yet.
        reader = _LimitedReader(self.fp.detach(), sock, _allowance.get())
        self.fp = LineReader(reader, _BUFFER_BYTES)

    def _read_status(self):
        self.fp.is_in_fields = False
        version, status, reason = parse_status_line(self.fp.readline(_MAX_LINE_BYTES))
        self.fp.is_in_fields = True
        # The library skips no other interim head.
        status = http.client.CONTINUE if is_interim(status) else status
        return f"HTTP/{version}", status, reason.decode("latin-1")

    def begin(self):
        try:
            super().begin()
        except InvalidHeadError as error:
            raise ProtocolError(str(error)) from error
        self.fp.is_in_fields = False
        headers = self.headers
        assert_header_parsing(headers)
        lengths = headers.get_all("Content-Length", [])
        told = lengths + headers.get_all("Transfer-Encoding", [])
        # A length or a coding that is not understood counts as none to the library,
        # which takes more for a number than HTTP does.
        is_understood = self.chunked or self.length is not None
        if len(told) > is_understood or not all(map(_LENGTH.fullmatch, lengths)):
            raise InvalidHeader(f"HTTP {self.status}, {told}"[:200])


class _LimitedConnection(HTTPConnection):
    response_class = _LimitedResponse
    #: whether a reset was met in sending; reads then end as if it were closed.
    _is_reset = False

    def connect(self):
        self._is_reset = False
        super().connect()

    def send(self, data):
        try:
            super().send(data)
        except ConnectionResetError:
            # The library goes on to read a response that came before.
            self._is_reset = True
            raise

    def getresponse(self):
        response = super().getresponse()
        is_ended_by_close = response.length_remaining is None and not response.chunked
        if self._is_reset and is_ended_by_close:
            response.close()
            raise ProtocolError("connection reset while the request was sent")
        return response


class LimitedConnectionPool(urllib3.HTTPConnectionPool):
    """Connections whose responses are received within :func:`limited`."""

    ConnectionCls = _LimitedConnection
