"""The caller's side of one request: writing the answer, noticing it left."""

import socket

import gevent

from kumquatseam.http1 import CallerLeftError, encode_response_head

#: a caller that takes no bytes for this long is gone; twice the longest pause
#: clients accept themselves.
WRITE_TIMEOUT_S = 5.0


class CallerConnection:
    """A caller's socket with an answer's framing.

    :param connection: the accepted socket.
    """

    def __init__(self, connection) -> None:
        self.socket = connection
        self.has_answered = False
        self._is_chunked = False

    def begin_request(self) -> None:
        """Prepare for the next request's answer."""
        self.has_answered = False
        self._is_chunked = False

    def check_present(self) -> bool:
        """Look at the readable socket.

        :returns: whether it still needs watching: ``False`` once a further
            request's bytes wait there.
        :raises CallerLeftError: if the caller closed it.
        """
        try:
            data = self.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            raise CallerLeftError from error
        if not data:
            raise CallerLeftError
        return False

    def send_whole(
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer.

        :raises CallerLeftError: if the caller does not take it.
        """
        self.has_answered = True
        framed = [*fields, (b"Content-Length", b"%d" % len(body))]
        self._write(encode_response_head(status, framed) + body)

    def begin_answer(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        length_bytes: int | None,
        first: bytes = b"",
    ) -> None:
        """Send an answer's head and the first bytes of its body.

        :param length_bytes: the body's length, or ``None`` to send chunks.
        """
        self.has_answered = True
        self._is_chunked = length_bytes is None
        if length_bytes is None:
            framed = [*fields, (b"Transfer-Encoding", b"chunked")]
        else:
            framed = [*fields, (b"Content-Length", b"%d" % length_bytes)]
        self._write(encode_response_head(status, framed) + self._frame(first))

    def send_part(self, data: bytes) -> None:
        """Send further bytes of the body."""
        if data:
            self._write(self._frame(data))

    def end_answer(self) -> None:
        """Mark the body as whole."""
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
            raise CallerLeftError from error
