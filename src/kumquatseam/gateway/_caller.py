"""The connection to a caller: send responses, detect a disconnect."""

import socket

from kumquatseam.buffers import BufferAccount, BufferBudget, BufferLimitError
from kumquatseam.errors import KumquatseamError
from kumquatseam.gateway._response_phase import ResponsePhase
from kumquatseam.http1 import (
    MAX_JOINED_BYTES,
    CallerDisconnectedError,
    encode_response_head,
)


class CallerTooSlowError(CallerDisconnectedError):
    """The caller received too slowly, and the memory was needed for others."""

    def __str__(self) -> str:
        return "gateway: the caller received too slowly while buffers were full"


class ResponseOrderError(KumquatseamError):
    """A part of a response was to be sent out of its order, or beyond its length."""


class CallerConnection:
    """A caller's socket, and the framing of the current response.

    Each request gets one response: whoever sends a second head, events in a body, bytes
    behind the end, or more or fewer than the stated length, gets a
    :class:`ResponseOrderError`, and nothing is sent.

    :param connection: the accepted socket.
    :param account: the memory that the caller makes this process hold.
    """

    def __init__(self, connection, account: BufferAccount | None = None) -> None:
        self.socket = connection
        self.account = account or BufferBudget().open_account()
        #: how much of the current response may have been sent.
        self.phase = ResponsePhase.NOT_STARTED
        self._is_chunked = False
        #: bytes of the body that are missing; ``None`` if its length is not stated.
        self._missing_bytes: int | None = None

    def reset_response(self) -> None:
        """Prepare for the response to the next request."""
        self.phase = ResponsePhase.NOT_STARTED
        self._missing_bytes = None

    def check_connected(self) -> bool:
        """Check a readable socket for a disconnect.

        :returns: whether to go on watching it: ``False`` once it holds bytes of a
            further request.
        :raises CallerDisconnectedError: if the caller closed it.
        """
        try:
            data = self.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            raise CallerDisconnectedError from error
        if not data:
            raise CallerDisconnectedError
        return False

    def send_response(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
        left_out_bytes: int = 0,
    ) -> None:
        """Send a complete response.

        :param left_out_bytes: length of a body that is not sent, as to HEAD.
        :raises CallerDisconnectedError: if it cannot be sent.
        :raises ResponseOrderError: if a response has been started.
        """
        self._advance(ResponsePhase.COMPLETE, ResponsePhase.NOT_STARTED)
        length_bytes = len(body) + left_out_bytes
        framed = [*fields, (b"Content-Length", b"%d" % length_bytes)]
        self._write(encode_response_head(status, framed), body)

    def start_response(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        length_bytes: int | None,
        first: bytes = b"",
        is_ended_by_close: bool = False,
    ) -> None:
        """Send the head of one upstream's response, and the first bytes of its body.

        :param length_bytes: the body's length, or ``None`` for chunked encoding.
        :param is_ended_by_close: whether a body without a length ends with the
            connection instead.
        :raises CallerDisconnectedError: if it cannot be sent.
        :raises ResponseOrderError: if a response has been started, or the length is
            exceeded.
        """
        missing_bytes = _missing_after(length_bytes, first)
        self._advance(ResponsePhase.BODY, ResponsePhase.NOT_STARTED)
        self._missing_bytes = missing_bytes
        is_chunked = length_bytes is None and not is_ended_by_close
        framed = list(fields)
        if length_bytes is not None:
            framed.append((b"Content-Length", b"%d" % length_bytes))
        self._start(status, framed, is_chunked, first)

    def send_body(self, data: bytes) -> None:
        """Send further bytes of the body.

        :raises CallerDisconnectedError: if they cannot be sent.
        :raises ResponseOrderError: if no body is being sent, or its length is exceeded.
        """
        missing_bytes = _missing_after(self._missing_bytes, data)
        self._advance(ResponsePhase.BODY, ResponsePhase.BODY)
        self._missing_bytes = missing_bytes
        if data:
            self._write(*self._frame(data))

    def start_events(
        self, status: int, fields: list[tuple[bytes, bytes]], first: bytes = b""
    ) -> None:
        """Send the head of a stream, which upstreams may take turns in sending.

        :param first: its first events.
        :raises CallerDisconnectedError: if it cannot be sent.
        :raises ResponseOrderError: if a response has been started.
        """
        self._advance(ResponsePhase.EVENTS, ResponsePhase.NOT_STARTED)
        self._missing_bytes = None
        self._start(status, list(fields), True, first)

    def send_events(self, data: bytes) -> None:
        """Send further events of the stream.

        :raises CallerDisconnectedError: if they cannot be sent.
        :raises ResponseOrderError: if no stream is being sent.
        """
        self._advance(ResponsePhase.EVENTS, ResponsePhase.EVENTS)
        self._write(*self._frame(data))

    def finish_response(self) -> None:
        """Mark the body or the stream as complete.

        :raises CallerDisconnectedError: if that cannot be sent.
        :raises ResponseOrderError: if none is being sent, or a part of it is missing.
        """
        if self._missing_bytes:
            raise ResponseOrderError(
                f"response to a caller lacks {self._missing_bytes} bytes"
            )
        begun = (ResponsePhase.EVENTS, ResponsePhase.BODY)
        self._advance(ResponsePhase.COMPLETE, *begun)
        if self._is_chunked:
            self._write(b"0\r\n\r\n")

    def _advance(self, phase: ResponsePhase, *expected: ResponsePhase) -> None:
        if self.phase not in expected:
            raise ResponseOrderError(f"response to a caller is {self.phase.value}")
        self.phase = phase

    def _start(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        is_chunked: bool,
        first: bytes,
    ) -> None:
        self._is_chunked = is_chunked
        if is_chunked:
            fields.append((b"Transfer-Encoding", b"chunked"))
        self._write(encode_response_head(status, fields), *self._frame(first))

    def _frame(self, data: bytes) -> tuple[bytes, ...]:
        if not data or not self._is_chunked:
            return (data,)
        return (b"%x\r\n" % len(data), data, b"\r\n")

    def _write(self, *pieces: bytes) -> None:
        """Write pieces of a response, joined if that copies little."""
        if sum(map(len, pieces)) <= MAX_JOINED_BYTES:
            pieces = (b"".join(pieces),)
        left = [memoryview(piece) for piece in pieces if piece]
        try:
            while left:
                _drop(left, self._send_some(left))
        except OSError as error:
            raise CallerDisconnectedError from error
        except BufferLimitError as error:
            raise CallerTooSlowError from error

    def _send_some(self, pieces: list[memoryview]) -> int:
        """Send what the system takes; return how much.

        :raises TimeoutError: if the caller receives nothing for too long.
        :raises BufferLimitError: if it is too slow while buffers are full.
        """
        try:
            return send_pieces(self.socket._sock, pieces)
        except BlockingIOError:
            from kumquatseam.gateway._slow_caller import send_when_ready

            return send_when_ready(self.socket, self.account, pieces)


def _missing_after(missing_bytes: int | None, data: bytes | bytearray) -> int | None:
    """Return how much of a body is missing once ``data`` is sent.

    :raises ResponseOrderError: if that is more than its length.
    """
    if missing_bytes is None:
        return None
    if len(data) > missing_bytes:
        raise ResponseOrderError(
            f"response to a caller exceeds its length: {len(data)} bytes, "
            f"{missing_bytes} missing"
        )
    return missing_bytes - len(data)


def send_pieces(connection, pieces: list[memoryview]) -> int:
    """Send what the system takes of pieces; return how much."""
    if len(pieces) == 1:
        return connection.send(pieces[0])
    return connection.sendmsg(pieces)


def _drop(pieces: list[memoryview], sent_bytes: int) -> None:
    """Drop the first bytes of pieces."""
    while pieces and sent_bytes >= len(pieces[0]):
        sent_bytes -= len(pieces.pop(0))
    if sent_bytes:
        pieces[0] = pieces[0][sent_bytes:]
