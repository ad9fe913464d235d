"""Clients that take a server's memory or connections, all at the same time.

Usage: crowd.py JSON, with

- ``port`` and ``path``: where they send requests;
- ``authorization``: the value of that header;
- ``kind``: what they do, a key of ``KINDS``;
- ``count``: how many of them there are;
- ``body_bytes`` and ``head_bytes``: the largest body and head that the server takes;
- ``model``: the model that completions name;
- ``hold_s``: how long they stay after they have sent what they send.

Prints ``settled`` once each of them has sent all that it sends before it waits, was
closed, or can send nothing more; and ``left`` once all have left.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402

#: a client that can send nothing for this long has sent what it can.
BLOCKED_S = 20.0
#: what is left out of bodies that are never finished.
LEFT_OUT_BYTES = 1024
#: how much more than the largest body a client without end sends.
ENDLESS_FACTOR = 8
PIECE_BYTES = 65_536
CHUNK_BYTES = 4096
PIPELINED = 8
TRICKLE_PAUSE_S = 0.3
#: how slow readers receive.
READ_BYTES = 1024
READ_PAUSE_S = 0.2
#: the receive buffer of slow readers.
RECEIVE_BUFFER_BYTES = 16_384


@attrs.frozen
class Options:
    """What the crowd is told; see the module."""

    port: int
    authorization: str
    path: str
    kind: str
    count: int
    body_bytes: int
    head_bytes: int
    hold_s: float
    model: str = ""
    model_headers: dict[str, str] = attrs.Factory(dict)


def request_head(options: Options, number: int, *fields: str) -> bytes:
    """Return a request's head without its empty line."""
    lines = [
        f"POST {options.path} HTTP/1.1",
        "Host: a.example",
        f"X-Request-Id: crowd-{number}-{time.monotonic_ns():x}",
        "X-Deadline-Ms: 20000",
        f"Authorization: {options.authorization}",
        *(f"{name}: {value}" for name, value in options.model_headers.items()),
        *fields,
    ]
    return "".join(f"{line}\r\n" for line in lines).encode()


def _with_length(options, number, length_bytes):
    return request_head(options, number, f"Content-Length: {length_bytes}") + b"\r\n"


def _in_chunks(options, number):
    return request_head(options, number, "Transfer-Encoding: chunked") + b"\r\n"


def _chunked(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def _endless(first, piece, options):
    yield first
    left_bytes = options.body_bytes * ENDLESS_FACTOR
    while left_bytes > 0:
        yield piece
        left_bytes -= len(piece)


def trailer_line(options, number):
    """Yield a body in chunks, and a trailer without the end of its line."""
    first = _in_chunks(options, number) + b"4\r\nbody\r\n0\r\nX-Note: "
    return _endless(first, b"a" * PIECE_BYTES, options)


def short_trailers(options, number):
    """Yield a body in chunks, and trailers without end."""
    first = _in_chunks(options, number) + b"4\r\nbody\r\n0\r\n"
    return _endless(first, b"X-Note: abc\r\n" * (PIECE_BYTES // 13), options)


def chunk_extension(options, number):
    """Yield the size of a chunk with an extension without end."""
    first = _in_chunks(options, number) + b"4;"
    return _endless(first, b"a" * PIECE_BYTES, options)


def header_line(options, number):
    """Yield a header field without the end of its line."""
    first = request_head(options, number) + b"X-Note: "
    return _endless(first, b"a" * PIECE_BYTES, options)


def tiny_fields(options, number):
    """Yield a head of the largest size, of short fields, but for its end."""
    head = request_head(options, number)
    yield head + b"a1:b\r\n" * ((options.head_bytes - len(head)) // 8)


def expectations(options, number):
    """Yield a head full of fields that ask for an interim response."""
    head = request_head(options, number)
    field = b"Expect: 100-continue\r\n"
    yield head + field * ((options.head_bytes - len(head)) // (len(field) + 2))


def unfinished_body(options, number):
    """Yield a body of the largest size, but for its end."""
    yield _with_length(options, number, options.body_bytes)
    yield b"x" * (options.body_bytes - LEFT_OUT_BYTES)


def trickling_body(options, number):
    """Yield the same, and then a byte now and then."""
    yield from unfinished_body(options, number)
    for _ in range(LEFT_OUT_BYTES // 2):
        yield TRICKLE_PAUSE_S
        yield b"x"


def unfinished_chunks(options, number):
    """Yield a body of the largest size in chunks, but for its end."""
    yield _in_chunks(options, number)
    chunk = _chunked(b"x" * CHUNK_BYTES)
    for _ in range((options.body_bytes - LEFT_OUT_BYTES) // CHUNK_BYTES):
        yield chunk


def whole_body(options, number):
    """Yield a whole request of the largest size."""
    yield _with_length(options, number, options.body_bytes) + b"x" * options.body_bytes


def pipelined_bodies(options, number):
    """Yield several whole requests of the largest size at once."""
    for _ in range(PIPELINED):
        yield from whole_body(options, number)


def whole_completion(options, number):
    """Yield a whole completion request of about the largest size."""
    call = {"model": options.model, "prompt": "", "max_tokens": 1}
    # Short words: each is a token.
    call["prompt"] = "ab " * ((options.body_bytes - len(json.dumps(call))) // 3)
    body = json.dumps(call).encode()
    yield _with_length(options, number, len(body)) + body


def small_request(options, number):
    """Yield a small whole request."""
    yield _with_length(options, number, 4) + b"body"


def nothing(options, number):
    """Yield nothing."""
    return ()


@attrs.frozen
class Kind:
    """What the clients of a crowd do.

    :param send: yields what a client sends, and pauses in seconds.
    :param reads_slowly: whether it receives little by little, instead of nothing.
    """

    send: object
    reads_slowly: bool = False


KINDS = {
    "trailer line": Kind(trailer_line),
    "short trailers": Kind(short_trailers),
    "chunk extension": Kind(chunk_extension),
    "header line": Kind(header_line),
    "tiny fields": Kind(tiny_fields),
    "expectations": Kind(expectations),
    "unfinished bodies": Kind(unfinished_body),
    "trickling bodies": Kind(trickling_body),
    "unfinished chunks": Kind(unfinished_chunks),
    "whole bodies": Kind(whole_body),
    "pipelined bodies": Kind(pipelined_bodies),
    "whole completions": Kind(whole_completion),
    "slow readers": Kind(small_request, reads_slowly=True),
    "idle connections": Kind(nothing),
}


class Client:
    """One client of the crowd.

    :param options: see the module.
    :param number: which one it is.
    """

    def __init__(self, options: Options, number: int) -> None:
        self._options = options
        self._number = number
        self._kind = KINDS[options.kind]
        self._socket = socket.socket()
        #: when it last sent something; ``None`` once it has sent all or was closed.
        self.sent_s: float | None = time.monotonic()

    def run(self) -> None:
        """Connect and send until the connection is closed."""
        try:
            self._connect()
            self._send()
        except OSError:
            # Refused or closed, as the server may.
            pass
        finally:
            self.sent_s = None

    def close(self) -> None:
        """Leave."""
        self._socket.close()

    @property
    def is_settled(self) -> bool:
        """Whether it sends nothing more, or nothing more is taken."""
        sent_s = self.sent_s
        return sent_s is None or time.monotonic() - sent_s > BLOCKED_S

    def _connect(self) -> None:
        if self._kind.reads_slowly:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._socket.connect(("127.0.0.1", self._options.port))
        if self._kind.reads_slowly:
            gevent.spawn(self._receive)

    def _send(self) -> None:
        for piece in self._kind.send(self._options, self._number):
            if isinstance(piece, float):
                self.sent_s = None
                gevent.sleep(piece)
                continue
            view = memoryview(piece)
            while view:
                view = view[self._socket.send(view) :]
                if self.sent_s is not None:
                    self.sent_s = time.monotonic()

    def _receive(self) -> None:
        try:
            while self._socket.recv(READ_BYTES):
                gevent.sleep(READ_PAUSE_S)
        except OSError:
            return


def main() -> None:
    """Let the clients come, stay and leave."""
    options = Options(**json.loads(sys.argv[1]))
    clients = [Client(options, number) for number in range(options.count)]
    for client in clients:
        gevent.spawn(client.run)
    while not all(client.is_settled for client in clients):
        gevent.sleep(0.05)
    print("settled", flush=True)
    gevent.sleep(options.hold_s)
    for client in clients:
        client.close()
    print("left", flush=True)


if __name__ == "__main__":
    main()
