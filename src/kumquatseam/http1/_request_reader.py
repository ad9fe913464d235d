"""Read callers' requests from one connection."""

import collections
import contextlib
import socket
import time

import gevent
import httptools

from kumquatseam.buffers import (
    SMALL_BYTES,
    BufferAccount,
    BufferBudget,
    BufferLimitError,
)
from kumquatseam.http1._errors import BadRequestError, IdleConnectionError
from kumquatseam.http1._messages import Headers, Request, RequestLimits
from kumquatseam.http1._readiness import queued_bytes

_READ_BYTES = 65_536
#: requests that a connection may send before it receives the responses.
_MAX_PIPELINED = 8
#: reads after which other greenlets run, also if there is more to read.
_READS_PER_TURN = 16
#: bytes received for each byte of a body in chunks of one byte.
_BYTES_PER_BODY_BYTE = 6
#: what serving a request takes beside its own bytes: its objects, its connection to an
#: upstream and their parsers.
_REQUEST_BYTES = 16_384
#: what a header field takes beside its name and value: objects that refer to them.
_FIELD_BYTES = 256
#: Retry-After of a request for which there is no memory; another instance may have it.
_NO_MEMORY_RETRY_S = 0.2
_INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _PartialRequest:
    """A request that is being parsed."""

    def __init__(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.body = bytearray()
        self.method = b""
        self.version = "1.1"
        self.keep_alive = True
        self.head_complete = False
        self.complete = False
        self.is_chunked = False
        #: whether its caller waits for an interim response before it sends the body.
        self.awaits_interim = False
        #: length of its body, as it says; the largest one once it is long without.
        self.expected_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The memory that it takes until it is served."""
        head_bytes = self.head_bytes + len(self.fields) * _FIELD_BYTES
        return _REQUEST_BYTES + head_bytes + len(self.body)

    @property
    def missing_bytes(self) -> int:
        """How much of its body may follow."""
        return 0 if self.complete else max(0, self.expected_bytes - len(self.body))


class RequestReader:
    """Reads complete requests, one after the other.

    :param connection: the caller's socket.
    :param limits: limits of the caller's requests.
    :param account: the memory that the caller makes this process hold; a request is
        charged to it until the next one is read.
    """

    def __init__(
        self,
        connection,
        limits: RequestLimits,
        account: BufferAccount | None = None,
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._account = account or BufferBudget().open_account()
        self._charged_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._messages: collections.deque[_PartialRequest] = collections.deque()
        self._parse_error: BadRequestError | None = None
        #: what was received of the current request, and in how many reads.
        self._received_bytes = 0
        self._reads = 0
        #: the part of it after its last data: of a head, or between pieces of a body.
        self._framing_bytes = 0
        #: what the parser keeps, about: what it was given and did not report yet; and
        #: what it reports of the current read.
        self._unparsed_bytes = 0
        self._parsed_bytes = 0
        self.is_reading = False
        #: requests that were read, and since when the next one is waited for;
        #: ``None`` while it is not.
        self.requests_read = 0
        self.waits_since_s: float | None = None

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the limits of the next requests."""
        self._limits = limits

    def is_in_use(self) -> bool:
        """Return whether the caller sends, or still receives."""
        if self._messages or queued_bytes(self._connection):
            return True
        try:
            return bool(self._connection._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def read(self) -> Request:
        """Return the next complete request.

        :raises IdleConnectionError: if none starts within the idle timeout, or the
            connection ends.
        :raises BadRequestError: if the request is invalid, too large or too slow.
        """
        self.waits_since_s = time.monotonic()
        try:
            request = self._read_next(self.waits_since_s)
        finally:
            self.waits_since_s = None
        self.requests_read += 1
        return request

    def _read_next(self, started_s: float) -> Request:
        self._received_bytes = self._framing_bytes = self._reads = 0
        self._charge()
        until_s = started_s + self._limits.idle_timeout_s
        # Empty lines begin no request.
        while not (self._messages or self._parse_error):
            if started_s >= until_s:
                raise IdleConnectionError
            self._receive(until_s - started_s)
            started_s = time.monotonic()
        self.is_reading = True
        self._account.begin_transfer()
        try:
            return self._read_message(started_s)
        except BufferLimitError as error:
            raise BadRequestError(503, str(error), _NO_MEMORY_RETRY_S) from error
        finally:
            self._account.end_transfer()
            self.is_reading = False

    def close(self) -> None:
        """Discard what was read of requests that are not complete."""
        self._messages.clear()
        self._unparsed_bytes = 0
        self._parser = None
        self._charge()

    def _read_message(self, started_s: float) -> Request:
        timeout_s = self._limits.header_timeout_s
        until_s = started_s + self._limits.total_timeout_s
        while not (self._messages and self._messages[0].complete):
            self._raise_if_invalid()
            self._charge()
            has_started = bool(self._messages) and self._messages[0].head_complete
            if has_started:
                self._send_interim(self._messages[0])
                if time.monotonic() >= until_s:
                    raise BadRequestError(
                        408, "request body not complete within the timeout"
                    )
                # The timeout of a head also limits each pause within a body.
                self._receive(timeout_s)
                continue
            left_s = started_s + timeout_s - time.monotonic()
            if left_s <= 0:
                raise BadRequestError(
                    408, "request head not complete within the timeout"
                )
            self._receive(left_s)
        self._check_size(self._messages[0])
        self._charge()
        message = self._messages.popleft()
        return Request(
            message.method,
            message.target,
            Headers(message.fields),
            message.body,
            message.keep_alive,
            started_s,
            time.monotonic(),
            message.version,
        )

    def _charge(self) -> None:
        """Charge what is read of requests, and the rest of the first one's body.

        A body that has begun to be read can be finished, so that no two wait for each
        other's memory.

        :raises BufferLimitError: if there is no memory for it.
        """
        held_bytes = self._unparsed_bytes + sum(m.held_bytes for m in self._messages)
        missing_bytes = self._messages[0].missing_bytes if self._messages else 0
        if held_bytes > self._charged_bytes:
            self._account.take(held_bytes - self._charged_bytes)
            self._charged_bytes = held_bytes
        charged_bytes = held_bytes + missing_bytes
        if charged_bytes > self._charged_bytes:
            self._account.reserve(charged_bytes - self._charged_bytes)
        else:
            self._account.give_back(self._charged_bytes - charged_bytes)
        self._charged_bytes = charged_bytes

    def _send_interim(self, message: _PartialRequest) -> None:
        """Send the interim response that a caller waits for, once."""
        if not message.awaits_interim:
            return
        message.awaits_interim = False
        # Callers that do not receive it need not wait for it either.
        with contextlib.suppress(OSError):
            self._connection._sock.send(_INTERIM_RESPONSE)

    def _raise_if_invalid(self) -> None:
        if self._messages:
            self._check_size(self._messages[0])
        if self._parse_error is not None:
            raise self._parse_error

    def _check_size(self, message: _PartialRequest) -> None:
        # The parser reports a field only once its line has ended.
        max_framing_bytes = self._limits.max_header_bytes + _READ_BYTES
        is_framing_too_large = self._framing_bytes > max_framing_bytes
        is_in_head = not message.head_complete
        if message.head_bytes > self._limits.max_header_bytes or (
            is_in_head and is_framing_too_large
        ):
            raise BadRequestError(431, "request head is too large")
        body_bytes = max(len(message.body), message.expected_bytes)
        if body_bytes > self._limits.max_body_bytes:
            raise BadRequestError(413, "request body is too large")
        max_body_bytes = self._limits.max_body_bytes * _BYTES_PER_BODY_BYTE
        max_bytes = self._limits.max_header_bytes + max_body_bytes + _READ_BYTES
        if is_framing_too_large or self._received_bytes > max_bytes:
            raise BadRequestError(413, "request has too much beside its body")

    def _receive(self, timeout_s: float) -> None:
        has_started = bool(self._messages)
        self._reads += 1
        if self._reads % _READS_PER_TURN == 0:
            gevent.sleep(0)
        try:
            with gevent.Timeout(max(timeout_s, 0.001), TimeoutError):
                data = self._connection.recv(_READ_BYTES)
        except TimeoutError:
            if not has_started:
                raise IdleConnectionError from None
            raise BadRequestError(408, "no request data within the timeout") from None
        except OSError:
            raise IdleConnectionError from None
        if not data:
            raise IdleConnectionError
        self._account.note_moved(len(data))
        self._received_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._parse_error = BadRequestError(
                400, "protocol upgrades are not supported"
            )
        except httptools.HttpParserError as error:
            self._parse_error = BadRequestError(400, f"not an HTTP request: {error!r}")
        unparsed_bytes = self._unparsed_bytes + len(data) - self._parsed_bytes
        self._unparsed_bytes = max(0, unparsed_bytes)
        self._parsed_bytes = 0

    # Callbacks of the parser; it defines their names.

    def on_message_begin(self) -> None:
        if len(self._messages) >= _MAX_PIPELINED:
            raise ValueError("too many pipelined requests")
        self._messages.append(_PartialRequest())

    def on_url(self, url: bytes) -> None:
        message = self._messages[-1]
        message.target += url
        message.head_bytes += len(url)
        self._parsed_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._messages[-1]
        line_bytes = len(name) + len(value or b"") + 4
        message.head_bytes += line_bytes
        self._parsed_bytes += line_bytes
        if message.head_complete:
            # The parser reports trailers too; they are no headers.
            return
        message.fields.append((name, value or b""))
        name = name.lower()
        if name == b"expect" and b"100-continue" in (value or b"").lower():
            message.awaits_interim = True
        elif name == b"content-length" and value:
            message.expected_bytes = int(value)
        elif name == b"transfer-encoding":
            # Others would be lost on the way to an upstream.
            if message.is_chunked or value.strip().lower() != b"chunked":
                raise ValueError("transfer coding is not supported")
            message.is_chunked = True

    def on_headers_complete(self) -> None:
        message = self._messages[-1]
        message.head_complete = True
        self._framing_bytes = 0
        message.method = self._parser.get_method()
        message.version = self._parser.get_http_version()
        message.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        message = self._messages[-1]
        self._framing_bytes = 0
        self._parsed_bytes += len(data)
        # The first read past the limit is kept, so that the size check fails.
        if len(message.body) <= self._limits.max_body_bytes:
            message.body += data
        if len(message.body) > max(SMALL_BYTES, message.expected_bytes):
            # In chunks, of which any number may follow.
            message.expected_bytes = self._limits.max_body_bytes

    def on_message_complete(self) -> None:
        self._messages[-1].complete = True
        # The little that is never reported does not add up.
        self._unparsed_bytes = 0
