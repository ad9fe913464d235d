"""Steps for responses that begin and do not end."""

import collections
import socket
import time

import gevent.socket
from behave import given, then, when
from platform_steps import step_platform
from platform_world import KEY, wait_until

from kumquatseam.callers._wsgi import WsgiHandler
from kumquatseam.errors import KumquatseamError
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._upstream_response import STREAM_IDLE_TIMEOUT_S
from kumquatseam.http1 import Headers, Request

FAULTS = {
    ("stream", "is silent in the middle"): "silence",
    ("stream", "breaks off in the middle"): "break",
    ("body", "is silent in the middle"): "large silence",
    ("body", "breaks off in the middle"): "large break",
}
HEAD = b"HTTP/1.1 "
LAST_CHUNK = b"0\r\n\r\n"


@given(
    "a gateway in front of 2 replicas, the first to be asked fails, "
    "and the {kind} of the second {ends}"
)
def step_gateway(context, kind, ends):
    step_platform(context)
    world = context.platform
    context.is_stream = kind == "stream"
    version = 1 if context.is_stream else None
    service = "engines" if context.is_stream else "plain"
    # One script for both: the faults come in the order in which they are asked.
    script = collections.deque()
    for number in range(2):
        replica = world.add_replica(service, f"r{number}", version=version)
        replica.script = script
    route_kind = "stream" if context.is_stream else "idempotent"
    world.add_route(
        "/call/", route_kind, service, resumable=context.is_stream, timeoutMs=8000
    )
    world.put_configuration()
    if version:
        world.name_weights(version)
    world.add_gateway()
    script.extend(["fail", FAULTS[kind, ends]])


def encode_request(deadline_s, headers=(), request_id="begun"):
    """Return the header fields of a request, as sent."""
    fields = {
        "Host": "a.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": int(deadline_s * 1000),
        "Authorization": f"Token {KEY}",
        "Content-Length": 0,
        **dict(headers),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return lines.encode() + b"\r\n"


def receive(connection, until_s):
    """Return what arrives until the connection is closed, and whether it was."""
    received = b""
    while (left_s := until_s - time.monotonic()) > 0:
        connection.settimeout(left_s)
        try:
            data = connection.recv(65_536)
        except TimeoutError:
            break
        except ConnectionError:
            return received, True
        if not data:
            return received, True
        received += data
    return received, False


def connect(context):
    port = context.platform.gateways[0].ports["front"]
    return socket.create_connection(("127.0.0.1", port), 2)


@when("a caller sends a request that may take {deadline_s:f} seconds")
def step_send(context, deadline_s):
    headers = context.platform.stream_headers() if context.is_stream else {}
    with connect(context) as connection:
        context.began_s = time.monotonic()
        connection.sendall(
            b"POST /call/x HTTP/1.1\r\n" + encode_request(deadline_s, headers)
        )
        context.received, context.is_closed = receive(connection, time.monotonic() + 9)
    context.took_s = time.monotonic() - context.began_s


@then(
    "it gets the beginning of one response, and within {time_s:f} seconds "
    "its connection is closed"
)
def step_one_response(context, time_s):
    received = context.received
    seen = [s for r in context.platform.replicas.values() for s in r.seen]
    assert len(seen) == 2, len(seen)
    assert received.startswith(HEAD + b"200"), received[:200]
    assert received.count(HEAD) == 1, received[received.rindex(HEAD) :][:200]
    head, _, body = received.partition(b"\r\n\r\n")
    assert body, "nothing of the body"
    assert not body.endswith(LAST_CHUNK), body[-50:]
    if not context.is_stream:
        length = head.lower().partition(b"content-length: ")[2].split()[0]
        assert len(body) < int(length), "complete"
    assert context.is_closed, "still open"
    assert context.took_s <= time_s, context.took_s


@then('the gateway\'s log names "{by}" as the end of the request')
def step_logged(context, by):
    gateway = context.platform.gateways[0]
    (cut,) = wait_until(
        "the end is logged",
        lambda: [d for d in gateway.lines() if d["event"] == "Request cut."],
    )
    assert cut["by"] == by and cut["has_begun"], cut
    assert (cut["silent_s"] is not None) == context.is_stream, cut
    if by == "silence":
        assert cut["silent_s"] >= STREAM_IDLE_TIMEOUT_S, cut


# One connection.


class _Sent:
    """A socket that takes everything at once."""

    def __init__(self):
        self.data = b""
        self._sock = self

    def send(self, data):
        self.data += data
        return len(data)


@given("a connection to a caller")
def step_connection(context):
    context.sent = _Sent()
    context.caller = CallerConnection(context.sent)


OUT_OF_ORDER = {
    "a response in the middle of another": (
        lambda caller: caller.start_response(200, [], None, b"first"),
        lambda caller: caller.send_response(500, [], b"failed"),
    ),
    "a head in the middle of a response": (
        lambda caller: caller.start_response(200, [], 10, b"first"),
        lambda caller: caller.start_response(200, [], 10, b"first"),
    ),
    "a response behind another one": (
        lambda caller: caller.send_response(200, [], b"whole"),
        lambda caller: caller.send_response(500, [], b"failed"),
    ),
    "a body before a head": (
        lambda caller: None,
        lambda caller: caller.send_body(b"more"),
    ),
    "a body behind a complete response": (
        lambda caller: caller.send_response(200, [], b"whole"),
        lambda caller: caller.send_body(b"more"),
    ),
    "the end of a response, twice": (
        lambda caller: (caller.start_response(200, [], None), caller.finish_response()),
        lambda caller: caller.finish_response(),
    ),
    "events in a body": (
        lambda caller: caller.start_response(500, [], 10, b"first"),
        lambda caller: caller.send_events(b"data: a\n\n"),
    ),
    "a body in a stream": (
        lambda caller: caller.start_events(200, [], b"data: a\n\n"),
        lambda caller: caller.send_body(b"more"),
    ),
    "events behind a complete response": (
        lambda caller: (caller.start_events(200, []), caller.finish_response()),
        lambda caller: caller.send_events(b"data: a\n\n"),
    ),
    "more than the length of a body": (
        lambda caller: caller.start_response(500, [], 10, b"first"),
        lambda caller: caller.send_body(b"second"),
    ),
    "a first part beyond the length": (
        lambda caller: None,
        lambda caller: caller.start_response(500, [], 3, b"first"),
    ),
    "the end of a body before its length": (
        lambda caller: caller.start_response(500, [], 10, b"first"),
        lambda caller: caller.finish_response(),
    ),
}


@when("{sent} is to be sent")
def step_out_of_order(context, sent):
    before, after = OUT_OF_ORDER[sent]
    before(context.caller)
    context.before = context.sent.data
    context.error = None
    try:
        after(context.caller)
    except KumquatseamError as error:
        context.error = error


@then("that is an error, and only what came before it was sent")
def step_order_error(context):
    assert context.error is not None
    assert context.sent.data == context.before, context.sent.data


# The server of an application.

APPLICATIONS = {
    "a body as long as stated": ("5", [b"hello"]),
    "a body shorter than stated": ("9", [b"hello"]),
    "a body longer than stated": ("3", [b"hello"]),
    "a piece more than stated": ("7", [b"hello", b"world"]),
}
RECEIVED = {
    "all of it": (b"HTTP/1.1 200 OK", b"hello"),
    "its head": (b"HTTP/1.1 200 OK", b""),
    "a part of it": (b"HTTP/1.1 200 OK", b"hello"),
    "an error": (b"HTTP/1.1 500 Internal Server Error", b'{"error"'),
}


@given("an application that answers {method} with {sent}")
def step_application(context, method, sent):
    length, context.pieces = APPLICATIONS[sent]

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", length)])
        return context.pieces

    context.handler = WsgiHandler(app)
    fields = [(b"Host", b"h")]
    context.request = Request(
        method.encode(), b"/x", Headers(fields), b"", True, time.monotonic()
    )


@when("its response is sent")
def step_application_sends(context):
    with gevent.socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        receiver = gevent.socket.create_connection(listener.getsockname(), 2)
        sender, _ = listener.accept()
    with receiver, sender:
        context.stays_open = context.handler.handle(
            context.request, CallerConnection(sender), lambda: True
        )
        context.received = receiver.recv(65_536)


@then("the caller receives {received}, and the connection {stays}")
def step_application_received(context, received, stays):
    status_line, body_start = RECEIVED[received]
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(status_line), context.received
    assert body.startswith(body_start), context.received
    assert len(body) == len(body_start) or received == "an error", context.received
    assert context.stays_open == (stays == "stays open")


@when("a caller sends a request, and bytes that are none on the same connection")
def step_send_invalid(context):
    with connect(context) as connection:
        connection.sendall(b"POST /safe/x HTTP/1.1\r\n" + encode_request(2.0))
        until_s = time.monotonic() + 3
        context.received = b""
        while b"whole" not in context.received and time.monotonic() < until_s:
            context.received += connection.recv(65_536)
        connection.sendall(b"\x00\x01 no request\r\n\r\n")
        rest, context.is_closed = receive(connection, until_s)
        context.received += rest


@then("it gets a complete response, and then status 400")
def step_bad_request(context):
    first, _, second = context.received.partition(b"whole")
    assert first.startswith(HEAD + b"200"), context.received
    assert second.startswith(HEAD + b"400"), context.received
    assert context.is_closed
