"""Steps for the limits of responses to the system's own calls."""

import threading
import time

import urllib3
from behave import given, then, when
from endless_server import EndlessServer
from endless_steps import resident_mb
from platform_steps import step_platform
from platform_world import wait_until

from kumquatseam.cachefeeds import CacheHolder
from kumquatseam.engines import (
    EngineRequest,
    EngineTarget,
    HttpEngineClient,
    HttpEngineOrderClient,
    RoleOrder,
)
from kumquatseam.errors import KumquatseamError
from kumquatseam.instances import HttpInstanceList
from kumquatseam.logservice import HttpLogService
from kumquatseam.platform._cache_events import PlatformCacheClient
from kumquatseam.platform._orders import PlatformOrderClient
from kumquatseam.pools import AddressPools
from kumquatseam.response_limits import ResponseLimits
from kumquatseam.rollouts import MoveOutcome, OrderOutcome, WeightsOrder
from kumquatseam.services import HttpServiceClient, ServiceCall
from kumquatseam.upstreams import Upstream, WeightsVersion

TIMEOUT_S = 0.5
ENGINE = EngineRequest("r", "m0", "p", 400, "s", 0)
CALLERS = 4


def _upstream(address):
    return Upstream("e0", "engines", address)


def _weights_order():
    return WeightsOrder(WeightsVersion("m0", 2), "h", 1, 0)


def _fails(call, *arguments):
    try:
        call(*arguments)
    except KumquatseamError:
        return True
    return False


CALLS = {
    "cache listings": lambda address: (
        PlatformCacheClient().list_parts(CacheHolder("e0", address, "e0")) is None
    ),
    "cache events": lambda address: (
        PlatformCacheClient().read_events(CacheHolder("e0", address, "e0"), 0, 0.9)
        is None
    ),
    "reports": lambda address: PlatformOrderClient().report(_upstream(address)) is None,
    "weights orders": lambda address: (
        PlatformOrderClient().order(_upstream(address), _weights_order())
        is OrderOutcome.UNANSWERED
    ),
    "moves": lambda address: (
        PlatformOrderClient()
        .move_run(_upstream(address), "r", _upstream("127.0.0.1:1"), False)
        .outcome
        is MoveOutcome.UNANSWERED
    ),
    "freed handles": lambda address: (
        PlatformOrderClient().free_run(_upstream(address), "h") is None
    ),
    "the log service": lambda address: _fails(
        HttpLogService(f"http://{address}", TIMEOUT_S).read, "t", 0
    ),
    "newest records": lambda address: _fails(
        HttpLogService(f"http://{address}", TIMEOUT_S).newest, "t"
    ),
    "the instance list": lambda address: _fails(
        HttpInstanceList(f"http://{address}", TIMEOUT_S).read
    ),
    "plain services": lambda address: _fails(
        HttpServiceClient(TIMEOUT_S, TIMEOUT_S).call,
        f"http://{address}",
        ServiceCall("r", "GET", "x", b"", None, "t"),
    ),
    "orders of the own interface": lambda address: _fails(
        HttpEngineOrderClient(TIMEOUT_S).send,
        EngineTarget("e0", f"http://{address}"),
        RoleOrder("serving", "h", 1),
    ),
    "streams of the own interface": lambda address: _fails(
        list,
        HttpEngineClient(TIMEOUT_S, TIMEOUT_S, TIMEOUT_S).stream(
            EngineTarget("e0", f"http://{address}"), ENGINE
        ),
    ),
}


@given("a server whose responses are {response}")
def step_server(context, response):
    context.server = EndlessServer(response)
    context.add_cleanup(context.server.close)
    context.server.start()


def _make(context, call):
    """Make a call in a thread, which goes on if it does not end in time."""

    def run():
        began_s = time.monotonic()
        context.result = call()
        context.took_s = time.monotonic() - began_s

    context.took_s = context.result = None
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(timeout=10)


@when("{client} makes a call")
def step_call(context, client):
    _make(context, lambda: CALLS[client](context.server.address))


def _limited_call(context, count=1):
    limits = ResponseLimits(1_048_576, 2.0)
    pools = AddressPools()
    url = f"http://{context.server.address}"

    def call():
        context.received = b""
        try:
            for _ in range(count):
                context.received = pools.request(
                    "GET", url, "/", limits, timeout=1.0
                ).data
        except urllib3.exceptions.HTTPError as error:
            context.error = error
            return True
        return False

    _make(context, call)


@when("a call that allows 1 MB and 2 seconds is made")
def step_limited_call(context):
    _limited_call(context)


@when("two calls that allow 1 MB are made")
def step_two_calls(context):
    _limited_call(context, count=2)


@then(
    "the call fails in at most {time_s:f} seconds, "
    "and the server has sent at most {most_mb:d} MB"
)
def step_call_fails(context, time_s, most_mb):
    assert context.took_s is not None, "the call has not ended"
    assert context.result is True, context.result
    assert context.took_s <= time_s, context.took_s
    assert context.server.sent_bytes <= most_mb * 1e6, context.server.sent_bytes


@then("the server's connection is closed")
def step_connection_closed(context):
    assert context.server.closed.wait(2.0)


@then("it gets {count:d} bytes")
def step_received(context, count):
    assert context.result is False, context.error
    assert len(context.received) == count, len(context.received)


@then("the server saw one connection")
def step_one_connection(context):
    assert context.result is False, context.error
    assert context.server.connections == 1, context.server.connections


@when("a holder with a memory of {tokens:d} tokens lists its parts")
def step_full_memory(context, tokens):
    holder = CacheHolder("e0", context.server.address, "e0", 0, tokens)
    context.listing = PlatformCacheClient().list_parts(holder)


@then("all {count:d} parts are listed")
def step_all_listed(context, count):
    assert len(context.listing.parts) == count, len(context.listing.parts)


# Gateways.


@given(
    "{gateways:d} gateways in front of {engines:d} engines and {plain:d} plain replicas"
)
def step_gateways(context, gateways, engines, plain):
    step_platform(context)
    world = context.platform
    for number in range(engines):
        world.add_replica("engines", f"e{number}", version=1)
    for number in range(plain):
        world.add_replica("plain", f"p{number}").work_s = 0.1
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.put_configuration()
    world.name_weights(1)
    for _ in range(gateways):
        seeds = ",".join(f"127.0.0.1:{g.ports['peer']}" for g in world.gateways)
        world.add_gateway(seeds=seeds)


@when(
    "an engine answers {path} without end for {time_s:d} seconds, "
    "while callers send to the plain ones"
)
def step_endless_calls(context, path, time_s):
    world = context.platform
    context.before_mb = [resident_mb(g.process.pid) for g in world.gateways]
    context.most_mb = list(context.before_mb)
    context.statuses = []
    is_over = threading.Event()
    world.replicas["e0"].endless_path = path
    world.replicas["e0"].incarnations += 1
    threads = [
        threading.Thread(target=_call_plain, args=(context, n % 2, is_over))
        for n in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    if path == "/report":
        # Reports are read while weights are rolled out.
        world.name_weights(2)
    context.polls_before = _polls(world)
    until_s = time.monotonic() + time_s
    while time.monotonic() < until_s:
        for number, gateway in enumerate(world.gateways):
            used_mb = resident_mb(gateway.process.pid)
            context.most_mb[number] = max(context.most_mb[number], used_mb)
        time.sleep(0.02)
    context.polls_after = _polls(world)
    context.time_s = time_s
    world.replicas["e0"].endless_path = None
    is_over.set()
    for thread in threads:
        thread.join()


def _polls(world):
    return [world.replicas[name].polls for name in ("e1", "e2")]


def _call_plain(context, gateway, is_over):
    while not is_over.is_set():
        try:
            status = context.platform.send("/plain/x", gateway=gateway).status
        except urllib3.exceptions.HTTPError as error:
            status = repr(error)
        context.statuses.append(status)


@then("every request was answered, and each gateway takes at most {most_mb:d} MB more")
def step_answered(context, most_mb):
    failed = [status for status in context.statuses if status != 200]
    assert len(context.statuses) > 20 and not failed, failed
    more = [
        most - before
        for most, before in zip(context.most_mb, context.before_mb, strict=True)
    ]
    assert max(more) <= most_mb, more
    assert wait_until(
        "the engine answered without end",
        lambda: context.platform.replicas["e0"].endless_answers,
    )


@then("the other engines are polled as before")
def step_polled(context):
    polled = [
        after - before
        for after, before in zip(context.polls_after, context.polls_before, strict=True)
    ]
    # A poll waits for 0.9 s and is followed by a pause of 0.4 s.
    assert min(polled) >= context.time_s / 1.3 - 2, polled
