"""One connection to an upstream, carrying one request at a time."""

import abc
import collections
import errno
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import gevent.socket

from kumquatseam.http1._errors import (
    ConnectFailedError,
    RequestUnsentError,
    ResponseInterruptedError,
    ResponseTimeoutError,
    TransportError,
)
from kumquatseam.http1._messages import Headers, ResponseHead, is_joined_head
from kumquatseam.http1._readiness import wait_ready
from kumquatseam.http1._response_parser import ResponseParser
from kumquatseam.pools import dead_peer_socket_options
from kumquatseam.response_heads import MAX_HEAD_BYTES, InvalidHeadError, is_interim

if TYPE_CHECKING:
    from kumquatseam.http1.second_response import SecondResponseFinder

_READ_BYTES = 65_536
#: late responses to earlier requests that may be skipped before the expected one.
_MAX_STRAY_RESPONSES = 3
#: ids that are remembered of the requests on a connection: those whose late responses
#: are recognised.
_MAX_REQUEST_IDS = 32
#: up to this size, a head is part of what serving a request takes.
_SMALL_HEAD_BYTES = 4_096
#: maximum size of a late response that is skipped.
_MAX_STRAY_BYTES = 1_048_576
#: maximum number of bytes in a body that carry no data: sizes and extensions of chunks,
#: and trailers.
_MAX_FRAMING_BYTES = 65_536
#: reads after which other greenlets run, also if there is more to read.
_READS_PER_TURN = 16
#: bytes received after which there is a pause, in which the event loop can be idle: a
#: sender that is always ahead would look like too much work (``ConnectionAdmission``).
_BYTES_PER_PAUSE = 1_048_576
_PAUSE_S = 0.001
#: reads of what arrived before the deadline, but is read later.
_MAX_LATE_READS = 16


class ConnectionWatch(abc.ABC):
    """Observes the traffic of connections."""

    @abc.abstractmethod
    def note_sent(self, connection: object, address: str) -> None:
        """Record that a request was sent and its response is awaited."""

    @abc.abstractmethod
    def note_received(self, connection: object, is_first: bool) -> None:
        """Record that bytes arrived.

        :param is_first: whether they are the first ones on this connection.
        """

    @abc.abstractmethod
    def note_failed(self, address: str) -> None:
        """Record that a connection ended before any bytes arrived on it."""

    @abc.abstractmethod
    def note_closed(self, connection: object) -> None:
        """Record that the connection was closed."""


class TransportDecoder(abc.ABC):
    """Decodes what arrives through something that is not the upstream itself.

    The end of such a connection says nothing about the upstream.
    """

    @property
    @abc.abstractmethod
    def is_ended(self) -> bool:
        """Whether the upstream is known to have ended its connection."""

    @property
    @abc.abstractmethod
    def unsent_for_s(self) -> float | None:
        """For how long no request is sent, the last one neither; ``None`` if it was."""

    @abc.abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Add bytes that arrived; return the upstream's bytes among them.

        :raises TransportError: if they are invalid.
        """


def open_connection(address: str, timeout_s: float) -> "UpstreamConnection":
    """Connect to ``address`` (``host:port``).

    :raises ConnectFailedError: if it times out or is refused.
    """
    return UpstreamConnection(address, open_socket(address, timeout_s))


def open_socket(address: str, timeout_s: float):
    """Return a socket that is connected to ``address`` (``host:port``).

    :raises ConnectFailedError: if it times out or is refused.
    """
    host, _, port = address.rpartition(":")
    try:
        opened = gevent.socket.create_connection((host, int(port)), timeout_s)
    except (OSError, ValueError, OverflowError) as error:
        raise ConnectFailedError(address, repr(error)) from error
    opened.settimeout(None)
    for option in dead_peer_socket_options():
        opened.setsockopt(*option)
    return opened


class _PartialResponse:
    """A response that is being parsed."""

    def __init__(self) -> None:
        self.reason = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        #: set if the body ends with its connection.
        self.finder: SecondResponseFinder | None = None


class UpstreamConnection:
    """A connection that matches each response to its request by the request id.

    :param address: ``host:port`` it leads to.
    :param connection: the open socket.
    :param watch: observes its traffic, if given.
    :param decoder: decodes what arrives, if it leads through another instance.
    """

    def __init__(
        self,
        address: str,
        connection,
        watch: ConnectionWatch | None = None,
        decoder: TransportDecoder | None = None,
    ) -> None:
        self.address = address
        self._decoder = decoder
        self._watch = watch
        self._socket = connection
        self._parser = ResponseParser(self)
        self._responses: collections.deque[_PartialResponse] = collections.deque()
        self._request_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_REQUEST_IDS
        )
        self._unsent: list[memoryview] = []
        self._parse_error = ""
        self._end_reason = ""
        self._is_ended_on_the_way = False
        #: whether a reset was met in sending; reads then end as if it were closed.
        self._is_reset = False
        self._has_received = False
        self._reads = 0
        self._read_bytes = 0
        self._pause_at_bytes = _BYTES_PER_PAUSE
        self.reuse_until_s: float | None = None
        #: in monotonic time; when the newest request on it was begun to be sent.
        self.opened_s = self.sent_s = time.monotonic()
        #: the incarnation of the upstream that it leads to, once that is known.
        self.incarnation_id = ""
        self.has_sent = False
        #: hashes of the ids of the requests that it was given out for.
        self.carried = bytearray()

    @property
    def is_relayed(self) -> bool:
        """Whether it leads through another instance."""
        return self._decoder is not None

    def close(self) -> None:
        """Close at once; an upstream that processes a request can detect it."""
        if self._watch is not None:
            self._watch.note_closed(self)
        self._socket.close()
        self._parser.close()

    def is_open_and_idle(self) -> bool:
        """Return whether the idle connection is open with nothing to read.

        The check does not switch greenlets: otherwise another greenlet could close
        the idle connections meanwhile, and a closed one would be used.
        """
        try:
            self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, *pieces: bytes | bytearray) -> None:
        """Start sending a request; the rest is sent by the read methods.

        :param pieces: the request, not to be changed until it is sent.
        :raises ResponseInterruptedError: if the connection fails.
        """
        self._responses.clear()
        self.sent_s = time.monotonic()
        self._unsent = [memoryview(piece) for piece in pieces]
        self.has_sent = False
        if self._watch is not None:
            self._watch.note_sent(self, self.address)
        self._write()

    def read_head(
        self,
        request_id: str,
        id_header: bytes,
        wait: "SocketWait",
        may_lack_id: Callable[[ResponseHead], bool] = lambda head: False,
        may_hold: Callable[[int], bool] = lambda size_bytes: True,
    ) -> ResponseHead:
        """Return the head of the response to ``request_id``.

        Late responses to other requests on this connection are recognised by their
        ids and skipped.

        :param wait: waits for bytes; may raise to end the exchange.
        :param may_lack_id: whether a response without an id counts as the one to
            this request; late responses to other requests carry their ids.
        :param may_hold: whether there is memory for a head of that size; asked before
            more of a large one is received.
        :raises ResponseInterruptedError: if no such response is received.
        :raises RequestUnsentError: if the request was not sent to the upstream.
        """
        strays = 0
        self._request_ids.append(request_id)
        while True:
            self._read_until(
                lambda: self._responses and self._responses[0].head,
                wait,
                MAX_HEAD_BYTES,
                may_hold=may_hold,
            )
            response = self._responses[0]
            head = response.head
            self._check_head(response, id_header)
            has_id = bool(head.headers.get(id_header))
            if head.headers.text(id_header) == request_id or (
                not has_id and may_lack_id(head)
            ):
                # A copy of one without an id would pass for that to any request.
                response.keep_alive = response.keep_alive and has_id
                if head.is_ended_by_close:
                    response.finder = self._finder(response, id_header)
                return head
            if not has_id:
                raise ResponseInterruptedError(
                    self.address, "response without a request id"
                )
            strays += 1
            if strays > _MAX_STRAY_RESPONSES or head.is_ended_by_close:
                raise ResponseInterruptedError(
                    self.address, "response to another request"
                )
            self._skip(response, wait)

    def _skip(self, response: _PartialResponse, wait: "SocketWait") -> None:
        """Read the rest of a late response, and keep nothing of it."""

        def is_complete() -> bool:
            response.body.clear()
            return response.complete

        self._read_until(is_complete, wait, _MAX_STRAY_BYTES)
        self._responses.popleft()

    def _finder(
        self, response: _PartialResponse, id_header: bytes
    ) -> "SecondResponseFinder":
        """Return what ends a body; loaded with the first one without framing."""
        from kumquatseam.http1.second_response import SecondResponseFinder

        return SecondResponseFinder(
            response.head, response.reason, id_header, self._request_ids
        )

    def _check_head(self, response: _PartialResponse, id_header: bytes) -> None:
        """Check that a head is not the part of a late one, with the next one behind.

        :raises ResponseInterruptedError: if it is.
        """
        headers = response.head.headers
        has_one_id = len(set(headers.all(id_header))) <= 1
        if not has_one_id or is_joined_head(response.reason, headers):
            raise ResponseInterruptedError(self.address, "two responses in one head")

    def read_body(self, wait: "SocketWait") -> bytes:
        """Return the next bytes of the body; empty once it is complete.

        :raises ResponseInterruptedError: if the body is truncated, bytes come without
            end that are no data, or another response follows that does not repeat it.
        """
        response = self._responses[0]
        finder = response.finder
        if finder is None:
            return self._read_data(response, wait)
        while not finder.has_found:
            data = self._read_data(response, wait)
            body = finder.feed(data) if data else finder.finish()
            if body:
                return body
            if not data:
                break
        if finder.has_found:
            finder.check_repetition(
                lambda: self._read_data(response, wait), self.address
            )
        return b""

    def _read_data(self, response: _PartialResponse, wait: "SocketWait") -> bytes:
        self._read_until(
            lambda: response.body or response.complete,
            wait,
            _MAX_FRAMING_BYTES,
            is_answered=True,
        )
        data = bytes(response.body)
        response.body.clear()
        return data

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and the connection can be used again."""
        response = self._responses[0] if self._responses else None
        return (
            len(self._responses) == 1
            and response.complete
            and response.keep_alive
            and not response.head.is_ended_by_close
            and not self._unsent
            and not self._parse_error
            and not self._end_reason
            and (self._decoder is None or self._decoder.unsent_for_s is None)
        )

    def _read_until(
        self,
        is_available: Callable[[], object],
        wait: "SocketWait",
        max_bytes: int,
        is_answered: bool = False,
        may_hold: Callable[[int], bool] = lambda size_bytes: True,
    ) -> None:
        """Read until something is available.

        :param max_bytes: how much may be received meanwhile.
        :param is_answered: whether the response to the request has begun.
        :param may_hold: whether there is memory for that much.
        :raises ResponseInterruptedError: if more is, or the connection ends.
        :raises RequestUnsentError: if the request was not sent to the upstream.
        """
        begun_bytes = self._read_bytes
        while not is_available():
            received_bytes = self._read_bytes - begun_bytes
            if received_bytes > max_bytes:
                raise ResponseInterruptedError(
                    self.address, f"over {max_bytes} bytes without a response's data"
                )
            if received_bytes > _SMALL_HEAD_BYTES and not may_hold(received_bytes):
                raise ResponseInterruptedError(
                    self.address, "no memory for a head", is_upstream_fault=False
                )
            if self._decoder is not None and self._decoder.unsent_for_s is not None:
                # A head that is incomplete may be the one of the response.
                is_in_head = self._responses and self._responses[0].head is None
                if is_answered or is_in_head:
                    raise ResponseInterruptedError(
                        self.address, "ended on the way", is_upstream_fault=False
                    )
                raise RequestUnsentError(self.address, self._decoder.unsent_for_s)
            if self._parse_error:
                raise ResponseInterruptedError(self.address, self._parse_error)
            if self._end_reason:
                raise ResponseInterruptedError(
                    self.address, self._end_reason, not self._is_ended_on_the_way
                )
            if wait(self._socket, bool(self._unsent)):
                self._write()
            self._read_available(max_bytes - received_bytes + 1)

    def _write(self) -> None:
        if not self._unsent:
            return
        piece = self._unsent[0]
        try:
            sent = self._socket._sock.send(piece[:262_144])
        except BlockingIOError:
            return
        except OSError as error:
            if not self.has_sent:
                self._note_ended()
                raise ResponseInterruptedError(
                    self.address, f"send: {error!r}"
                ) from error
            # A response sent before the whole request was read may still be readable.
            self._unsent = [memoryview(b"\0")]
            # The system reports a reset once. A broken pipe is one behind a close, or
            # one that was reported before.
            self._is_reset = self._is_reset or error.errno != errno.EPIPE
            return
        self.has_sent = True
        if sent < len(piece):
            self._unsent[0] = piece[sent:]
            return
        del self._unsent[0]
        self._write()

    def _read_available(self, max_bytes: int) -> None:
        self._reads += 1
        if self._reads % _READS_PER_TURN == 0:
            gevent.sleep(0)
        try:
            data = self._socket._sock.recv(min(_READ_BYTES, max_bytes))
        except BlockingIOError:
            return
        except OSError as error:
            self._end_reason = f"reset: {error!r}"
            self._note_ended()
            return
        if not data:
            self._handle_end(is_upstream=self._decoder is None)
            return
        self._read_bytes += len(data)
        if self._read_bytes >= self._pause_at_bytes:
            self._pause_at_bytes = self._read_bytes + _BYTES_PER_PAUSE
            gevent.sleep(_PAUSE_S)
        if self._watch is not None:
            self._watch.note_received(self, not self._has_received)
        self._has_received = True
        try:
            if self._decoder is not None:
                data = self._decoder.feed(data)
            self._parser.feed(data)
        except (TransportError, InvalidHeadError) as error:
            self._parse_error = str(error)
        if self._decoder is not None and self._decoder.is_ended:
            self._handle_end(is_upstream=True)

    def _handle_end(self, is_upstream: bool) -> None:
        """Handle the end of the connection.

        :param is_upstream: whether the upstream made it; only then may it end a body.
        """
        self._note_ended()
        if not is_upstream:
            self._end_reason = "connection closed on the way"
            self._is_ended_on_the_way = True
            return
        if self._is_reset and not self.is_relayed:
            self._end_reason = "reset while the request was sent"
            return
        response = self._responses[-1] if self._responses else None
        if response and response.head and response.head.is_ended_by_close:
            response.complete = True
        self._end_reason = "connection closed"

    def _note_ended(self) -> None:
        if self._watch is not None and not self._has_received:
            self._watch.note_failed(self.address)

    # Callbacks of the parser; it defines their names.

    def on_message_begin(self) -> None:
        self._responses.append(_PartialResponse())

    def on_status(self, status: bytes) -> None:
        self._responses[-1].reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        response = self._responses[-1]
        # The parser reports trailers too; they are not forwarded.
        if response.head is None:
            response.fields.append((name, value or b""))

    def on_headers_complete(self) -> None:
        response = self._responses[-1]
        status = self._parser.status
        if is_interim(status):
            return
        headers = Headers(response.fields)
        length = headers.get(b"content-length")
        # The codings may come in several fields.
        codings = headers.all(b"transfer-encoding")
        is_chunked = any("chunked" in coding.lower() for coding in codings)
        response.keep_alive = self._parser.should_keep_alive()
        length_bytes = int(length) if length is not None else None
        response.head = ResponseHead(status, headers, length_bytes, is_chunked)

    def on_body(self, data: bytes) -> None:
        self._responses[-1].body += data

    def on_message_complete(self) -> None:
        response = self._responses[-1]
        if response.head is None:
            self._responses.pop()
            return
        if not response.head.is_ended_by_close:
            response.complete = True


class SocketWait:
    """Waits for an upstream's socket until a deadline, and watches the caller's.

    Call it with the upstream's socket and whether bytes remain to be sent; it
    returns whether the socket is writable.

    :param until_s: deadline in monotonic time, after which the call raises.
    :param address: the upstream, for the error.
    :param caller: the caller's socket, watched for a disconnect, or ``None``.
    :param on_caller_readable: called when the caller's socket becomes readable;
        raises if the caller disconnected, and returns whether to go on watching.
    """

    def __init__(
        self,
        until_s: float,
        address: str,
        caller=None,
        on_caller_readable: Callable[[], bool] = lambda: True,
    ) -> None:
        self.until_s = until_s
        self._address = address
        self._caller = caller
        self._on_caller_readable = on_caller_readable
        self._late_reads = 0

    def __call__(self, upstream, wants_write: bool) -> bool:
        while True:
            left_s = self.until_s - time.monotonic()
            self._late_reads = self._late_reads + 1 if left_s <= 0 else 0
            readers = [upstream] if self._caller is None else [upstream, self._caller]
            writers = [upstream] if wants_write else []
            # What arrived while this process stalled counts, even if the time is over.
            readable, writable = wait_ready(readers, writers, left_s)
            if self._caller in readable and not self._on_caller_readable():
                self._caller = None
            may_read = self._late_reads <= _MAX_LATE_READS
            if (upstream in readable or writable) and may_read:
                return bool(writable)
            if left_s <= 0:
                raise ResponseTimeoutError(
                    self._address, "no response data before the deadline"
                )
