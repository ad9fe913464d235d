"""Steps for late responses, and parts of them, that join other responses."""

import collections
import time

import urllib3
from behave import given, then, when
from platform_steps import step_platform

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7)]


def _head(request_id, framing=b"", status=b"200 OK", more=b""):
    return (
        b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\nX-Replica-Signature: s.1.1\r\n"
        b"X-Weight-Versions: 1\r\n%b%b\r\n"
        % (status, request_id.encode(), more, framing)
    )


def _build(context, service):
    step_platform(context)
    world = context.platform
    options = {"version": 1, "events": 6} if service == "engines" else {}
    context.replica = world.add_replica(service, "r0", **options)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.put_configuration()
    world.name_weights(1)
    context.served = []
    context.runs = []


def _serve_by(context, write):
    def serve(http, body):
        context.served.append(http.client_address[1])
        write(http, http.headers.get("X-Request-Id", ""), len(context.served))

    context.replica._serve = serve
    context.platform.add_gateway(slack=2000)


@given("a gateway in front of one engine, whose answers are written by hand")
def step_engine(context):
    _build(context, "engines")


@given("a gateway in front of one plain replica, whose answers are written by hand")
def step_plain(context):
    _build(context, "plain")


@given(
    "the engine sends a late copy of the first answer "
    "after the third event of the second"
)
def step_late_inside(context):
    body = b"".join(EVENTS)
    framing = b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n" % len(body)

    def write(http, request_id, number):
        if number == 1:
            context.first = _head(request_id, framing) + body
            http.connection.sendall(context.first)
            return
        http.close_connection = True
        unframed = b"Content-Type: text/event-stream\r\n"
        http.connection.sendall(_head(request_id, unframed) + b"".join(EVENTS[:3]))
        time.sleep(0.05)
        http.connection.sendall(context.first)
        time.sleep(0.05)
        http.connection.sendall(b"".join(EVENTS[3:]))

    _serve_by(context, write)


def _receive(world, path, **options):
    try:
        answer = world.send(path, preload_content=False, **options)
    except urllib3.exceptions.HTTPError as error:
        return 0, b"", repr(error)
    body = b""
    try:
        for piece in answer.stream(4096):
            body += piece
    except urllib3.exceptions.HTTPError as error:
        return answer.status, body, repr(error)
    return answer.status, body, ""


@when("one caller sends two streams, one after the other")
def step_two_streams(context):
    world = context.platform
    context.received = []
    for _ in range(2):
        headers = world.stream_headers()
        context.received.append(_receive(world, "/once/x", headers=headers))
        time.sleep(0.1)


@then("the second stream is whole, or counts as broken off")
def step_second_stream(context):
    assert len(set(context.served)) == 1, "not on one connection"
    status, body, error = context.received[1]
    assert error or body == b"".join(EVENTS), (status, body, error)


@given('the replica sends "{part}" of a late copy before its second answer')
def step_part(context, part):
    def write(http, request_id, number):
        if number == 1:
            http.connection.sendall(
                _head(request_id, b"Content-Length: 4\r\n", part[9:].encode()) + b"busy"
                if " 204" not in part
                else _head(request_id, b"", b"204 No Content")
            )
            return
        context.runs.append(request_id)
        if number == 2:
            http.connection.sendall(part.encode())
        time.sleep(0.05)
        http.connection.sendall(_head(request_id, b"Content-Length: 5\r\n") + b"whole")

    _serve_by(context, write)


@when("one caller sends two plain requests, one after the other")
def step_two_plain(context):
    context.received = []
    for _ in range(2):
        context.received.append(_receive(context.platform, "/plain/x"))
        time.sleep(0.1)


@then("the second answer is not passed on with the status of the first one")
def step_second_status(context):
    assert len(set(context.served)) == 1, "not on one connection"
    status, body, error = context.received[1]
    # The request ran: only a status that promises nothing may replace its own.
    assert status in (0, 200, 502, 504), (status, body, error)


@given("the replica answers without framing: {body}")
def step_unframed(context, body):
    context.expected = body.encode()

    def write(http, request_id, number):
        http.close_connection = True
        http.connection.sendall(_head(request_id) + context.expected)

    _serve_by(context, write)


@given('the replica answers with a field "{field}"')
def step_field(context, field):
    context.expected = b"whole"

    def write(http, request_id, number):
        framing = b"Content-Length: 5\r\n"
        more = field.encode() + b"\r\n"
        http.connection.sendall(_head(request_id, framing, more=more) + b"whole")

    _serve_by(context, write)


@given("the replica sends a body of {size:d} bytes without framing, twice")
def step_large(context, size):
    context.expected = b"x" * size

    def write(http, request_id, number):
        http.close_connection = True
        http.connection.sendall((_head(request_id) + context.expected) * 2)

    _serve_by(context, write)


@when("one caller sends a plain request")
def step_one_plain(context):
    context.received = [_receive(context.platform, "/plain/x")]


@then("that body is received whole")
def step_body_whole(context):
    status, body, error = context.received[0]
    is_whole = (status, body, error) == (200, context.expected, "")
    assert is_whole, (status, len(body), body[:80], error)


@given("a body of {count:d} quoted status lines in one line")
def step_one_line(context, count):
    context.body = b'{"a": "' + b"HTTP/1.1 200 OK " * count + b'"}\n'


@then("no request was run twice")
def step_once(context):
    # The replica runs each request, except those that it refuses.
    counts = collections.Counter(context.runs)
    assert max(counts.values()) == 1, (counts, context.received)


@given(
    "the engine ends its stream after three events, and repeats all of it behind them"
)
def step_cut_and_copy(context):
    def write(http, request_id, number):
        http.close_connection = True
        head = _head(request_id, b"Content-Type: text/event-stream\r\n")
        http.connection.sendall(head + b"".join(EVENTS[:3]))
        time.sleep(0.05)
        http.connection.sendall(head + b"".join(EVENTS))

    _serve_by(context, write)


@when("one caller sends a stream")
def step_one_stream(context):
    headers = context.platform.stream_headers()
    context.received = [_receive(context.platform, "/once/x", headers=headers)]


@then("the stream is whole, or counts as broken off")
def step_stream_whole(context):
    status, body, error = context.received[0]
    assert error or body == b"".join(EVENTS), (status, body, error)
