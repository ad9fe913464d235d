"""Steps for upstreams that answer twice."""

import random
import time

import attrs
from behave import given, then, when
from platform_steps import step_platform
from strict_caller import STREAM_PATHS, StrictCaller
from stuttering_replica import LEAST_BYTES, Spoiler, Stutter

from kumquatseam.http1 import Headers, ResponseHead
from kumquatseam.http1.second_response import SecondResponseFinder

#: what runs once at most.
ONCE_PATHS = ("/once/x", "/plain/x")
EVENTS = 6
PLAIN_BODY = b"".join(b"piece %d\n" % number for number in range(8))
STREAM_BODY = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, EVENTS + 1)
)


def _build(context):
    step_platform(context)
    world = context.platform
    for number in range(3):
        world.add_replica(
            "engines", f"e{number}", version=1, events=EVENTS, event_pause_s=0.004
        )
        replica = world.add_replica("plain", f"p{number}")
        replica.pieces = PLAIN_BODY.splitlines(keepends=True)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/resume/", "stream", "engines", resumable=True, maxAttempts=4)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/safe/", "idempotent", "plain", maxAttempts=3)
    world.put_configuration()
    world.name_weights(1)


@given("a gateway in front of replicas that answer some requests twice, seed {seed:d}")
def step_gateway(context, seed):
    _build(context)
    world = context.platform
    context.stutters = [
        Stutter(replica, seed, share=0.2) for replica in world.replicas.values()
    ]
    world.add_gateway(slack=2000)


@given("a gateway in front of engines that spoil some streams, seed {seed:d}")
def step_spoiled(context, seed):
    _build(context)
    world = context.platform
    context.stutters = [
        Spoiler(replica, seed) for replica in world.replicas.values() if replica.version
    ]
    world.add_gateway(slack=2000)


@when("{callers:d} callers send {requests:d} requests each, on connections they keep")
def step_send(context, callers, requests):
    threads = [
        StrictCaller(context.platform, number, requests) for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.received = [r for thread in threads for r in thread.received]


def _expected(received) -> bytes:
    return STREAM_BODY if received.path in STREAM_PATHS else PLAIN_BODY


@then("nobody received a byte that is not of the answer to the own request")
def step_own_only(context):
    assert sum(len(s.repeated) for s in context.stutters) > 20, "hardly any second one"
    wrong = []
    for received in context.received:
        expected = _expected(received)
        is_own = expected.startswith(received.body)
        is_full = received.body == expected or not received.is_whole
        if received.foreign or (received.status == 200 and not (is_own and is_full)):
            wrong.append(received)
    assert not wrong, f"{len(wrong)} of {len(context.received)}, the first: {wrong[:3]}"


@then("all answers are whole, but for those without a clear end that must not repeat")
def step_whole(context):
    spoiled = set().union(*(stutter.spoiled for stutter in context.stutters))
    missing = [
        received
        for received in context.received
        if not (received.path in ONCE_PATHS and received.request_id in spoiled)
        and (received.status != 200 or received.body != _expected(received))
    ]
    count = len(context.received)
    assert not missing, f"{len(missing)} of {count}, the first: {missing[:3]}"


@then("all streams that can be resumed are whole")
def step_resumed_whole(context):
    streams = [r for r in context.received if r.path == "/resume/x"]
    missing = [r for r in streams if r.status != 200 or r.body != STREAM_BODY]
    assert not missing, f"{len(missing)} of {len(streams)}, the first: {missing[:3]}"


# Bodies that quote responses.

OWN_ID, OTHER_ID = b"own-7", b"other-7"
_LINES = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 503 Busy\n",
    b"X-Request-Id: " + OTHER_ID + b"\r\n",
    b"Content-Type: text/plain\r\n",
    b"GET / HTTP/1.1\r\n",
    b"HTTP/1.",
    b"HTT",
    b"\r\n",
    b"some text\n",
    b"\x00\xff",
)
_SECOND = b"HTTP/1.1 200 OK\r\nServer: s\r\nx-request-id:  %b \r\n\r\n%b"


@attrs.define
class QuotingBody:
    """A body with quoted responses, and what comes behind it on the connection.

    :param has_second: whether that is a second response.
    """

    body: bytes
    behind: bytes
    has_second: bool


def _finder() -> SecondResponseFinder:
    fields = [(b"Server", b"s"), (b"X-Request-Id", OWN_ID)]
    head = ResponseHead(200, Headers(fields), None, False)
    return SecondResponseFinder(head, b"OK", b"x-request-id", [OWN_ID.decode()])


def _quoting_body(draw) -> QuotingBody:
    lines = [draw.choice(_LINES) for _ in range(draw.randrange(12))]
    body = b"".join([*lines, b"\r\nend\n"])
    if draw.random() < 0.3:
        return QuotingBody(body, b"", False)
    second = _SECOND % (OWN_ID, body)
    return QuotingBody(
        body, second[: draw.randrange(LEAST_BYTES, len(second) + 1)], True
    )


@given("{count:d} random bodies that quote responses, of seed {seed:d}")
def step_quoting(context, count, seed):
    context.draw = random.Random(seed)
    context.bodies = [_quoting_body(context.draw) for _ in range(count)]


@when("each is received in random pieces, most with a second response behind")
def step_receive_pieces(context):
    context.found = []
    for body in context.bodies:
        finder = _finder()
        rest, passed_on = body.body + body.behind, b""
        while rest:
            size = context.draw.randrange(1, len(rest) + 1)
            passed_on += finder.feed(rest[:size])
            rest = rest[size:]
        passed_on += finder.finish()
        context.found.append((passed_on, finder.has_found))


@then("each body is as it was sent, and nothing behind it belongs to it")
def step_found(context):
    for body, (passed_on, has_found) in zip(context.bodies, context.found, strict=True):
        assert passed_on == body.body, (body, passed_on)
        assert has_found == body.has_second, body


@given("a body of {count:d} quoted heads")
def step_many_heads(context, count):
    context.body = b"x: HTTP/1.1 200 OK\r\n" * count + b"no header\n"


@when("it is received in pieces of {size:d} bytes")
def step_many_pieces(context, size):
    finder, body = _finder(), b""
    started_s = time.process_time()
    for start in range(0, len(context.body), size):
        body += finder.feed(context.body[start : start + size])
    context.took_s = time.process_time() - started_s
    assert body + finder.finish() == context.body


@then("that takes less than {most_s:d} second of a processor")
def step_took(context, most_s):
    assert context.took_s < most_s, context.took_s
