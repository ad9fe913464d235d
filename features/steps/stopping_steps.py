"""Steps for connections that end while a server stops."""

import gevent
import gevent.socket
from behave import given, then, when

from kumquatseam.gateway import GatewayServer
from kumquatseam.http1 import RequestLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class SlowHandler:
    """Answers a while after the request was read."""

    def __init__(self):
        self.began = gevent.event.Event()

    def handle(self, request, caller, may_keep):
        self.began.set()
        gevent.sleep(0.1)
        caller.send_whole(200, [], b"whole")
        return True


@given("a server that is stopping, with one idle connection")
def step_server(context):
    context.handler = SlowHandler()
    context.server = GatewayServer(
        "127.0.0.1:0", context.handler, RequestLimits, grace_s=5.0
    )
    context.server.start()
    port = context.server._listener.getsockname()[1]
    context.connection = gevent.socket.create_connection(("127.0.0.1", port), 2)
    context.connection.settimeout(2)
    gevent.sleep(0.05)
    ((context.greenlet, context.reader),) = context.server._readers.items()


@when("the idle connections are closed and a request begins before that is done")
def step_begin_between(context):
    context.server._close_idle()
    # The loop may hand the greenlet its bytes before it runs what was scheduled.
    context.reader.is_reading = True
    gevent.sleep(0.02)
    context.reader.is_reading = False
    context.connection.sendall(REQUEST)


@when("a request is sent and the idle connections are closed at once")
def step_send_and_close(context):
    context.connection.sendall(REQUEST)
    context.server._close_idle()


@then("the request is answered")
def step_answered(context):
    assert context.handler.began.wait(2)
    data = context.connection.recv(4096)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"whole"), data


@then("the connection is closed once it is idle again")
def step_closed(context):
    gevent.sleep(0.02)
    context.server._close_idle()
    assert context.connection.recv(10) == b""
    context.server._stop_accepting()
