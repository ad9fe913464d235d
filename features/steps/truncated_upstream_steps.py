"""Steps for answers of upstreams that end early, at a gateway."""

import contextlib
import io
import random
import socket
import threading
import time

import gevent.socket
from behave import given, then, when
from broken_answers_steps import _events, _receive
from truncated_heads_steps import reset

from kumquatseam.http1 import ResponseInterruptedError, SocketWait, UpstreamConnection
from kumquatseam.relays._coding import LAST_CHUNK, ChunkedDecoder, encode_chunk

REQUEST_ID = "r1"
ID_HEADER = b"x-request-id"
BODY = b"data: one\n\ndata: two\n\n"
LINES = ["HTTP/1.1 200 OK", f"X-Request-Id: {REQUEST_ID}", "Server: cut"]
WHOLE = b"whole answer"
#: answers that are cut, for each path.
CUTS = 16


def frame(lines, body, framing):
    """Return an answer; ``lines`` are its status and its fields."""
    lines = [line for line in lines if not line.lower().startswith("content-length")]
    if framing.startswith("by chunks"):
        codings = ["gzip"] if framing.endswith("twice") else []
        lines += [f"Transfer-Encoding: {coding}" for coding in [*codings, "chunked"]]
        pieces = [body[:7], body[7:]] if len(body) > 7 else [body]
        body = b"".join(b"00%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        body += b"0\r\n\r\n"
    elif framing == "by a length":
        lines += [f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "Server-Timing: x", "", ""]).encode() + body


# One connection.


@given("an answer framed {framing}, on a connection {where}")
def step_answer(context, framing, where):
    context.is_tunnel = where == "on a tunnel"
    context.answer = frame(LINES, BODY, framing)
    context.cuts = range(len(context.answer))
    if framing == "by its connection":
        # Behind its head, any end is right.
        context.cuts = range(context.answer.index(b"\r\n\r\n") + 4)


def _receive_one(data, is_tunnel, is_reset=False):
    """Return the body of an answer, or ``None`` if it was not whole."""
    ours, theirs = gevent.socket.socketpair()
    if is_reset:
        ours.close()
        theirs.close()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            ours = gevent.socket.create_connection(listener.getsockname())
            theirs, _ = listener.accept()
    decoder = ChunkedDecoder() if is_tunnel else None
    connection = UpstreamConnection("a:1", ours, decoder=decoder)
    wait = SocketWait(time.monotonic() + 2.0, "a:1")
    body = b""
    try:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.recv(100)
        theirs.sendall(data)
        reset(theirs) if is_reset else theirs.close()
        connection.read_head(REQUEST_ID, ID_HEADER, wait)
        while piece := connection.read_body(wait):
            body += piece
    except ResponseInterruptedError:
        return None
    finally:
        connection.close()
    return body


def _on_the_way(context, data, is_ended=True):
    if not context.is_tunnel:
        return data
    return (encode_chunk(data) if data else b"") + (LAST_CHUNK if is_ended else b"")


@then("a whole one is received")
def step_whole_received(context):
    data = _on_the_way(context, context.answer)
    assert _receive_one(data, context.is_tunnel) == BODY


@then("none that is closed or reset after any byte is whole")
def step_none_whole(context):
    wrong = []
    for is_reset in (False, True):
        for cut in context.cuts:
            data = _on_the_way(context, context.answer[:cut], not is_reset)
            body = _receive_one(data, context.is_tunnel, is_reset)
            if body is not None:
                wrong.append((is_reset, context.answer[:cut][-20:], body))
    assert not wrong, f"{len(wrong)} of {2 * len(context.cuts)}: {wrong[:3]}"


@then("none whose tunnel is closed after any byte is whole")
def step_tunnel_cut(context):
    data = _on_the_way(context, context.answer)
    wrong = [cut for cut in range(len(data)) if _receive_one(data[:cut], True)]
    assert not wrong, f"{len(wrong)} of {len(data)}: {wrong[:3]}"
    assert _receive_one(data, True) == BODY


# A whole gateway.


class Recorder:
    """Stands for a replica's connection while its answer is written."""

    def __init__(self, http):
        self._http = http
        self.wfile = io.BytesIO()
        self.close_connection = False

    def __getattr__(self, name):
        return getattr(self._http, name)

    def send_response(self, status):
        self.wfile.write(b"HTTP/1.1 %d OK\r\n" % status)

    def send_header(self, name, value):
        self.wfile.write(f"{name}: {value}\r\n".encode())

    def end_headers(self):
        self.wfile.write(b"\r\n")


class Cutter:
    """Cuts the answers of replicas.

    :param replicas: the replicas.
    :param framing: how their answers are framed.
    :param draw: a random number generator.
    """

    def __init__(self, replicas, framing, draw):
        self._framing = framing
        self._draw = draw
        self._lock = threading.Lock()
        #: how many answers are still to be cut.
        self.left = 0
        self.cut = []
        for replica in replicas:
            replica.event_pause_s = 0.0
            replica.pieces = [WHOLE]
            serve = replica._serve_seen
            replica._serve_seen = lambda http, seen, s=serve: self._serve(http, seen, s)

    def _serve(self, http, seen, serve):
        recorder = Recorder(http)
        serve(recorder, seen)
        head, _, body = recorder.wfile.getvalue().partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        if "Transfer-Encoding: chunked" in lines:
            lines.remove("Transfer-Encoding: chunked")
            body = _unchunked(body)
        answer = frame(lines, body, self._framing)
        with self._lock:
            is_cut = self.left > 0
            self.left -= 1
            end = answer.index(b"\r\n\r\n") + 4
            # Half of the cuts are in the head.
            ends = (0, end) if self._draw.random() < 0.5 else (end, len(answer))
            cut = self._draw.randrange(*ends)
            is_reset = self._draw.random() < 0.5
        if not is_cut:
            http.wfile.write(answer)
            return
        self.cut.append(answer[:cut])
        http.close_connection = True
        with contextlib.suppress(OSError):
            http.wfile.write(answer[:cut])
            http.wfile.flush()
            if is_reset:
                reset(http.connection)
            else:
                http.connection.shutdown(socket.SHUT_RDWR)


def _unchunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body


@when("answers framed {framing} are closed or reset after some byte, of seed {seed:d}")
def step_cut_answers(context, framing, seed):
    world = context.platform
    replicas = list(world.replicas.values())
    cutter = Cutter(replicas, framing, random.Random(seed))
    context.is_stream = replicas[0].version is not None
    paths = ("/once/x", "/resume/x") if context.is_stream else ("/plain/x", "/safe/x")
    context.got = []
    for path in paths:
        method = "GET" if path == "/safe/x" else "POST"
        for number in range(CUTS):
            # Every other one of those that may run twice gets no answer at all.
            cutter.left = 99 if number % 2 else 1
            cutter.cut.clear()
            received = _receive(world, path, method=method)
            cut, cutter.left = list(cutter.cut), 0
            assert cut, "no answer was cut"
            context.got.append((path, bool(number % 2), cut, received))
            # What answered wrongly is used again.
            uncut = _receive(world, path, method=method)
            context.got.append((path, False, [], uncut))


def _whole(path):
    return _events(1, 6) if path in ("/once/x", "/resume/x") else WHOLE


@then("those that must not run twice, and those that no replica answers, fail visibly")
def step_fail_visibly(context):
    wrong, count = [], 0
    for path, is_all, cut, (status, body, is_complete) in context.got:
        if is_all or (cut and path in ("/plain/x", "/once/x")):
            count += 1
            if status == 200 and is_complete:
                wrong.append((path, [data[-20:] for data in cut], body))
    assert count >= 3 * CUTS / 2, count
    assert not wrong, f"{len(wrong)} of {count}: {wrong[:3]}"


@then("the others reach their callers whole")
def step_others_whole(context):
    for path, is_all, cut, received in context.got:
        if not cut or (not is_all and path in ("/safe/x", "/resume/x")):
            assert received == (200, _whole(path), True), (path, cut, received)
