"""Steps for answers that end without being complete."""

import random
import signal
import threading
import time

import attrs
import urllib3
from behave import given, then, when
from moves_steps import MovingOrders, _build
from platform_replica import ENDS_INSIDE
from upstream_wishes_steps import cut_gateways

from kumquatseam.engines._client import _chunks
from kumquatseam.errors import UpstreamError
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.rollouts import RunEndedError

LINE_ENDS = (b"\n", b"\r\n", b"\r")
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


class FailingMoves(MovingOrders):
    """Stops the run, and then fails."""

    def move_run(self, source, request_id, destination):
        return None


def _build_unframed(context):
    _build(context, 0)
    source = context.pool.connections["10.0.0.1:1"]
    source.is_whole = True
    read_head = source.read_head
    source.read_head = lambda *arguments: attrs.evolve(
        read_head(*arguments), is_chunked=False
    )


class EndedRuns(MovingOrders):
    """Says that the run had ended."""

    def move_run(self, source, request_id, destination):
        raise RunEndedError(source.upstream_id, request_id)


def _set_orders(context, orders):
    handler = context.handler
    handler._parts = attrs.evolve(handler._parts, orders=orders)


@given("a stream without framing that is moved to an engine reached at attempt 1")
def step_moved_unframed(context):
    _build_unframed(context)


@given("a stream without framing whose run ends before it is moved")
def step_ended_unframed(context):
    _build_unframed(context)
    _set_orders(context, EndedRuns())


@given("a stream without framing whose run is stopped by a move that fails")
def step_failed_move(context):
    _build_unframed(context)
    _set_orders(context, FailingMoves())


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
    started_s = time.monotonic()
    ended = 0
    while time.monotonic() < started_s + 9.0:
        if time.monotonic() > started_s + 2.0 * (ended + 1):
            gateway = world.gateways[2 + ended % 2]
            number = signal.SIGKILL if how == "killed" else signal.SIGTERM
            gateway.process.send_signal(number)
            threads.append(threading.Thread(target=_restart, args=(context, gateway)))
            threads[-1].start()
            ended += 1
        path = draw.choice(("/plain/x", "/safe/x", "/resume/x"))
        answer = Answer(path, True)
        context.answers.append(answer)
        arguments = (world, answer, draw.randrange(2), len(context.answers))
        threads.append(threading.Thread(target=_ask, args=arguments))
        threads[-1].start()
        time.sleep(0.03)
    for thread in threads:
        thread.join()


def _restart(context, gateway):
    gateway.process.wait()
    gateway.start()
    for proxy in context.proxies:
        proxy.pids.append(gateway.process.pid)


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


class EngineBody:
    """The body of an engine's response.

    :param data: all of it.
    """

    def __init__(self, data):
        self.data = data

    def stream(self, size):
        for start in range(0, len(self.data), size):
            yield self.data[start : start + size]

    def drain_conn(self):
        pass


@given("an engine whose stream ends inside an event")
def step_engine_ends(context):
    chunk = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
    context.body = EngineBody(chunk * 2 + chunk[:25])


@when("its chunks are read by the own interface")
def step_read_chunks(context):
    context.chunks, context.error = [], None
    try:
        for chunk in _chunks("e0", "r", context.body):
            context.chunks.append(chunk)
    except Exception as error:  # noqa: BLE001 - the error itself is checked
        context.error = error


@then("the error says that the response was broken off, after {count:d} chunks")
def step_own_broken_off(context, count):
    assert len(context.chunks) == count, context.chunks
    assert isinstance(context.error, UpstreamError), repr(context.error)
    assert context.error.started
