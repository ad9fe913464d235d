"""Reading callers' requests from one connection."""

import collections
import socket
import time

import gevent
import httptools

from kumquatseam.http1._errors import BadRequestError, IdleConnectionError
from kumquatseam.http1._messages import Headers, Request, RequestLimits

_READ_BYTES = 65_536
#: requests one connection may send ahead of their answers.
_MAX_PIPELINED = 8


class _Message:
    """A request while it is being parsed."""

    def __init__(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.body = bytearray()
        self.method = b""
        self.keep_alive = True
        self.head_complete = False
        self.complete = False


class RequestReader:
    """Reads whole requests, one after the other.

    :param connection: the caller's socket.
    :param limits: what the caller may send.
    """

    def __init__(self, connection, limits: RequestLimits) -> None:
        self._connection = connection
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._messages: collections.deque[_Message] = collections.deque()
        self._fault: BadRequestError | None = None
        self.is_reading = False

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply ``limits`` from the next request on."""
        self._limits = limits

    def has_bytes(self) -> bool:
        """Return whether bytes of the caller wait to be read."""
        if self._messages:
            return True
        try:
            return bool(self._connection._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def read(self) -> Request:
        """Return the next whole request.

        :raises IdleConnectionError: if none begins within the idle timeout.
        :raises BadRequestError: if what comes is not acceptable.
        """
        started_s = time.monotonic()
        if not self._messages:
            self._receive(self._limits.idle_timeout_s)
            started_s = time.monotonic()
        self.is_reading = True
        try:
            return self._read_message(started_s)
        finally:
            self.is_reading = False

    def _read_message(self, started_s: float) -> Request:
        timeout_s = self._limits.header_timeout_s
        while not (self._messages and self._messages[0].complete):
            self._raise_fault()
            begun = bool(self._messages) and self._messages[0].head_complete
            if begun:
                # A body may pause for as long as a head may take.
                self._receive(timeout_s)
                continue
            left_s = started_s + timeout_s - time.monotonic()
            if left_s <= 0:
                raise BadRequestError(408, "request head came too slowly")
            self._receive(left_s)
        self._check_size(self._messages[0])
        message = self._messages.popleft()
        return Request(
            message.method,
            message.target,
            Headers(message.fields),
            bytes(message.body),
            message.keep_alive,
            started_s,
        )

    def _raise_fault(self) -> None:
        if self._messages:
            self._check_size(self._messages[0])
        if self._fault is not None:
            raise self._fault

    def _check_size(self, message: _Message) -> None:
        if message.head_bytes > self._limits.max_header_bytes:
            raise BadRequestError(431, "request head is too large")
        if len(message.body) > self._limits.max_body_bytes:
            raise BadRequestError(413, "request body is too large")

    def _receive(self, timeout_s: float) -> None:
        begun = bool(self._messages)
        try:
            with gevent.Timeout(max(timeout_s, 0.001), TimeoutError):
                data = self._connection.recv(_READ_BYTES)
        except TimeoutError:
            if not begun:
                raise IdleConnectionError from None
            raise BadRequestError(408, "request came too slowly") from None
        except OSError:
            raise IdleConnectionError from None
        if not data:
            raise IdleConnectionError
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault = BadRequestError(400, "protocol upgrades are not served")
        except httptools.HttpParserError as error:
            self._fault = BadRequestError(400, f"not an HTTP request: {error!r}")

    # Callbacks of the parser, named by it.

    def on_message_begin(self) -> None:
        if len(self._messages) >= _MAX_PIPELINED:
            raise ValueError("too many requests sent ahead")
        self._messages.append(_Message())

    def on_url(self, url: bytes) -> None:
        message = self._messages[-1]
        message.target += url
        message.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._messages[-1]
        message.fields.append((name, value or b""))
        message.head_bytes += len(name) + len(value or b"") + 4
        if name.lower() == b"expect" and b"100-continue" in (value or b"").lower():
            self._connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        message = self._messages[-1]
        message.head_complete = True
        message.method = self._parser.get_method()
        message.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        message = self._messages[-1]
        # One read past the limit is enough to refuse it.
        if len(message.body) <= self._limits.max_body_bytes:
            message.body += data

    def on_message_complete(self) -> None:
        self._messages[-1].complete = True
