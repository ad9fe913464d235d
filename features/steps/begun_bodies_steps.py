"""Steps for bodies that begin and do not end."""

import collections
import os
import signal
import socket
import time

from begun_responses_steps import HEAD, LAST_CHUNK, encode_request, receive
from behave import given, then, when
from platform_steps import step_platform
from platform_world import wait_until
from scripted_body import FILLER, ScriptedAnswer, ScriptedBody
from upstream_wishes_steps import cut_gateways

REQUEST_ID = "begun"
DEADLINE_S = 3.0
#: until a connection is closed, beside any load.
CLOSE_S = 12.0
#: more than a gateway with little memory holds, less than others do.
SMALL_BYTES = 100_000


@given("a gateway in front of {count:d} engines whose streams can be resumed")
def step_gateway(context, count, more=""):
    step_platform(context)
    world = context.platform
    # One script for all: the faults come in the order in which they are asked.
    context.script = collections.deque()
    for number in range(count):
        replica = world.add_replica("engines", f"e{number}", version=1)
        replica.script = context.script
    world.add_route(
        "/resume/",
        "stream",
        "engines",
        resumable=True,
        timeoutMs=8000,
        maxAttempts=count,
    )
    world.put_configuration()
    world.name_weights(1)
    world.add_gateway(more=more)


@given(
    "a gateway with little memory in front of {count:d} engines whose streams can be "
    "resumed"
)
def step_small_gateway(context, count):
    step_gateway(context, count, more="memory_mb = 1")
    world = context.platform
    wait_until(
        "its buffers are small",
        lambda: world.metric(world.gateways[0], "buffer_bytes_limit") < SMALL_BYTES,
    )


def _ask(context, on_begun=lambda: None, **more_headers):
    """Send a request to the first gateway, and keep all that its caller receives.

    :param on_begun: called once the caller has received something.
    """
    port = context.platform.gateways[0].ports["front"]
    headers = {**context.platform.stream_headers(), **more_headers}
    with socket.create_connection(("127.0.0.1", port), 2) as connection:
        head = encode_request(DEADLINE_S, headers, REQUEST_ID)
        began_s = time.monotonic()
        connection.sendall(b"POST /resume/x HTTP/1.1\r\n" + head)
        connection.settimeout(CLOSE_S)
        first = connection.recv(1)
        on_begun()
        rest, context.is_closed = receive(connection, began_s + CLOSE_S)
        context.received = first + rest
        context.took_s = time.monotonic() - began_s


@when("a caller's request gets {status:d} with a body in {framing} that {end}")
def step_partial(context, status, framing, end):
    context.script.append(ScriptedBody(status, framing, end))
    _ask(context)


@when("a caller's request gets {status:d} with a small body that {end}")
def step_small(context, status, end):
    context.script.append(ScriptedBody(status, "a length", end, SMALL_BYTES))
    _ask(context)


@when("the first engine resets its connection, and the second one's body breaks off")
def step_second(context):
    context.script.extend(["reset", ScriptedBody(500, "chunks", "breaks off")])
    _ask(context)


@when("the bodies of all engines break off")
def step_all(context):
    context.script.extend([ScriptedBody(500, "a length", "breaks off")] * 3)
    _ask(context)


@when(
    "a body is sent to a gateway that is cut from them, and what carries it is killed"
)
def step_carried(context):
    world = context.platform
    cut_gateways(context, 1)
    engines = [world.replicas[name] for name in ("e0", "e1")]
    for engine in engines:
        engine.script.append(ScriptedBody(500, "chunks", "falls silent"))

    def kill_carrier():
        # Further attempts would be served.
        for engine in engines:
            engine.script.clear()
        for proxy in context.proxies:
            proxy.heal()
        (asked,) = _asked(context)
        pids = {port: pid for p in context.proxies for port, pid in p.owners.items()}
        os.kill(pids[asked.peer_port], signal.SIGKILL)

    _ask(context, on_begun=kill_carrier)


@when(
    "a stream breaks off, and the next engine answers {status:d} with {media_type}: "
    '"{body}"'
)
def step_other_kind(context, status, media_type, body):
    answer = ScriptedAnswer(status, media_type, f"{body}\n\n".encode())
    context.script.extend(["break", answer])
    _ask(context, Connection="close")


def _asked(context):
    """Return the requests that reached engines."""
    return [
        seen
        for replica in context.platform.replicas.values()
        for seen in replica.seen
        if seen.headers.get("X-Request-Id") == REQUEST_ID
    ]


@then("the caller has the beginning of that response, and its connection is closed")
def step_beginning(context):
    assert not _is_complete(context), "complete"
    assert context.is_closed, "still open"


@then("the caller has the whole response")
def step_whole(context):
    assert _is_complete(context), "incomplete"


@then("the caller has a part until {deadline_s:g} s")
def step_until_deadline(context, deadline_s):
    step_beginning(context)
    assert deadline_s <= context.took_s < deadline_s + 1, context.took_s


def _is_complete(context):
    """Check that a caller has bytes of one body only; return whether it is complete."""
    received = context.received
    assert received.startswith(HEAD), received[:200]
    assert received.count(HEAD) == 1, received[received.rindex(HEAD) :][:200]
    head, _, body = received.partition(b"\r\n\r\n")
    fields = dict(
        line.lower().split(b": ", 1) for line in head.splitlines()[1:] if line
    )
    if b"content-length" in fields:
        content = body
        is_complete = len(body) >= int(fields[b"content-length"])
    else:
        content, is_complete = _chunks(body)
    assert content, "nothing of the body"
    assert not content.strip(FILLER), content.strip(FILLER)[:200]
    return is_complete


def _chunks(body):
    """Return the content of chunks, and whether the last one is among them."""
    content = b""
    while body:
        if body.startswith(LAST_CHUNK):
            return content, True
        size, _, body = body.partition(b"\r\n")
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return content, False


@then("{count:d} engine got the request")
@then("{count:d} engines got the request")
def step_asked(context, count):
    assert len(_asked(context)) == count, _asked(context)


@then(
    "the gateway's log names that engine and status {status:d} as the beginning",
)
def step_logged(context, status):
    gateway = context.platform.gateways[0]
    (cut,) = wait_until(
        "the end is logged",
        lambda: [d for d in gateway.lines() if d["event"] == "Request cut."],
    )
    (asked,) = _asked(context)
    names = {name for name, r in context.platform.replicas.items() if asked in r.seen}
    assert {cut["begun_by"].partition("@")[0]} == names, cut
    assert cut["begun_status"] == status, cut


@then('the gateway\'s log names "{by}" as the end')
def step_ended_by(context, by):
    gateway = context.platform.gateways[0]
    ends = ("Request cut.", "Answered.")
    (end,) = wait_until(
        "the end is logged",
        lambda: [d for d in gateway.lines() if d["event"] in ends],
    )
    assert end.get("by", "nobody") == by, end


@then("the caller has the whole stream of {count:d} events")
def step_whole_stream(context, count):
    content, is_complete = _chunks(context.received.partition(b"\r\n\r\n")[2])
    assert content == _events(count), content
    assert is_complete, "incomplete"


@then('the caller has the beginning of a stream of {count:d} events, and then "{rest}"')
def step_continued(context, count, rest):
    content, is_complete = _chunks(context.received.partition(b"\r\n\r\n")[2])
    assert content == _events(count) + f"{rest}\n\n".encode(), content
    assert is_complete, "incomplete"


def _events(count):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, count + 1))
