"""Steps for instances that lost their path to the upstreams."""

import collections
import random
import threading
import time

import attrs
import urllib3
from behave import given, then, when
from cut_proxy import CutProxy
from pace import TestClock, evenly
from platform_steps import step_platform
from platform_world import wait_until

PATHS = ("/plain/x", "/safe/x", "/resume/x")
REQUESTS_PER_S = 30
#: how long callers send before gateways are cut.
BEFORE_CUT_S = 1.0


@attrs.define
class Attempt:
    """A caller's first attempt at a request.

    :param at_s: when it was sent.
    :param gateway: number of the gateway.
    :param status: its response's status; 0 without a complete response.
    :param took_s: how long it took.
    """

    at_s: float
    gateway: int
    status: int = 0
    took_s: float = 0.0


@given(
    "{count:d} gateways in front of {engines:d} engines and {plain:d} plain replicas, "
    "each behind a proxy"
)
def step_gateways(context, count, engines, plain):
    step_platform(context)
    world = context.platform
    context.proxies = []
    for number in range(engines):
        world.add_replica("engines", f"e{number}", version=1, events=6)
    for number in range(plain):
        world.add_replica("plain", f"p{number}")
    for name, replica in world.replicas.items():
        proxy = CutProxy(replica.address)
        context.proxies.append(proxy)
        world.on_close.append(proxy.close)
        world.list_replica(name, address=proxy.address)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/safe/", "idempotent", "plain")
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.put_configuration()
    world.name_weights(1)
    for _ in range(count):
        world.add_gateway(wait=False)
    for proxy in context.proxies:
        proxy.pids = [gateway.process.pid for gateway in world.gateways]
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready)
        wait_until("it lists replicas", lambda g=gateway: world.knows_replicas(g))
    wait_until("all know each other", world.all_know_each_other)


@when("{count:d} gateways are cut from all replicas for {for_s:d} seconds and {how}")
def step_cut(context, count, for_s, how):
    world = context.platform
    context.cut = set(range(count))
    context.attempts = []
    draw = random.Random(1)
    context.cut_s = time.monotonic() + BEFORE_CUT_S
    context.healed_s = context.cut_s + for_s
    threads = []
    is_cut = False
    for _ in evenly(TestClock(), REQUESTS_PER_S, BEFORE_CUT_S + for_s):
        if not is_cut and time.monotonic() >= context.cut_s:
            is_cut = True
            for proxy in context.proxies:
                for number in context.cut:
                    proxy.cut(world.gateways[number].process.pid, how)
        number = draw.randrange(len(world.gateways))
        attempt = Attempt(time.monotonic(), number)
        context.attempts.append(attempt)
        arguments = (world, attempt, draw.choice(PATHS), f"r{len(context.attempts)}")
        threads.append(threading.Thread(target=_send, args=arguments))
        threads[-1].start()
    time.sleep(max(0.0, context.healed_s - time.monotonic()))
    for proxy in context.proxies:
        proxy.heal()
    # Later where this process could not keep up.
    context.healed_s = time.monotonic()
    context.opened_before = collections.Counter()
    for thread in threads:
        thread.join()


def _send(world, attempt, path, request_id):
    headers = world.stream_headers() if path.startswith("/resume") else {}
    try:
        answer = world.send(
            path,
            "GET" if path.startswith("/safe") else "POST",
            gateway=attempt.gateway,
            request_id=request_id,
            headers=headers,
        )
        attempt.status = answer.status
    except urllib3.exceptions.HTTPError:
        attempt.status = 0
    attempt.took_s = time.monotonic() - attempt.at_s


def _served(context, from_s, is_cut):
    counted = [
        a.status == 200
        for a in context.attempts
        if context.cut_s + from_s <= a.at_s < context.healed_s - 0.5
        and (a.gateway in context.cut) is is_cut
    ]
    return sum(counted), len(counted)


@then(
    "from {from_s:g} seconds on their callers were served at least {share:g} times as "
    "often as others"
)
def step_served(context, from_s, share):
    cut, cut_all = _served(context, from_s, True)
    others, others_all = _served(context, from_s, False)
    statuses = collections.Counter(
        a.status for a in context.attempts if a.gateway in context.cut
    )
    delays_s = sorted(
        delay_s
        for proxy in context.proxies
        for came_s, delay_s in proxy.delays
        if came_s >= context.cut_s
    )
    assert cut / cut_all >= share * others / others_all, (
        f"{cut} of {cut_all} served, others {others} of {others_all}: {statuses}; the "
        f"proxies took {delays_s[len(delays_s) // 2]:.3f} s for a connection (median), "
        f"{delays_s[-1]:.3f} s (maximum), {len(delays_s)} in all"
    )


@then("no unsafe request ran twice")
def step_once(context):
    ran = collections.Counter(
        seen.headers.get("X-Request-Id")
        for replica in context.platform.replicas.values()
        for seen in replica.seen
        if seen.ran and seen.path == "/plain/x"
    )
    twice = [request for request, count in ran.items() if count > 1]
    assert ran and not twice, twice


@then("no upstream was taken for crashed")
def step_no_crash(context):
    for gateway in context.platform.gateways:
        lines = [
            d for d in gateway.lines() if d["event"].startswith("Upstream crashed")
        ]
        assert not lines, lines


@then("{after_s:d} seconds after the cut they reach the replicas themselves again")
def step_healed(context, after_s):
    world = context.platform
    time.sleep(max(0.0, context.healed_s + after_s - time.monotonic()))
    for number in context.cut:
        gateway = world.gateways[number]
        pid = gateway.process.pid
        before = sum(proxy.opened.get(pid, 0) for proxy in context.proxies)
        relayed = world.metric(gateway, "relayed_connections_total")
        for _ in range(8):
            assert world.send("/plain/x", gateway=number).status == 200
        assert world.metric(gateway, "path_lost") == 0
        assert world.metric(gateway, "relayed_connections_total") == relayed
        assert sum(proxy.opened.get(pid, 0) for proxy in context.proxies) >= before


@then(
    "from {from_s:g} seconds on all requests end within {took_s:g} second, and may be "
    "sent again"
)
def step_refused_at_once(context, from_s, took_s):
    late = [
        a
        for a in context.attempts
        if context.cut_s + from_s <= a.at_s < context.healed_s - 1.0
        and (a.took_s > took_s or a.status != 503)
    ]
    assert not late, late[:5]
