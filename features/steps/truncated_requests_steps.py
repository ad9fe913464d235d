"""Steps for requests that end early."""

import contextlib
import socket

import bottle
import gevent
import gevent.socket
from behave import given, then, when
from gevent.server import StreamServer
from truncated_heads_steps import UNCLEAR, reset

from kumquatseam.callers._server import CallerServer
from kumquatseam.errors import KumquatseamError
from kumquatseam.http1 import RequestLimits, RequestReader
from kumquatseam.settings import CallerSettings

HEAD = b"%b /run/123 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
REQUESTS = {
    "a call without a body": HEAD % b"DELETE" + b"X-Last: x\r\n\r\n",
    "a call with a body": HEAD % b"POST" + b"Content-Length: 10\r\n\r\nten bytes.",
    "a call in chunks": HEAD % b"POST"
    + b"Transfer-Encoding: chunked\r\n\r\n0a\r\nten bytes.\r\n0\r\n\r\n",
    "a call in chunks, with spaces behind its coding": HEAD % b"POST"
    + b"Transfer-Encoding: Chunked  \r\n\r\n0a\r\nten bytes.\r\n0\r\n\r\n",
}
#: ways to end a connection.
ENDS = ("closed", "half closed", "reset")


@given("a server of own interfaces that records its requests")
def step_own_server(context):
    context.ran = []
    app = bottle.Bottle()

    @app.route("/<path:path>", method=["GET", "POST", "DELETE"])
    def run(path):
        context.ran.append((bottle.request.method, path, bottle.request.body.read()))
        return "ran"

    server = CallerServer("127.0.0.1:0", app, CallerSettings())
    server.start()
    context.add_cleanup(server.close)
    context.port = server.port


@given("a gateway's front that records its requests")
def step_front(context):
    context.ran = []

    def handle(connection, address):
        connection.settimeout(2.0)
        with contextlib.suppress(KumquatseamError, OSError):
            reader = RequestReader(connection, RequestLimits())
            may_follow = True
            while may_follow:
                request = reader.read()
                method = request.method.decode()
                context.ran.append((method, request.path.lstrip("/"), request.body))
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                may_follow = request.keep_alive
        connection.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    context.add_cleanup(server.stop, timeout=0.1)
    context.port = server.server_port


def _send(port, data, end):
    connection = gevent.socket.create_connection(("127.0.0.1", port), 2.0)
    connection.settimeout(2.0)
    connection.sendall(data)
    if end == "half closed":
        connection.shutdown(socket.SHUT_WR)
    elif end == "reset":
        # What is sent is read first.
        gevent.sleep(0.001)
        reset(connection)
        return
    elif end == "closed":
        connection.close()
        return
    with contextlib.suppress(OSError):
        while connection.recv(4096):
            pass
    connection.close()


@when("{request} is closed, half closed or reset after any byte, and sent whole then")
def step_cut_requests(context, request):
    context.request = REQUESTS[request]
    context.wrong = []
    for end in ENDS:
        for cut in range(len(context.request)):
            _send(context.port, context.request[:cut], end)
            gevent.sleep(0)
            if context.ran:
                context.wrong.append((end, context.request[:cut][-30:], *context.ran))
                context.ran.clear()
    _send(context.port, context.request, "")


@then("only the whole ones ran")
def step_only_whole(context):
    method = context.request.split()[0].decode()
    body = b"ten bytes." if method == "POST" else b""
    tried = len(ENDS) * len(context.request)
    assert not context.wrong, f"{len(context.wrong)} of {tried}: {context.wrong[:3]}"
    assert context.ran == [(method, "run/123", body)], context.ran


# Bodies that hold another request.

INNER = b"GET /inner HTTP/1.1\r\nHost: a.example\r\n\r\n"


@when("a call whose head tells {framing} holds another call in its body")
def step_holds_another(context, framing):
    fields, _ = UNCLEAR[framing]
    # The longer of two lengths covers the other call; the last chunk precedes it.
    length = b"%d" % len(INNER)
    fields = fields.replace(b": 3", b": 0").replace(b": 10", b": " + length)
    body = b"0\r\n\r\n" + INNER if b"chunked" in fields else INNER
    head = b"POST /outer HTTP/1.1\r\nHost: a.example\r\n"
    _send(context.port, head + fields + b"\r\n" + body, "half closed")


@then("that other call does not run")
def step_inner_not_run(context):
    assert "inner" not in [path for _, path, _ in context.ran], context.ran
