"""A server that answers every request in one way, without end for most of them."""

import contextlib
import gzip
import json
import socket
import threading
import time

_OK = b"HTTP/1.1 200 OK\r\n"
_JSON = _OK + b"Content-Type: application/json\r\n"
_CHUNKED = _JSON + b"Transfer-Encoding: chunked\r\n\r\n"
_PIECE = b"abcdefgh" * 1024
#: bytes that it sends at most, and how long a response lasts that is not read.
MAX_SENT_BYTES = 64_000_000
MAX_S = 15.0
_SLOW_PIECE_S = 0.1
LARGE = b"x" * 1_000_000


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def _with_length(body, fields=b""):
    return _JSON + fields + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _listing(count):
    rows = [["s" * 32, f"{n:016x}", 16, "m0"] for n in range(count)]
    return json.dumps({"epoch": 1, "nextToken": 0, "held": rows}).encode()


#: what comes first, and what follows again and again.
ENDLESS = {
    "bodies without end": (_JSON + b"\r\n", _PIECE),
    "bodies in chunks without end": (_CHUNKED, _chunk(_PIECE)),
    "trailers without end": (
        _CHUNKED + _chunk(b"{}") + b"0\r\n",
        b"X-Note: abc\r\n" * 512,
    ),
    "a size of chunk without end": (_CHUNKED + b"1;", _PIECE),
    "interim heads without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 256),
    "fields without end": (_OK, b"X-Note: abc\r\n" * 512),
    "events without end": (
        _CHUNKED,
        _chunk(b'data: {"choices": [{"text": "a"}]}\n\n' * 200),
    ),
    "an event without end": (_CHUNKED + _chunk(b"data: "), _chunk(_PIECE)),
}
SLOW = {
    "bodies that hardly go on": (_JSON + b"\r\n", b" "),
    "heads that hardly go on": (_OK + b"X-Note: ", b"a"),
}
WHOLE = {
    "compressed and huge": lambda: _with_length(
        gzip.compress(bytes(400_000_000)), b"Content-Encoding: gzip\r\n"
    ),
    "large": lambda: _with_length(LARGE),
    "large, in chunks": lambda: (
        _CHUNKED + _chunk(LARGE[:1000]) + _chunk(LARGE[1000:]) + b"0\r\n\r\n"
    ),
    "large, ended by a close": lambda: _JSON + b"\r\n" + LARGE,
    "large, compressed": lambda: _with_length(
        gzip.compress(LARGE), b"Content-Encoding: gzip\r\n"
    ),
    "large, in small pieces": lambda: _with_length(LARGE),
    "a listing of 7000 parts": lambda: _with_length(_listing(7000)),
}


class EndlessServer:
    """Listens on a loopback port.

    :param response: a key of the tables above.
    """

    def __init__(self, response):
        self._response = response
        self._whole = WHOLE[response]() if response in WHOLE else b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self.sent_bytes = 0
        self.is_over = False
        self.closed = threading.Event()

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.is_over = True
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            while self._read_request(connection):
                self._answer(connection)
                if self._response.endswith("by a close"):
                    return
        self.closed.set()

    def _read_request(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            received = connection.recv(65_536)
            if not received:
                return False
            data += received
        return True

    def _answer(self, connection):
        if self._whole:
            size = 700 if "pieces" in self._response else len(self._whole)
            for start in range(0, len(self._whole), size):
                connection.sendall(self._whole[start : start + size])
                self.sent_bytes += size
            return
        until_s = time.monotonic() + MAX_S
        is_slow = self._response in SLOW
        first, again = (SLOW if is_slow else ENDLESS)[self._response]
        connection.sendall(first)
        while time.monotonic() < until_s and not self.is_over:
            # Later it only keeps the connection open, to spare the machine.
            if self.sent_bytes < MAX_SENT_BYTES:
                connection.sendall(again)
                self.sent_bytes += len(again)
            else:
                connection.sendall(again[:1])
            if is_slow or self.sent_bytes >= MAX_SENT_BYTES:
                time.sleep(_SLOW_PIECE_S)
