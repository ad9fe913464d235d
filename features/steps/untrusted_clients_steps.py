"""Steps for crowds of clients that take a gateway's memory and connections."""

import collections
import functools
import socket
import threading

from behave import given, then, when
from crowd_world import Crowd, UsageWatch, send_ordinary
from cut_proxy import RESET, CutProxy
from platform_replica import RunShape
from platform_steps import step_platform
from platform_world import HTTP, KEY, wait_until

#: limits of requests, low so that small crowds show what large ones take.
LIMITS = {
    "maxBodyBytes": 1_000_000,
    "maxHeaderBytes": 16_384,
    "headerTimeoutMs": 5000,
}
#: limits of the users' pages.
PAGE_LIMITS = {**LIMITS, "maxBodyBytes": 4_194_304}
#: how long the clients of a crowd stay once they have sent what they send.
HOLD_S = 6.0
#: longest that an answer to the crowd may take; it comes slowly.
TIMEOUT_MS = 20_000
LARGE_ANSWER_BYTES = 8_000_000
EVENT_BYTES = 32_000
EVENTS = 400
CROWD_PATH = "/crowd/x"
STREAM_PATH = "/stream/x"
ORDINARY_PATH = "/plain/x"
RETRIED_PATH = "/retried/x"
KB = 1000

EXPECTING_HEAD = (
    b"POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: expecting\r\n"
    b"X-Deadline-Ms: 5000\r\nAuthorization: Token %b\r\nConnection: close\r\n"
    b"Content-Length: 4\r\n" % KEY.encode()
)


def _start_world(context, memory_mb, descriptors, limits=None):
    step_platform(context)
    world = context.platform
    world.limits = limits or LIMITS
    world.add_replica("plain", "p0")
    world.add_route("/plain/", "idempotent", "plain")
    world.add_route("/crowd/", "non_idempotent", "other", timeoutMs=TIMEOUT_MS)
    context.crowd = context.watch = None
    context.crowd_path = CROWD_PATH
    context.model_headers = {}
    context.machine = f"memory_mb = {memory_mb}\nmax_descriptors = {descriptors}"


def _start_gateway(context):
    world = context.platform
    world.put_configuration()
    gateway = world.add_gateway(more=context.machine)
    context.watch = UsageWatch(lambda: gateway.process)
    context.watch.start()
    world.on_close.append(context.watch.close)


@given(
    "a gateway with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "in front of a plain replica"
)
def step_gateway(context, memory_mb, descriptors):
    _start_world(context, memory_mb, descriptors)
    context.platform.add_replica("other", "p1")
    _start_gateway(context)


@given(
    "a gateway with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "in front of a replica with {what}"
)
def step_gateway_answers(context, memory_mb, descriptors, what):
    _start_world(context, memory_mb, descriptors)
    world = context.platform
    if what.startswith("answers"):
        world.add_replica("other", "p1").pieces = [b"x" * LARGE_ANSWER_BYTES]
    else:
        engine = world.add_replica("engines", "e0", version=1)
        engine.shape_of = lambda seen: RunShape(EVENTS, 0.01, 0.0, EVENT_BYTES)
        world.add_route("/stream/", "stream", "engines", timeoutMs=TIMEOUT_MS)
        world.name_weights(1)
        context.crowd_path = STREAM_PATH
        context.model_headers = world.stream_headers()
    _start_gateway(context)


@given("the replica takes {work_s:d} seconds for each request of the crowd")
def step_slow_replica(context, work_s):
    context.platform.replicas["p1"].work_s = work_s


@given("its limits are those of the pages")
def step_page_limits(context):
    world = context.platform
    world.limits = PAGE_LIMITS
    world.put_configuration()
    (gateway,) = world.gateways
    wait_until(
        "the gateway has the new limits",
        lambda: world.metric(gateway, "configuration_version") == world.version,
    )


@when("{count:d} clients send {kind}")
def step_crowd(context, count, kind):
    _start_crowd(context, "front", count, kind)


@when("its {listener} listener gets {count:d} clients that send {kind}")
def step_crowd_listener(context, count, kind, listener):
    _start_crowd(context, listener, count, kind)


def _start_crowd(context, listener, count, kind):
    world = context.platform
    context.crowd = Crowd(
        authorization=f"Token {KEY}",
        port=world.gateways[0].ports[listener],
        path=context.crowd_path,
        kind=kind,
        count=count,
        body_bytes=world.limits["maxBodyBytes"],
        head_bytes=world.limits["maxHeaderBytes"],
        hold_s=HOLD_S,
        model_headers=context.model_headers,
    )
    world.on_close.append(context.crowd.close)
    context.crowd.start()
    context.crowd.wait_settled()


@when("{count:d} clients read them slowly")
def step_slow_readers(context, count):
    step_crowd(context, count, "slow readers")


@then("an ordinary request is answered while they stay, and one after they left")
def step_ordinary(context):
    send = functools.partial(
        context.platform.send, ORDINARY_PATH, headers={"Connection": "close"}
    )
    during = send_ordinary(send)
    context.crowd.wait_left()
    after = send_ordinary(send)
    last = (during[-1], after[-1])
    assert last == (200, 200), (during, after, context.watch.most)


@then("its health check and its metrics are answered while they stay")
def step_pages(context):
    ports = context.platform.gateways[0].ports
    for listener, path in (("ready", "/ready"), ("metrics", "/metrics")):
        url = f"http://127.0.0.1:{ports[listener]}{path}"
        headers = {"Connection": "close"}
        statuses = send_ordinary(
            lambda u=url, h=headers: HTTP.request("GET", u, headers=h)
        )
        assert statuses[-1] == 200, (listener, statuses, context.watch.most)


@then("the gateway lives, with at most {memory_mb:d} MB and {count:d} descriptors")
def step_usage(context, memory_mb, count):
    process = context.platform.gateways[0].process
    assert process.poll() is None, process.returncode
    most = context.watch.close()
    print(most)
    assert most.memory_mb <= memory_mb, most
    assert most.descriptors <= count, most


@when("one client sends a request of the largest size {how}")
def step_largest(context, how):
    body = b"x" * PAGE_LIMITS["maxBodyBytes"]
    pieces = [body[at : at + 65_536] for at in range(0, len(body), 65_536)]
    is_chunked = how == "in chunks"
    context.answer = context.platform.send(
        CROWD_PATH, body=iter(pieces) if is_chunked else body
    )


@then("it is answered")
def step_answered(context):
    assert context.answer.status == 200, context.answer.status
    (seen,) = context.platform.replicas["p1"].seen
    assert len(seen.body) == PAGE_LIMITS["maxBodyBytes"], len(seen.body)


@when("one client asks for it")
def step_ask(context):
    context.answer = context.platform.send(CROWD_PATH)


@then("it gets all of it")
def step_whole(context):
    assert context.answer.status == 200, context.answer.status
    assert len(context.answer.data) == LARGE_ANSWER_BYTES, len(context.answer.data)


@when("one client asks {times:d} times to continue, and sends its body once it may")
def step_expect(context, times):
    port = context.platform.gateways[0].ports["front"]
    fields = "Expect: 100-continue\r\n" * times
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(EXPECTING_HEAD + fields.encode() + b"\r\n")
        context.received = connection.recv(65_536)
        connection.sendall(b"body")
        while data := connection.recv(65_536):
            context.received += data


@then("it gets {count:d} interim response, and its answer")
def step_interim(context, count):
    assert context.received.count(b"HTTP/1.1 100 ") == count, context.received
    assert context.received.count(b"HTTP/1.1 200 ") == 1, context.received


@given(
    "a gateway with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "in front of two replicas"
)
def step_gateway_two(context, memory_mb, descriptors):
    _start_world(context, memory_mb, descriptors)
    for name in ("p1", "p2"):
        context.platform.add_replica("other", name)
    world = context.platform
    world.add_route("/retried/", "idempotent", "other")
    _start_gateway(context)


@given(
    "a request fails with {size_kb:d} KB at the first one, "
    "and takes {work_s:d} seconds at the other"
)
def step_fails_first(context, size_kb, work_s):
    script = collections.deque(["fail"])
    for name in ("p1", "p2"):
        replica = context.platform.replicas[name]
        replica.script, replica.work_s = script, work_s
        replica.failure = b"x" * (size_kb * KB)


@when("one client sends it")
def step_send_retried(context):
    world = context.platform
    context.held_before = world.metric(world.gateways[0], "buffer_bytes_held")
    answers = context.answers = []
    sending = threading.Thread(target=lambda: answers.append(world.send(RETRIED_PATH)))
    sending.start()
    context.add_cleanup(sending.join)


@then("the gateway holds {size_kb:d} KB more meanwhile, and nothing of it afterwards")
def step_holds_more(context, size_kb):
    world = context.platform
    (gateway,) = world.gateways

    def held_more_bytes():
        return world.metric(gateway, "buffer_bytes_held") - context.held_before

    wait_until("the retry runs", lambda: len(_seen(world)) == 2)
    assert held_more_bytes() >= size_kb * KB, held_more_bytes()
    wait_until("it is answered", lambda: context.answers)
    assert context.answers[0].status == 200, context.answers[0].status
    assert held_more_bytes() < size_kb * KB, held_more_bytes()


def _seen(world):
    return [seen for replica in world.replicas.values() for seen in replica.seen]


@given(
    "{count:d} gateways with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "the first of them cut from the replicas"
)
def step_cut_gateway(context, count, memory_mb, descriptors):
    _start_world(context, memory_mb, descriptors)
    world = context.platform
    world.add_replica("other", "p1")
    proxies = []
    for name, replica in world.replicas.items():
        proxies.append(CutProxy(replica.address))
        world.on_close.append(proxies[-1].close)
        world.list_replica(name, address=proxies[-1].address)
    world.put_configuration()
    for _ in range(count):
        world.add_gateway(more=context.machine)
    wait_until("all know each other", world.all_know_each_other)
    context.watches = [UsageWatch(lambda g=g: g.process) for g in world.gateways]
    for watch in context.watches:
        watch.start()
        world.on_close.append(watch.close)
    cut = world.gateways[0].process.pid
    for proxy in proxies:
        proxy.pids = [gateway.process.pid for gateway in world.gateways]
        proxy.cut(cut, RESET)
    wait_until("the other one carries", lambda: _is_carried(world))


def _is_carried(world):
    # A path counts as lost once two upstreams cannot be reached.
    statuses = {world.send(path).status for path in (ORDINARY_PATH, CROWD_PATH)}
    return statuses == {200}


@given(
    "the replica takes {work_s:d} seconds for each request of the crowd, "
    "and answers with {size_mb:d} MB"
)
def step_slow_answers(context, work_s, size_mb):
    step_slow_replica(context, work_s)
    if size_mb:
        context.platform.replicas["p1"].pieces = [b"x" * (size_mb * KB * KB)]


@then("an ordinary request at the second one is answered while they stay, and later")
def step_ordinary_second(context):
    send = functools.partial(context.platform.send, ORDINARY_PATH, gateway=1)
    during = send_ordinary(send)
    context.crowd.wait_left()
    after = send_ordinary(send)
    assert (during[-1], after[-1]) == (200, 200), (during, after)


@then("both live, with at most {memory_mb:d} MB and {count:d} descriptors")
def step_usage_both(context, memory_mb, count):
    most = [watch.close() for watch in context.watches]
    print(most)
    for gateway, used in zip(context.platform.gateways, most, strict=True):
        assert gateway.process.poll() is None, gateway.process.returncode
        assert used.memory_mb <= memory_mb, most
        assert used.descriptors <= count, most
