"""Steps for connections that are closed while a server stops."""

import gevent
import gevent.socket
from behave import given, then, when

from kumquatseam.gateway import GatewayServer
from kumquatseam.http1 import RequestLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class SlowHandler:
    """Responds 0.1 s after the request was read."""

    def __init__(self):
        self.has_started = gevent.event.Event()

    def handle(self, request, caller, may_keep_alive):
        self.has_started.set()
        gevent.sleep(0.1)
        caller.send_response(200, [], b"whole")
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


@when("idle connections are to be closed and a request starts before the close")
def step_start_before_close(context):
    context.server._close_idle()
    # The event loop may deliver the request's bytes to the greenlet before it runs
    # the scheduled close.
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
    assert context.handler.has_started.wait(2)
    data = context.connection.recv(4096)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"whole"), data


@then("the connection is closed once it is idle again")
def step_closed(context):
    gevent.sleep(0.02)
    context.server._close_idle()
    assert context.connection.recv(10) == b""
    context.server._stop_accepting()
