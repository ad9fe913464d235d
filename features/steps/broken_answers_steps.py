"""Steps for answers that end without being complete."""

import contextlib
import json
import random
import signal
import socket
import threading
import time

import attrs
import urllib3
from behave import given, then, when
from moves_steps import ScriptedMoves, _build
from pace import TestClock, evenly
from platform_replica import ENDS_INSIDE
from platform_world import wait_until
from upstream_wishes_steps import cut_gateways

from kumquatseam.cachefeeds import CacheHolder
from kumquatseam.engines import EngineRequest, EngineTarget, HttpEngineClient
from kumquatseam.errors import KumquatseamError
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.logservice import HttpLogService
from kumquatseam.logservice._framing import frame_records
from kumquatseam.platform._cache_events import PlatformCacheClient
from kumquatseam.platform._orders import PlatformOrderClient
from kumquatseam.request_errors import UpstreamError
from kumquatseam.rollouts import MoveOutcome, MoveResult
from kumquatseam.services import HttpServiceClient, ServiceCall
from kumquatseam.upstreams import Upstream

LINE_ENDS = (b"\n", b"\r\n", b"\r")
LOST = MoveResult(MoveOutcome.UNANSWERED)
#: limit on a restart, beside any load.
RESTART_S = 30.0
#: how many requests callers of cut gateways send, and for how long.
REQUESTS_PER_S = 100 / 3
ALL_S = 9.0
PLAIN_BODY = b"".join(b"piece %d\n" % number for number in range(8))


# Splitting at the ends of events.


@attrs.define
class RandomStream:
    """A stream that is cut off at a byte.

    :param data: what was received of it.
    :param expected: its complete events.
    :param is_cut_inside: whether a part of another event follows them.
    """

    data: bytes
    expected: bytes
    is_cut_inside: bool


def _random_stream(draw):
    line_end = draw.choice(LINE_ENDS)
    lines = []
    ends = [0]
    data = b""
    for number in range(draw.randrange(1, 5)):
        lines = [b"id: %d" % number, b"data: piece"]
        if draw.random() < 0.3:
            lines.insert(0, b": a comment")
        if draw.random() < 0.3:
            lines.insert(0, b"x-weight-versions: 2")
        data += b"".join(line + line_end for line in lines) + line_end
        ends.append(len(data))
    cut = draw.randrange(len(data) + 1)
    received = data[:cut]
    expected = data[: max(end for end in ends if end <= cut)]
    rest = received[len(expected) :]
    lines = rest.splitlines(keepends=True)
    is_between = all(
        line.endswith((b"\n", b"\r")) and line[:1] in b":\r\n" for line in lines
    )
    return RandomStream(received, expected, not is_between)


@given("{count:d} random streams with any line ends, of seed {seed:d}")
def step_streams(context, count, seed):
    context.draw = random.Random(seed)
    context.streams = [_random_stream(context.draw) for _ in range(count)]


@when("each is cut off anywhere and received in random pieces")
def step_split(context):
    context.splitters = []
    for stream in context.streams:
        splitter, passed_on, rest = EventSplitter(), b"", stream.data
        while rest:
            size = context.draw.randrange(1, len(rest) + 1)
            passed_on += splitter.feed(rest[:size])
            rest = rest[size:]
        context.splitters.append((splitter, passed_on))


@then("all of its complete events were passed on, and nothing of the next one")
def step_passed_on(context):
    for stream, (_, passed_on) in zip(context.streams, context.splitters, strict=True):
        assert passed_on == stream.expected, (stream, passed_on)


@then("it counts as cut inside an event if it was")
def step_cut_inside(context):
    for stream, (splitter, _) in zip(context.streams, context.splitters, strict=True):
        assert splitter.is_inside_event == stream.is_cut_inside, stream


@given("a stream of {count:d} comments and a part of an event")
def step_comments(context, count):
    context.data = b": comment\r\n" * count + b"data: pie"


@when("it is received")
def step_received(context):
    started_s = time.process_time()
    context.splitter = EventSplitter()
    context.splitter.feed(context.data)
    context.is_inside = context.splitter.is_inside_event
    context.took_s = time.process_time() - started_s


@then("it counts as cut inside an event, within {most_s:d} second")
def step_cut_in_time(context, most_s):
    assert context.is_inside
    assert context.took_s < most_s, context.took_s


# Gateways.


@given("replicas whose answers are framed {framing}")
def step_framing(context, framing):
    for replica in context.platform.replicas.values():
        replica.is_unframed = framing == "by their connections"


def _receive(world, path, **options):
    """Return the body of an answer, and whether its caller takes it for complete."""
    headers = world.stream_headers() if path.startswith(("/resume", "/once")) else {}
    try:
        answer = world.send(path, headers=headers, preload_content=False, **options)
    except urllib3.exceptions.HTTPError:
        return 0, b"", False
    body = b""
    try:
        for piece in answer.stream(4096):
            body += piece
    except urllib3.exceptions.HTTPError:
        return answer.status, body, False
    finally:
        answer.release_conn()
    return answer.status, body, True


@when("streams end inside the third event, in any way")
def step_end_inside(context):
    world = context.platform
    context.received = {}
    for path in ("/once/x", "/resume/x"):
        for fault in ENDS_INSIDE:
            for replica in world.replicas.values():
                replica.script.clear()
            used = []
            _script_first(world, used, fault)
            context.received[path, fault] = _receive(world, path)
            assert used, "no replica got the request"


def _script_first(world, used, fault):
    """Let the first replica that is asked end its stream so."""
    original = type(next(iter(world.replicas.values())))._serve

    def serve(self, http, body):
        if not used:
            used.append(self.upstream_id)
            self.script.append(fault)
        original(self, http, body)

    for replica in world.replicas.values():
        replica._serve = serve.__get__(replica)


def _events(first, last):
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


@then("those that cannot be resumed are broken off after {count:d} events")
def step_broken_off(context, count):
    for (path, fault), (_, body, is_complete) in context.received.items():
        if path == "/once/x":
            assert body == _events(1, count), (fault, body)
            assert not is_complete, fault


@then("those that can be resumed reach their callers whole")
def step_resumed(context):
    for (path, fault), (status, body, is_complete) in context.received.items():
        if path == "/resume/x":
            assert status == 200 and is_complete, (fault, status, body)
            assert body == _events(1, 6), (fault, body)


# Moved runs.


def _build_unframed(context, orders=None):
    _build(context, 0, orders=orders)
    source = context.pool.connections["10.0.0.1:1"]
    source.is_whole = True
    read_head = source.read_head
    source.read_head = lambda *arguments: attrs.evolve(
        read_head(*arguments), is_chunked=False
    )
    return source


@given("a stream without framing that is moved to an engine that can be reached")
def step_moved_unframed(context):
    _build_unframed(context)


@given("a stream without framing whose run ends before it is moved")
def step_ended_unframed(context):
    ended = MoveResult(MoveOutcome.ENDED)
    source = _build_unframed(context, ScriptedMoves(copied=ended))
    # Its stream ends while the move is asked for.
    source.orders = None


@given("a stream without framing whose run is stopped, and no engine goes on with it")
def step_failed_move(context):
    source = _build_unframed(context, ScriptedMoves(stopped=LOST))
    source.refusals_later = 99
    context.pool.connections["10.0.0.2:1"].refusals = 99


# Gateways that carry others' connections.


@given(
    "slow replicas whose answers end with their connections, after {seconds:g} seconds"
)
def step_slow_unframed(context, seconds):
    for replica in context.platform.replicas.values():
        replica.is_unframed = True
        replica.pieces = PLAIN_BODY.splitlines(keepends=True)
        replica.event_pause_s = seconds / 8


@attrs.define
class Answer:
    """What a caller got.

    :param is_cut: whether its gateway was cut from the replicas.
    """

    path: str
    is_cut: bool
    status: int = 0
    body: bytes = b""
    is_complete: bool = False


@when(
    "2 gateways are cut from all replicas and one of the others is {how} every 2 "
    "seconds"
)
def step_carriers_end(context, how):
    world = context.platform
    cut_gateways(context, 2)
    draw = random.Random(1)
    context.answers, threads = [], []
    clock = TestClock()
    ended = 0
    for _ in evenly(clock, REQUESTS_PER_S, ALL_S):
        if clock.now_s > 2.0 * (ended + 1):
            gateway = world.gateways[2 + ended % 2]
            number = signal.SIGKILL if how == "killed" else signal.SIGTERM
            ended += 1
            arguments = (context, gateway, number, clock, 2.0 * (ended + 1))
            threads.append(threading.Thread(target=_restart, args=arguments))
            threads[-1].start()
        path = draw.choice(("/plain/x", "/safe/x", "/resume/x"))
        answer = Answer(path, True)
        context.answers.append(answer)
        arguments = (world, answer, draw.randrange(2), len(context.answers))
        threads.append(threading.Thread(target=_ask, args=arguments))
        threads[-1].start()
    for thread in threads:
        thread.join()


def _restart(context, gateway, number, clock, end_s):
    """End a gateway with a signal and start it again.

    :param end_s: when the other one is to end. The clock waits with that until this one
        is ready: where that takes long, there would be none to carry anything.
    """
    gateway.process.send_signal(number)
    clock.wait_for(end_s, lambda: start_again(context, gateway))


def start_again(context, gateway):
    """Start a gateway that was told to end, once it has, and wait until it is ready."""
    gateway.process.wait()
    gateway.start()
    for proxy in context.proxies:
        proxy.pids.append(gateway.process.pid)
    wait_until("the gateway is ready again", gateway.is_ready, RESTART_S)


def _ask(world, answer, gateway, number):
    answer.status, answer.body, answer.is_complete = _receive(
        world, answer.path, gateway=gateway, request_id=f"r{number}"
    )


@then("no answer is complete to its caller without being whole")
def step_whole(context):
    wrong = [
        a
        for a in context.answers
        if a.status == 200 and a.is_complete and a.body != _whole(a.path)
    ]
    complete = sum(a.is_complete and a.status == 200 for a in context.answers)
    assert not wrong, f"{len(wrong)} of {complete}: {wrong[:3]}"


def _whole(path):
    return _events(1, 6) if path.startswith("/resume") else PLAIN_BODY


@then("the cut gateways served at least half of their requests")
def step_half_served(context):
    served = sum(a.is_complete and a.status == 200 for a in context.answers)
    assert served >= len(context.answers) / 2, (served, len(context.answers))


@then("no answer was broken off")
def step_none_broken_off(context):
    broken = [a for a in context.answers if not a.is_complete or a.status == 502]
    assert not broken, f"{len(broken)} of {len(context.answers)}: {broken[:3]}"


# The own interface.


@given("an engine whose stream ends inside an event")
def step_engine_ends(context):
    chunk = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
    context.peer = OneAnswer()
    context.add_cleanup(context.peer.close)
    context.peer.body = chunk * 2 + chunk[:25]


@when("its chunks are read by the own interface")
def step_read_chunks(context):
    context.chunks, context.error = [], None
    target = EngineTarget("e0", f"http://{context.peer.address}")
    request = EngineRequest("r", "m0", "a prompt", 8, "salt", 0)
    try:
        for chunk in HttpEngineClient(1.0, 1.0, 1.0).stream(target, request):
            context.chunks.append(chunk)
    except Exception as error:  # noqa: BLE001 - the error itself is checked
        context.error = error


@then("the error says that the response was broken off, after {count:d} chunks")
def step_own_broken_off(context, count):
    assert len(context.chunks) == count, context.chunks
    assert isinstance(context.error, UpstreamError), repr(context.error)
    assert context.error.started


# Plain answers, and other readers.

LARGE_PIECES = [b"x" * 50_000] * 8


@when("plain answers end, or are reset after a part, some of them large")
def step_plain_ends(context):
    world = context.platform
    context.received = {}
    for size, pieces in (("small", [b"whole"] * 3), ("large", LARGE_PIECES)):
        for replica in world.replicas.values():
            replica.pieces = pieces
        for path, method in (("/plain/x", "POST"), ("/safe/x", "GET")):
            for fault in ("", "reset in a body"):
                for replica in world.replicas.values():
                    replica.script.clear()
                _script_first(world, [], fault)
                received = _receive(world, path, method=method)
                context.received[size, path, fault] = received


@then("the whole ones reach their callers whole")
def step_plain_whole(context):
    for (size, path, fault), (status, body, is_complete) in context.received.items():
        if not fault:
            whole = b"".join(LARGE_PIECES) if size == "large" else b"whole" * 3
            assert (status, body, is_complete) == (200, whole, True), (size, path)


@then("the reset ones are sent again if they may run twice, and fail visibly otherwise")
def step_plain_reset(context):
    for (size, path, fault), (status, body, is_complete) in context.received.items():
        if not fault:
            continue
        if size == "small" and path == "/safe/x":
            assert (status, body, is_complete) == (200, b"whole" * 3, True), status
        elif size == "small":
            assert status == 502, (path, status)
        else:
            assert status == 200 and not is_complete, (path, status, len(body))


class OneAnswer:
    """Answers each connection with some bytes, and ends it."""

    def __init__(self, headers=b""):
        self.headers = headers
        self.body = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.recv(65_536)
            head = b"HTTP/1.1 200 OK\r\n" + self.headers + b"\r\n"
            connection.sendall(head + self.body)
            connection.shutdown(socket.SHUT_WR)
            # With unread bytes, the close would send a reset.
            connection.settimeout(1.0)
            with contextlib.suppress(OSError):
                while connection.recv(65_536):
                    pass
            connection.close()

    def close(self):
        self._listener.close()


def _readers(peer):
    """Return what each call sends back, and how it is read."""
    upstream = Upstream("r1", "engines", peer.address)
    holder = CacheHolder("r1", peer.address, "r1")
    log = HttpLogService(f"http://{peer.address}")
    report = {
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
    events = [[1, "+", "s", "a1", 800, "m0"]]
    page = {"epoch": 1, "nextToken": 2, "lost": False, "events": events}
    listing = {"epoch": 1, "nextToken": 2, "held": [["s", "a1", 800, "m0"]]}
    newest = {"items": [], "hasMore": False, "end": 3}
    records = (3).to_bytes(8, "big") + (0).to_bytes(8, "big")
    records += frame_records([b"one", b"two", b"three"])
    call = ServiceCall("q", "GET", "x", b"", None, "t")
    orders, cache = PlatformOrderClient(), PlatformCacheClient()
    services = HttpServiceClient(1.0, 1.0)
    url = f"http://{peer.address}"
    return {
        "a report": (json.dumps(report), lambda: orders.report(upstream)),
        "a page of cache events": (
            json.dumps(page),
            lambda: cache.read_events(holder, 0, 0.0),
        ),
        "a listing of the cache": (
            json.dumps(listing),
            lambda: cache.list_parts(holder),
        ),
        "a read of the log": (records, lambda: log.read("t", 0)),
        "the newest records": (json.dumps(newest), lambda: log.newest("t")),
        "a service call": ("whole", lambda: services.call(url, call)),
    }


@given("a peer whose answer to {call} has no framing")
def step_peer(context, call):
    context.call = call
    context.peer = OneAnswer()
    context.add_cleanup(context.peer.close)
    answer, context.read = _readers(context.peer)[call]
    context.answer = answer.encode() if isinstance(answer, str) else answer


@then("the whole answer is read")
def step_read_whole(context):
    context.peer.body = context.answer
    context.whole = context.read()
    assert context.whole is not None


@then("none that ends after any part of it is taken for one")
def step_read_part(context):
    if context.call == "a service call":
        # A part cannot be told from the whole, but for a length or a reset.
        context.peer.headers = b"Content-Length: %d\r\n" % len(context.answer)
    for length in range(0, len(context.answer), 3):
        context.peer.body = context.answer[:length]
        try:
            found = context.read()
        except KumquatseamError:
            continue
        if context.call == "a read of the log":
            # Whole records of a part are right: the next read goes on behind them.
            assert found.records == context.whole.records[: len(found.records)]
            continue
        assert found is None, (length, found)
