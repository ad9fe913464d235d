"""The connection to a caller: send responses, detect a disconnect."""

import socket

import gevent

from kumquatseam.http1 import CallerDisconnectedError, encode_response_head

#: a caller that accepts no bytes for this long counts as disconnected; twice the
#: longest pause that clients accept themselves.
WRITE_TIMEOUT_S = 5.0


class CallerConnection:
    """A caller's socket, and the framing of the current response.

    :param connection: the accepted socket.
    """

    def __init__(self, connection) -> None:
        self.socket = connection
        self.has_started_response = False
        self._is_chunked = False

    def reset_response(self) -> None:
        """Prepare for the response to the next request."""
        self.has_started_response = False
        self._is_chunked = False

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
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response.

        :raises CallerDisconnectedError: if it cannot be sent.
        """
        self.has_started_response = True
        framed = [*fields, (b"Content-Length", b"%d" % len(body))]
        self._write(encode_response_head(status, framed) + body)

    def start_response(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        length_bytes: int | None,
        first: bytes = b"",
    ) -> None:
        """Send a response's head and the first bytes of its body.

        :param length_bytes: the body's length, or ``None`` for chunked encoding.
        """
        self.has_started_response = True
        self._is_chunked = length_bytes is None
        if length_bytes is None:
            framed = [*fields, (b"Transfer-Encoding", b"chunked")]
        else:
            framed = [*fields, (b"Content-Length", b"%d" % length_bytes)]
        self._write(encode_response_head(status, framed) + self._frame(first))

    def send_body(self, data: bytes) -> None:
        """Send further bytes of the body."""
        if data:
            self._write(self._frame(data))

    def finish_response(self) -> None:
        """Mark the body as complete."""
        if self._is_chunked:
            self._write(b"0\r\n\r\n")

    def _frame(self, data: bytes) -> bytes:
        if not data or not self._is_chunked:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _write(self, data: bytes) -> None:
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                self.socket.sendall(data)
        except (OSError, TimeoutError) as error:
            raise CallerDisconnectedError from error
