"""Responses of a replica whose body breaks off, pauses or has no end."""

import contextlib
import socket
import time

import attrs

#: what the bodies consist of; no event does.
FILLER = b"x"
#: bytes of a body that are sent at once, in pieces of ``PIECE_BYTES``.
PIECE_BYTES = 8_192
PIECE_PAUSE_S = 0.01
#: time in which what was sent on the loopback device has been read.
READ_S = 0.2
#: how much of a body is sent after its pause, if at all.
REST_BYTES = 100
#: a pause that ends a stream which can be resumed.
PAUSE_S = 2.2
#: limit on waiting for the other end, beside any load.
WAIT_S = 20.0


@attrs.frozen
class ScriptedAnswer:
    """A whole response, for a replica's script.

    :param status: its status.
    :param media_type: what its body is said to be.
    :param body: its body.
    """

    status: int
    media_type: str
    body: bytes

    def send(self, http, headers):
        """Send it; the connection stays open."""
        http.send_response(self.status)
        length = {"Content-Length": str(len(self.body))}
        media_type = {"Content-Type": self.media_type}
        for name, value in {**headers, **media_type, **length}.items():
            http.send_header(name, value)
        http.end_headers()
        http.wfile.write(self.body)


@attrs.frozen
class ScriptedBody:
    """A response that begins soundly, for a replica's script.

    :param status: its status.
    :param framing: ``a length``, ``chunks`` or ``its connection``.
    :param end: how the body goes on; see :meth:`_end`.
    :param sent_bytes: how much of the body is sent first.
    """

    status: int
    framing: str
    end: str
    sent_bytes: int = 300_000

    def send(self, http, headers):
        """Send it, and end the connection unless it is whole."""
        http.close_connection = self.end != "pauses"
        http.connection.settimeout(WAIT_S)
        with contextlib.suppress(OSError):
            self._send_head(http, headers)
            for _ in range(0, self.sent_bytes, PIECE_BYTES):
                self._send_piece(http)
            self._end(http)

    def _send_head(self, http, headers):
        http.send_response(self.status)
        framing = {
            "a length": {"Content-Length": str(self._length_bytes)},
            "chunks": {"Transfer-Encoding": "chunked"},
            "its connection": {},
        }
        for name, value in {**headers, **framing[self.framing]}.items():
            http.send_header(name, value)
        http.end_headers()

    @property
    def _length_bytes(self) -> int:
        pieces = -(-self.sent_bytes // PIECE_BYTES)
        return pieces * PIECE_BYTES + REST_BYTES

    def _send_piece(self, http, size_bytes=PIECE_BYTES):
        data = FILLER * size_bytes
        if self.framing == "chunks":
            data = b"%x\r\n%b\r\n" % (len(data), data)
        http.connection.sendall(data)

    def _end(self, http):
        match self.end:
            case "breaks off":
                http.connection.shutdown(socket.SHUT_WR)
            case "is reset":
                # A reset discards what the other end has not read.
                time.sleep(READ_S)
                http.connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
                http.connection.close()
            case "goes on with what is no chunk":
                http.connection.sendall(b"no size\r\n")
            case "pauses":
                time.sleep(PAUSE_S)
                self._send_piece(http, REST_BYTES)
                if self.framing == "chunks":
                    http.connection.sendall(b"0\r\n\r\n")
            case "falls silent":
                http.connection.recv(1)
            case "has no end":
                while True:
                    self._send_piece(http)
                    time.sleep(PIECE_PAUSE_S)
