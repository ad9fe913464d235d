"""Steps for upstreams that say what requests they want: none, or none for a while."""

import collections
import random
import threading
import time

import attrs
import urllib3
from behave import then, when
from cut_proxy import RESET
from pace import TestClock, evenly
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
    :param machine: process id of the gateway that got it.
    """

    at_s: float
    path: str
    status: int = 0
    took_s: float = 0.0
    retry_after_s: float | None = None
    machine: int | None = None


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
    for _ in evenly(TestClock(), REQUESTS_PER_S, for_s):
        while due and time.monotonic() >= started_s + due[0][0]:
            due.pop(0)[1]()
        sent = Sent(time.monotonic(), draw.choice(PATHS))
        request_id = f"w{seed}-{len(context.sent)}"
        context.sent[request_id] = sent
        arguments = (world, sent, draw.randrange(len(world.gateways)), request_id)
        threads.append(threading.Thread(target=ask, args=arguments))
        threads[-1].start()
    for thread in threads:
        thread.join()


def ask(world, sent, gateway, request_id):
    """Send a request and record its answer."""
    started_s = time.monotonic()
    sent.machine = world.gateways[gateway].process.pid
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


def rests(context, names):
    """Yield each time of rest that some replicas asked for, and what it was told in.

    With each come the replica and the machine that was told. An answer to a call, such
    as a poll of cache events, tells it like an answer to a request.
    """
    for name, machine, seen in arrivals(context, names):
        if seen.rest_s:
            yield name, machine, seen
    owners = {}
    for proxy in context.proxies:
        owners.update(proxy.owners)
    for name in names:
        for told in context.platform.replicas[name].rests_told:
            yield name, owners.get(told.peer_port), told


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
            key = name, seen.incarnation, machine
            told_s[key] = min(told_s.get(key, float("inf")), seen.answered_s)
    assert told_s, "no answer said that its replica leaves"
    late = collections.Counter()
    for name, machine, seen in arrivals(context, context.leaving):
        sent = context.sent.get(seen.headers.get("X-Request-Id"))
        told = told_s.get((name, seen.incarnation, machine), float("inf"))
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


# Rest.

#: the longest that a refusal may take that needs nobody else.
AT_ONCE_S = 0.3
#: rest after which requests count, and how many a machine may send until its end.
FREE_S = 0.5
MAX_IN_REST = 2


@when(
    "{cut:d} gateways are cut, one replica of each kind asks for {rest_s:d} seconds of "
    "rest, then all do"
)
def step_rest(context, cut, rest_s):
    world = context.platform
    if cut:
        cut_gateways(context, cut)

    def rest(names):
        for name in names:
            world.replicas[name].rest = str(rest_s)

    context.resting = list(world.replicas)
    context.all_rest_s = time.monotonic() + 6.0
    on_time = [(1.0, lambda: rest(("p0", "e0"))), (6.0, lambda: rest(world.replicas))]
    send_for(context, 11.0, on_time)


@then(
    "no machine sent more than {most:d} requests in a time of rest, from half a second "
    "on"
)
def step_rest_kept(context, most):
    by_pair = collections.defaultdict(list)
    for name, machine, seen in arrivals(context, context.resting):
        by_pair[name, seen.incarnation, machine].append(seen)
    worst = collections.Counter()
    for name, machine, told in rests(context, context.resting):
        pair = name, told.incarnation, machine
        from_s, until_s = told.answered_s + FREE_S, told.answered_s + told.rest_s
        count = sum(from_s < seen.arrived_s < until_s for seen in by_pair[pair])
        worst[pair] = max(worst[pair], count)
    assert worst, "no replica asked for rest"
    over = {pair: count for pair, count in worst.items() if count > most}
    assert not over, f"{len(over)} of {len(worst)} pairs: {over}"


@then("{share:g} of the requests were served while others did not rest")
def step_others_serve(context, share):
    early = [s for s in context.sent.values() if s.at_s < context.all_rest_s - 0.5]
    served = sum(sent.status == 200 for sent in early)
    assert served >= share * len(early), f"{served} of {len(early)}"


@then("while all rested, requests were refused at once, to return when a rest is over")
def step_all_rest(context):
    spans_told = collections.defaultdict(list)
    for name, machine, told in rests(context, context.resting):
        span = (told.answered_s, told.answered_s + told.rest_s)
        spans_told[name[0], machine, name].append(span)
    # By then every machine has been told by every replica.
    told_s = context.all_rest_s + 1.0
    late = [s for s in context.sent.values() if s.at_s > told_s]
    slow = [s for s in late if s.status != 503 or s.took_s > AT_ONCE_S]
    assert late and not slow, f"{len(slow)} of {len(late)}: {slow[:5]}"
    untrue = []
    for sent in late:
        now_s = sent.at_s + sent.took_s
        kind = "e" if sent.path.startswith("/resume") else "p"
        ends_s = [
            max((end_s for since_s, end_s in spans if since_s <= sent.at_s), default=0)
            for (found, machine, _), spans in spans_told.items()
            if found == kind and machine == sent.machine
        ]
        # Of a gateway that is cut, what its carriers were told is not known here.
        if ends_s and now_s + (sent.retry_after_s or 0.0) < min(ends_s) - 0.1:
            untrue.append((sent, min(ends_s) - now_s))
    assert not untrue, f"{len(untrue)} of {len(late)}: {untrue[:5]}"
