"""Steps for answers to the gateway's own calls that come late."""

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from behave import given, then, when
from platform_world import wait_until

from kumquatseam.engines import (
    EngineTarget,
    HttpEngineOrderClient,
    LoadOrder,
    OrderRefusedError,
)
from kumquatseam.platform._orders import PlatformOrderClient
from kumquatseam.rollouts import OrderOutcome, WeightsOrder
from kumquatseam.upstreams import Upstream, WeightsVersion

#: what the engine answers to the calls in turn: an order is accepted, refused since
#: another is in progress, and refused for its fencing token.
STATUSES = (202, 409, 412)
ORDER_OUTCOMES = [OrderOutcome.ACCEPTED, OrderOutcome.BUSY, OrderOutcome.FENCED]
HANDLES = ["h1", "h2", "h3"]


@given("an engine that sends each answer once more when it got the next call")
def step_engine(context):
    calls, context.ends = [], []
    ends = context.ends

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        last = b""

        def setup(self):
            super().setup()
            ends.append(None)

        def finish(self):
            super().finish()
            ends.append(self)

        def log_message(self, *arguments):
            pass

        def do_POST(self):
            self.rfile.read(int(self.headers["Content-Length"]))
            calls.append(self.path)
            number = len(calls) - 1
            is_move = self.path == "/kv-move"
            body = {"handle": HANDLES[number], "createRevision": number}
            data = json.dumps(body).encode()
            status = 200 if is_move else STATUSES[number]
            answer = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b" % (
                status,
                len(data),
                data,
            )
            with contextlib.suppress(OSError):
                self.wfile.write(self.last + answer)
            self.last = answer

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.engine = server
    context.engine_address = f"127.0.0.1:{server.server_address[1]}"


@when("{count:d} orders are sent to it, one after the other")
def step_orders(context, count):
    client, upstream = PlatformOrderClient(), Upstream("e", "s", context.engine_address)
    order = WeightsOrder(WeightsVersion("m0", 2), "holder", 1, 0)
    context.outcomes = [client.order(upstream, order) for _ in range(count)]
    context.expected = ORDER_OUTCOMES
    client.close()


@when("{count:d} calls that move a run are sent to it, one after the other")
def step_moves(context, count):
    client, upstream = PlatformOrderClient(), Upstream("e", "s", context.engine_address)
    results = [
        client.move_run(upstream, f"r{number}", upstream, False)
        for number in range(count)
    ]
    context.outcomes = [result.handle for result in results]
    context.expected = HANDLES
    client.close()


@when("{count:d} orders to routers' engines are sent to it, one after the other")
def step_engine_orders(context, count):
    client = HttpEngineOrderClient(1.0)
    target = EngineTarget("e", f"http://{context.engine_address}", "epoch")
    context.outcomes, context.expected = [], list(STATUSES)
    for _ in range(count):
        try:
            client.send(target, LoadOrder("m0", "2", (), "holder", 1))
            context.outcomes.append(202)
        except OrderRefusedError as error:
            context.outcomes.append(error.status)
    client.close()


@then("each has the outcome of its own call")
def step_outcomes(context):
    context.engine.shutdown()
    context.engine.server_close()
    assert context.outcomes == context.expected, context.outcomes


@then("each call had a connection of its own, which is closed")
def step_closed(context):
    # Both ends of the three connections.
    wait_until("all are closed", lambda: len(context.ends) == 6, 2)
