"""Steps for messages whose head or framing ends early."""

import contextlib
import json
import socket
import struct
import threading
import time

from behave import given, then

from kumquatseam.cachefeeds import CacheHolder
from kumquatseam.engines import (
    EngineRequest,
    EngineTarget,
    HttpEngineClient,
    HttpEngineOrderClient,
    OrderUnansweredError,
    RoleOrder,
)
from kumquatseam.instances import HttpInstanceList, Instance, InstanceListError
from kumquatseam.logservice import HttpLogService, LogAnswerLostError
from kumquatseam.logservice._framing import frame_records
from kumquatseam.platform._cache_events import PlatformCacheClient
from kumquatseam.platform._orders import PlatformOrderClient
from kumquatseam.request_errors import UpstreamError
from kumquatseam.rollouts import MoveOutcome, OrderOutcome, WeightsOrder
from kumquatseam.services import HttpServiceClient, ServiceCall
from kumquatseam.upstreams import Upstream, WeightsVersion

REPORT = {
    "stage": "unified",
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 2,
    "waiting": 1,
    "running": 12,
    "kvUsed": 1,
    "kvTotal": 2,
    "handles": 0,
}
PAGE = {
    "epoch": 1,
    "nextToken": 2,
    "lost": False,
    "events": [[1, "+", "s", "a1", 800, "m0"]],
}
LISTING = {"epoch": 1, "nextToken": 2, "held": [["s", "a1", 800, "m0"]]}
RECORDS = (1).to_bytes(8, "big") + (0).to_bytes(8, "big") + frame_records([b"record"])
CHUNK = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
DONE = b"data: [DONE]\n\n"
#: cuts of a body that are left out; those of heads and framing are all made.
BODY_STEP = 5


class CutServer:
    """Answers each request with some bytes, and closes or resets its connection."""

    def __init__(self):
        self.answer = b""
        self.is_reset = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(2.0)
                self._read_request(connection)
                connection.sendall(self.answer)
                if self.is_reset:
                    reset(connection)

    def _read_request(self, connection):
        with connection.makefile("rb") as reader:
            length = 0
            while line := reader.readline().strip():
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            reader.read(length)

    def close(self):
        self._listener.close()


def reset(connection):
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class Reader:
    """A call to the server.

    :param status: the status of its whole answer.
    :param body: its body.
    :param call: makes the call.
    :param failure: what it returns, or the type that it raises, without an answer.
    """

    def __init__(self, status, body, call, failure):
        self.status = status
        self.body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.call = call
        self.failure = failure

    def fails(self) -> bool:
        """Make a call; return whether it counts as unanswered."""
        try:
            found = self.call()
        except Exception as error:
            if isinstance(self.failure, type) and isinstance(error, self.failure):
                # What was sent may have run.
                return getattr(error, "started", True)
            raise
        return not isinstance(self.failure, type) and found is self.failure


def readers(address):
    url = f"http://{address}"
    upstream = Upstream("e0", "engines", address)
    holder = CacheHolder("e0", address, "e0")
    target = EngineTarget("e0", url)
    orders, cache = PlatformOrderClient(), PlatformCacheClient()
    log, instances = HttpLogService(url), HttpInstanceList(url)
    services = HttpServiceClient(1.0, 1.0)
    own_orders = HttpEngineOrderClient(1.0)
    engines = HttpEngineClient(1.0, 1.0, 1.0)
    weights = WeightsOrder(WeightsVersion("m0", 2), "h", 1, 0)
    other = Upstream("e1", "engines", "127.0.0.1:1")
    instance = Instance("i0", "engine", url, "z0")
    request = EngineRequest("r", "m0", "p", 8, "s", 0)
    newest = {"items": [], "hasMore": False, "end": 3}
    moved = {"handle": "h1", "createRevision": 12}
    return {
        "reports": Reader(200, REPORT, lambda: orders.report(upstream), None),
        "cache events": Reader(
            200, PAGE, lambda: cache.read_events(holder, 0, 0.0), None
        ),
        "cache listings": Reader(200, LISTING, lambda: cache.list_parts(holder), None),
        "weights orders": Reader(
            202,
            b"accepted, soon",
            lambda: orders.order(upstream, weights),
            OrderOutcome.UNANSWERED,
        ),
        "moves": Reader(
            200,
            moved,
            lambda: orders.move_run(upstream, "r", other, False).outcome,
            MoveOutcome.UNANSWERED,
        ),
        "reads of the log": Reader(
            200, RECORDS, lambda: log.read("t", 0), LogAnswerLostError
        ),
        "appends to the log": Reader(
            200, {"offset": 12}, lambda: log.append("t", [b"x"]), LogAnswerLostError
        ),
        "newest records": Reader(
            200, newest, lambda: log.newest("t"), LogAnswerLostError
        ),
        "the instance list": Reader(
            200, {"instances": []}, instances.read, InstanceListError
        ),
        "registrations": Reader(
            200, b"registered", lambda: instances.register(instance), InstanceListError
        ),
        "plain services": Reader(
            200,
            b"ten bytes.",
            lambda: services.call(url, ServiceCall("r", "POST", "x", b"q", None, "t")),
            UpstreamError,
        ),
        "orders of the own interface": Reader(
            202,
            b"accepted, soon",
            lambda: own_orders.send(target, RoleOrder("serving", "h", 1)),
            OrderUnansweredError,
        ),
        "streams of the own interface": Reader(
            200,
            CHUNK + CHUNK + DONE,
            lambda: list(engines.stream(target, request)),
            UpstreamError,
        ),
    }


def framed(status, body, framing):
    """Return an answer, and the bytes after which it may be cut."""
    lines = [f"HTTP/1.1 {status} Fine", "Server: cut", "Store-Era: 7"]
    is_chunked = framing == "by chunks"
    if is_chunked:
        lines.append("Transfer-Encoding: chunked")
        pieces = [body[:7], body[7:]]
        # A size with zeros in front begins like the last chunk.
        body = b"".join(b"00%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        body += b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "Server-Timing: x", "", ""]
    line_end = "\n" if framing.endswith("LF") else "\r\n"
    head = line_end.join(lines).encode()
    step = 1 if is_chunked else BODY_STEP
    cuts = [*range(len(head)), *range(len(head), len(head) + len(body), step)]
    return head + body, cuts


@given("a server whose answers to {reader} are framed {framing}")
def step_cut_server(context, reader, framing):
    context.server = CutServer()
    context.add_cleanup(context.server.close)
    context.reader = readers(context.server.address)[reader]
    answer, cuts = framed(context.reader.status, context.reader.body, framing)
    if DONE in context.reader.body:
        # What follows the mark of a stream's end belongs to nothing.
        cuts = [cut for cut in cuts if cut < answer.rindex(b"]")]
    context.answer, context.cuts = answer, cuts


@then("an answer that comes whole is read")
def step_whole_answer(context):
    context.server.answer = context.answer
    for _ in range(2):
        assert not context.reader.fails()


@then("none that is closed or reset after any byte is taken for one")
def step_cut_answers(context):
    taken = []
    for is_reset in (False, True):
        context.server.is_reset = is_reset
        for cut in context.cuts:
            context.server.answer = context.answer[:cut]
            if not context.reader.fails():
                taken.append((is_reset, context.answer[:cut][-30:]))
    tried = 2 * len(context.cuts)
    assert not taken, f"{len(taken)} of {tried}: {taken[:4]}"


# Framing that can be read in several ways.

IN_CHUNKS = b"00a\r\nten bytes.\r\n0\r\n\r\n"
UNCLEAR = {
    "a length that is no number": (b"Content-Length: ten\r\n", b"ten bytes."),
    "a length with a sign": (b"Content-Length: +10\r\n", b"ten bytes."),
    "a length below zero": (b"Content-Length: -10\r\n", b"ten bytes."),
    "a length in two lines": (b"Content-Length: 1\r\n 0\r\n", b"ten bytes."),
    "an empty length": (b"Content-Length:\r\n", b"ten bytes."),
    "a length behind a bare CR": (b"X: y\rContent-Length: 3\r\n", b"ten bytes."),
    "two lengths": (b"Content-Length: 3\r\nContent-Length: 10\r\n", b"ten bytes."),
    "a length and chunks": (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        IN_CHUNKS,
    ),
    "chunks and another coding": (b"Transfer-Encoding: gzip, chunked\r\n", IN_CHUNKS),
    "chunks in a second field": (
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        IN_CHUNKS,
    ),
    "a coding that is not known": (b"Transfer-Encoding: x\r\n", b"ten bytes."),
    "a length behind what is no field": (
        b"no field\r\nContent-Length: 10\r\n",
        b"ten bytes.",
    ),
    "a length whose name has a space": (b"Content-Length : 10\r\n", b"ten bytes."),
    "another version": (b"Content-Length: 10\r\n", b"ten bytes."),
}


@given("a server whose answers' heads tell {framing}")
def step_unclear(context, framing):
    context.server = CutServer()
    context.add_cleanup(context.server.close)
    context.reader = readers(context.server.address)["plain services"]
    fields, context.body = UNCLEAR[framing]
    version = b"HTTP/2" if framing == "another version" else b"HTTP/1.1"
    context.head = version + b" 200 OK\r\n" + fields + b"\r\n"


@then("no part of one is taken for the whole")
def step_no_part(context):
    taken = []
    for cut in range(len(context.body) + 1):
        context.server.answer = context.head + context.body[:cut]
        try:
            found = context.reader.call().body
        except UpstreamError:
            continue
        if found != b"ten bytes.":
            taken.append((context.body[:cut], found))
    assert not taken, f"{len(taken)} of {len(context.body) + 1}: {taken[:4]}"


# Interim heads.


class InterimServer(CutServer):
    """Sends an interim head at once, and its answers on kept connections later."""

    def __init__(self, interim):
        self._interim = b"HTTP/1.1 %b\r\nLink: x\r\n\r\n" % interim.encode()
        super().__init__()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            arguments = (connection,)
            threading.Thread(target=self._answer, args=arguments, daemon=True).start()

    def _answer(self, connection):
        with connection, connection.makefile("rb") as reader:
            while line := reader.readline():
                path = line.split()[1]
                while reader.readline().strip():
                    pass
                with contextlib.suppress(OSError):
                    connection.sendall(self._interim)
                    time.sleep(0.02)
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                        % (len(path), path)
                    )


@given("a server that sends {interim} before each answer")
def step_interim(context, interim):
    context.server = InterimServer(interim)
    context.add_cleanup(context.server.close)
    context.services = HttpServiceClient(1.0, 1.0)


def _call(context, number):
    call = ServiceCall("r", "GET", f"{number}", b"", None, "t")
    return context.services.call(f"http://{context.server.address}", call)


@then("every answer is the one to its call")
def step_right_answers(context):
    found = [_call(context, number) for number in range(4)]
    answers = [(response.status, response.body) for response in found]
    assert answers == [(200, b"/%d" % n) for n in range(4)], answers


@then("every call fails")
def step_calls_fail(context):
    for number in range(4):
        try:
            found = _call(context, number)
        except UpstreamError:
            continue
        raise AssertionError(found)
