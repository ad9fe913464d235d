"""A caller that checks every byte of what it receives."""

import random
import select
import socket
import threading
import time

import attrs
from platform_world import KEY

#: longest pause between two requests on a connection.
MAX_PAUSE_S = 0.06
TIMEOUT_S = 6.0
STREAM_PATHS = ("/once/x", "/resume/x")
PATHS = ("/once/x", "/resume/x", "/plain/x", "/safe/x")


@attrs.define(eq=False)
class Received:
    """What a caller received for one request.

    :param status: status of the response; 0 without one.
    :param body: what was received of its body.
    :param is_whole: whether its framing says that the body is complete.
    :param foreign: what is wrong with the bytes; empty if nothing is.
    """

    request_id: str
    path: str
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    foreign: str = ""


class _EndedError(Exception):
    """The connection ended."""


class _ForeignError(Exception):
    """Bytes that are no response to the request."""


class StrictCaller(threading.Thread):
    """Sends one request after the other on a kept connection.

    :param world: the platform.
    :param number: its number.
    :param requests: how many it sends.
    :param gateway: the gateway that it sends them to.
    :param paths: what it asks for.
    """

    def __init__(self, world, number, requests, gateway=0, paths=PATHS):
        super().__init__(daemon=True)
        self._world = world
        self._number = number
        self._requests = requests
        self._port = world.gateways[gateway].ports["front"]
        self._paths = paths
        self._draw = random.Random(number)
        self._socket = None
        self._data = b""
        self.received: list[Received] = []

    def run(self):
        for count in range(self._requests):
            path = self._draw.choice(self._paths)
            received = Received(f"c{self._number}-{count}", path)
            self.received.append(received)
            try:
                self._send(received)
                self._receive(received)
                self._wait(received)
            except (_EndedError, OSError):
                self._close()
            except _ForeignError as error:
                received.foreign = str(error)
                self._close()
        self._close()

    def _close(self):
        if self._socket is not None:
            self._socket.close()
        self._socket, self._data = None, b""

    def _send(self, received):
        if self._socket is None:
            self._socket = socket.create_connection(
                ("127.0.0.1", self._port), TIMEOUT_S
            )
        is_stream = received.path in STREAM_PATHS
        method = "GET" if received.path == "/safe/x" else "POST"
        fields = {
            "Host": "a.example",
            "X-Request-Id": received.request_id,
            "X-Deadline-Ms": 5000,
            "Authorization": f"Token {KEY}",
            **(self._world.stream_headers() if is_stream else {}),
        }
        if method == "POST":
            fields["Content-Length"] = 0
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"{method} {received.path} HTTP/1.1\r\n{lines}\r\n"
        self._socket.sendall(head.encode())

    def _receive(self, received):
        head = self._until(b"\r\n\r\n")
        status_line, *lines = head.split(b"\r\n")
        if not status_line.startswith(b"HTTP/1.1 "):
            raise _ForeignError(f"no status line: {status_line[:60]!r}")
        fields = dict(line.lower().split(b": ", 1) for line in lines)
        received.status = int(status_line.split()[1])
        own_id = received.request_id.encode()
        if fields.get(b"x-request-id", own_id) != own_id:
            raise _ForeignError(f"id {fields[b'x-request-id']!r}")
        if b"content-length" in fields:
            received.body = self._take(int(fields[b"content-length"]))
        else:
            self._receive_chunks(received)
        received.is_whole = True
        if fields.get(b"connection") == b"close":
            self._expect_end()

    def _receive_chunks(self, received):
        while True:
            size = self._until(b"\r\n")
            try:
                length = int(size, 16)
            except ValueError:
                raise _ForeignError(f"no size of a chunk: {size[:60]!r}") from None
            received.body += self._take(length)
            if self._take(2) != b"\r\n":
                raise _ForeignError("a chunk without an end")
            if not length:
                return

    def _until(self, end) -> bytes:
        while end not in self._data:
            self._read()
        found, _, self._data = self._data.partition(end)
        return found

    def _take(self, count) -> bytes:
        while len(self._data) < count:
            self._read()
        taken, self._data = self._data[:count], self._data[count:]
        return taken

    def _read(self):
        data = self._socket.recv(65_536)
        if not data:
            raise _EndedError
        self._data += data

    def _expect_end(self):
        if self._data or self._socket.recv(1):
            raise _ForeignError("bytes behind the last response")
        raise _EndedError

    def _wait(self, received):
        """Pause; nothing may arrive while no request waits."""
        until_s = time.monotonic() + self._draw.uniform(0.0, MAX_PAUSE_S)
        left_s = until_s - time.monotonic()
        if self._data or select.select([self._socket], [], [], left_s)[0]:
            self._data += self._socket.recv(65_536)
            if self._data:
                raise _ForeignError(f"behind a response: {self._data[:60]!r}")
            raise _EndedError
