"""Steps for upstreams that say what requests they want: none, or none for a while."""

import collections
import random
import threading
import time

import attrs
import urllib3
from behave import then, when
from cut_proxy import RESET
from platform_world import wait_until

PATHS = ("/plain/x", "/safe/x", "/resume/x")
REQUESTS_PER_S = 40


@attrs.define
class Sent:
    """A caller's request.

    :param at_s: when it was sent.
    :param status: its answer's status; 0 without a complete one.
    :param took_s: how long it took.
    :param retry_after_s: what its answer says, if anything.
    """

    at_s: float
    path: str
    status: int = 0
    took_s: float = 0.0
    retry_after_s: float | None = None


def cut_gateways(context, count):
    """Cut gateways from all replicas, and wait until they go through others."""
    world = context.platform
    for proxy in context.proxies:
        for gateway in world.gateways[:count]:
            proxy.cut(gateway.process.pid, RESET)
    for number, gateway in enumerate(world.gateways[:count]):
        for _ in range(40):
            ask(world, Sent(0.0, "/safe/x"), number, f"cut{number}-{random.random()}")
        wait_until("it lost its path", lambda g=gateway: world.metric(g, "path_lost"))


def send_for(context, for_s, on_time=(), seed=1):
    """Send requests to all gateways.

    :param on_time: pairs of a time and what is to be called then.
    """
    world, draw = context.platform, random.Random(seed)
    context.sent = {}
    due = sorted(on_time, key=lambda pair: pair[0])
    threads = []
    started_s = time.monotonic()
    while time.monotonic() < started_s + for_s:
        while due and time.monotonic() >= started_s + due[0][0]:
            due.pop(0)[1]()
        sent = Sent(time.monotonic(), draw.choice(PATHS))
        request_id = f"w{seed}-{len(context.sent)}"
        context.sent[request_id] = sent
        arguments = (world, sent, draw.randrange(len(world.gateways)), request_id)
        threads.append(threading.Thread(target=ask, args=arguments))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join()


def ask(world, sent, gateway, request_id):
    """Send a request and record its answer."""
    started_s = time.monotonic()
    headers = {}
    if sent.path.startswith("/resume"):
        # Prompts of their own spread over the engines.
        headers = world.stream_headers(f"{sum(request_id.encode()):08x}")
    try:
        answer = world.send(
            sent.path,
            "GET" if sent.path.startswith("/safe") else "POST",
            gateway=gateway,
            request_id=request_id,
            headers=headers,
        )
        sent.status = answer.status
        retry_after = answer.headers.get("Retry-After")
        sent.retry_after_s = float(retry_after) if retry_after else None
    except urllib3.exceptions.HTTPError:
        sent.status = 0
    sent.took_s = time.monotonic() - started_s


def arrivals(context, names):
    """Yield each request at some replicas, with the replica and the machine."""
    owners = {}
    for proxy in context.proxies:
        owners.update(proxy.owners)
    for name in names:
        for seen in context.platform.replicas[name].seen:
            yield name, owners.get(seen.peer_port), seen


# Leaving.


@when("{cut:d} gateways are cut, and one replica of each kind says that it leaves")
def step_leave(context, cut):
    world = context.platform
    context.leaving = ("p0", "e0")
    if cut:
        cut_gateways(context, cut)

    def leave():
        for name in context.leaving:
            world.replicas[name].says_leaving = True

    def list_again():
        for name, proxy in zip(world.replicas, context.proxies, strict=True):
            if name in context.leaving:
                world.list_replica(name, address=proxy.address)

    again = [(3.0 + number, list_again) for number in range(5)]
    send_for(context, 9.0, [(2.0, leave), *again])


@then(
    "no request sent {bound_s:d} seconds after a machine was told reached them from it"
)
def step_none_late(context, bound_s):
    told_s = {}
    for name, machine, seen in arrivals(context, context.leaving):
        if seen.said_leaving:
            at_s = told_s.get((name, machine), float("inf"))
            told_s[name, machine] = min(at_s, seen.answered_s)
    assert told_s, "no answer said that its replica leaves"
    late = collections.Counter()
    for name, machine, seen in arrivals(context, context.leaving):
        sent = context.sent.get(seen.headers.get("X-Request-Id"))
        told = told_s.get((name, machine), float("inf"))
        if sent is not None and sent.at_s > told + bound_s:
            late[name, machine] += 1
    assert not late, f"{sum(late.values())} late requests: {dict(late)}"


@then("their records in the store, which say that they are ready, changed nothing")
def step_still_leaving(context):
    for gateway in context.platform.gateways:
        events = [line["event"] for line in gateway.lines()]
        assert "Upstream back." not in events


@then("{share:g} of the requests were served")
def step_share_served(context, share):
    served = sum(sent.status == 200 for sent in context.sent.values())
    count = len(context.sent)
    statuses = collections.Counter(sent.status for sent in context.sent.values())
    assert served >= share * count, f"{served} of {count}: {statuses}"
