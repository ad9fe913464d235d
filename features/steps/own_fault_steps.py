"""Steps for internal errors of the router."""

import time

import gevent
import gevent.socket
from behave import given, then, when
from log_capture import captured_lines
from moves_steps import _build as build_move
from platform_replica import StandinReplica
from platform_world import wait_until
from quarantine_world import single_instance_quarantine
from quota_world import (
    single_instance_limits,
    single_instance_origins,
    single_instance_quotas,
    single_instance_retries,
)

from kumquatseam.cachefeeds import CacheHolder
from kumquatseam.engines import EngineTarget, HttpEngineOrderClient, RoleOrder
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._handler import HandlerParts, RequestHandler
from kumquatseam.http1 import ConnectFailedError, ConnectionPool, Headers, Request
from kumquatseam.http1._connection import open_connection
from kumquatseam.logservice.appending import append_once
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.placement import BroadcastWork, Placement
from kumquatseam.platform._cache_events import PlatformCacheClient
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.platform._orders import PlatformOrderClient
from kumquatseam.prompts import PromptIndex
from kumquatseam.quarantine import RunPermission
from kumquatseam.routes import (
    LiveRouteTable,
    Repeatability,
    Route,
    RouteTable,
    ServiceTraits,
    TrafficShare,
)
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogStore,
    LogStoreLimits,
)
from kumquatseam.upstreams import (
    Unavailability,
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
)

ROUTE = Route(
    "r", "h", "/", Repeatability.NON_IDEMPOTENT, (TrafficShare("plain", 1.0),)
)


class FailingPlacer:
    def place(self, request):
        raise RuntimeError("no choice")


class FixedPlacer:
    def __init__(self, placement):
        self.placement = placement

    def place(self, request):
        return self.placement


class FailingConnection:
    """Raises an unexpected exception when a request is sent."""

    address = "10.0.0.1:1"

    def send(self, data):
        raise RuntimeError("after sending")

    def close(self):
        pass


class OnePool:
    def __init__(self, connection):
        self.connection = connection

    def acquire(self, address, timeout_s, request_id):
        return self.connection

    def drop(self, address):
        pass


def _build(context, placer, pool):
    live = LiveRouteTable()
    live.apply(RouteTable(1, (ROUTE,), (ServiceTraits("plain"),)), "test")
    context.directory = getattr(context, "directory", None) or UpstreamDirectory()
    context.handler = RequestHandler(
        HandlerParts(
            live,
            PlatformDialect(),
            placer,
            context.directory,
            BroadcastWork(context.directory, PromptIndex()),
            pool,
            single_instance_retries(),
            GatewayMetrics(),
            None,
            single_instance_quarantine(),
            single_instance_quotas(),
            single_instance_limits(),
            single_instance_origins(),
            WeightsTargets(),
        )
    )


@given("a router whose placement raises an unexpected exception")
def step_failing_placement(context):
    _build(context, FailingPlacer(), ConnectionPool(0.1))


@given("a router that raises an unexpected exception after it sent a request")
def step_failing_after(context):
    context.directory = UpstreamDirectory()
    context.directory.put(Upstream("p0", "plain", "10.0.0.1:1"))
    placement = Placement(context.directory.status("p0"))
    _build(context, FixedPlacer(placement), OnePool(FailingConnection()))


@when("a caller's request is handled")
def step_handled(context):
    router_side, caller_side = gevent.socket.socketpair()
    fields = [(b"Host", b"h"), (b"X-Request-Id", b"r1"), (b"X-Deadline-Ms", b"2000")]
    request = Request(b"POST", b"/x", Headers(fields), b"", True, time.monotonic())
    with captured_lines() as context.lines:
        context.handler.handle(request, CallerConnection(router_side), lambda: False)
    router_side.close()
    context.answer = caller_side.recv(65_536).decode()


@then("the response is 503 with a short Retry-After")
def step_503(context):
    assert context.answer.startswith("HTTP/1.1 503"), context.answer
    (line,) = [x for x in context.answer.splitlines() if x.startswith("Retry-After")]
    assert 0 < float(line.partition(":")[2]) <= 1, line


@then("the response is 502")
def step_502(context):
    assert context.answer.startswith("HTTP/1.1 502"), context.answer
    assert "Retry-After" not in context.answer


@then("the error is logged with the request's id")
def step_error_logged(context):
    found = [x for x in context.lines if x["message"] == "Serving failed unexpectedly."]
    assert [x["extra"]["request"] for x in found] == ["r1"], found


@given("3 idle connections, the newest of them closed by the upstream")
def step_idle(context):
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.pool = ConnectionPool(1.0)
    context.listener, context.address, context.accepted = listener, address, []
    idle = []
    for _ in range(3):
        idle.append(open_connection(address, 1.0))
        context.accepted.append(listener.accept()[0])
    for connection in idle:
        connection.reuse_until_s = time.monotonic() + 10
    context.accepted[-1].close()
    gevent.sleep(0.02)
    context.pool._idle[address] = idle


@when("a request acquires a connection while another greenlet closes them all")
def step_acquire_and_drop(context):
    dropping = gevent.spawn(context.pool.drop, context.address)
    context.acquired = context.pool.acquire(context.address, 1.0, "r1")
    dropping.join()


@then("it gets an open connection")
def step_open(context):
    assert context.acquired._socket.fileno() >= 0
    assert context.acquired.is_open_and_idle()
    context.acquired.close()
    context.listener.close()


@when("{count:d} requests are sent")
def step_many(context, count):
    context.answers = [context.platform.send().status for _ in range(count)]


@then("all are served, and at most {count:d} of them were sent to that address")
def step_few_misdirected(context, count):
    assert set(context.answers) == {200}, context.answers
    assert context.platform.replicas["p0"].misdirected <= count


CLIENTS = {
    "orders of the own interface": lambda: HttpEngineOrderClient(1.0),
    "orders of the platform": PlatformOrderClient,
    "cache listings of the platform": PlatformCacheClient,
}


@given("an engine, and the client of {calls}")
def step_client(context, calls):
    context.replica = StandinReplica("e0", version=1)
    context.replica.start()
    context.client = CLIENTS[calls]()


@when("the client made a call and is closed")
def step_call_and_close(context):
    replica, client = context.replica, context.client
    client.start()
    if isinstance(client, HttpEngineOrderClient):
        target = EngineTarget("e0", f"http://{replica.address}")
        order = RoleOrder(role="serving", holder="r0", fence=1)
        client.send(target, order)
    elif isinstance(client, PlatformOrderClient):
        client.report(Upstream("e0", "engines", replica.address))
    else:
        client.list_parts(CacheHolder("e0", replica.address, "e0"))
    # A connection of only one call may be closed already.
    wait_until("the call was made", lambda: replica.requests)
    client.close()


@then("the engine sees no open connection")
def step_no_connection(context):
    try:
        wait_until("connections end", lambda: not context.replica._connections, 1.0)
    finally:
        context.replica.close()


@when("a record is to be appended in {attempts:d} attempts")
def step_append_nothing(context, attempts):
    log = InMemoryLogService(LogStore(LogStoreLimits()))
    try:
        append_once(log, "topic", [b"record"], 0, attempts)
        context.error = None
    except Exception as error:  # noqa: BLE001 - the error itself is checked
        context.error = error


@then("the error says that at least one attempt is needed")
def step_attempts_error(context):
    assert isinstance(context.error, ValueError), repr(context.error)
    assert "at least one attempt" in str(context.error), context.error


@given(
    "a request that was never under suspicion, and no permission was acquired for it"
)
def step_no_permission(context):
    context.quarantine = single_instance_quarantine()
    context.permission = RunPermission(context.quarantine, "fingerprint")


@when("it is recorded as served")
def step_record_served(context):
    context.permission.note_answered()


@then("it counts as served lately")
def step_served_lately(context):
    assert context.quarantine._served.was_served_within("fingerprint", 5.0)


@given("a stream on an engine that is not reached before the request's time is over")
def step_not_reached(context):
    build_move(context, 0)
    directory = context.placer.directory
    directory.status("source").move_runs(())

    def acquire(address, timeout_s, request_id):
        gevent.sleep(timeout_s)
        raise ConnectFailedError(address, "timed out")

    context.pool.acquire = acquire


@then("its caller is told that it has not run")
def step_told_not_run(context):
    assert context.answer.startswith(b"HTTP/1.1 503 "), context.answer


@then("the engine is not taken for failed")
def step_not_failed(context):
    availability = context.placer.directory.status("source").availability
    assert not availability.left_s(Unavailability.FAILED)
