"""Steps for upstreams that are brittle, silent or gone."""

import collections
import socket
import threading

import urllib3
from behave import given, then, when
from platform_steps import step_platform
from platform_world import wait_until

from kumquatseam.http1 import Headers, ResponseHead
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.pools import dead_peer_socket_options


@given(
    "{count:d} gateways in front of {replicas:d} plain replicas with room for {room:d} "
    "requests each"
)
def step_gateways(context, count, replicas, room):
    step_platform(context)
    world = context.platform
    for number in range(replicas):
        replica = world.add_replica("plain", f"p{number}")
        replica.room, replica.work_s = room, 0.1
        world.list_replica(f"p{number}", slots=room)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.put_configuration()
    for _ in range(count):
        world.add_gateway()
    wait_until("all know each other", world.all_know_each_other)


@given("the replicas say that they end after more than {refusals:d} refusals a second")
def step_brittle(context, refusals):
    world = context.platform
    for replica in world.replicas.values():
        replica.brittle = refusals
    # Each gateway hears of it from one of the replicas at least.
    for number in range(len(world.gateways)):
        assert world.send(gateway=number).status == 200


@when("{count:d} callers send a request at once, three times")
def step_burst(context, count):
    world = context.platform
    context.statuses = collections.Counter()

    def send(number):
        try:
            answer = world.send(gateway=number % len(world.gateways))
            context.statuses[answer.status] += 1
        except urllib3.exceptions.HTTPError as error:
            context.statuses[type(error).__name__] += 1

    for _ in range(3):
        threads = [threading.Thread(target=send, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


@then("no replica had to refuse more than {count:d} requests in a second")
def step_few_refused(context, count):
    most = [r.most_refused for r in context.platform.replicas.values()]
    assert max(most) <= count, (most, context.statuses)


@then("at least {count:d} requests were served")
def step_served(context, count):
    assert context.statuses[200] >= count, context.statuses


@when('a response says "{text}" of its brittleness')
def step_says(context, text):
    fields = [(b"X-Request-Id", b"r"), (b"Server-Brittle", text.encode())]
    head = ResponseHead(200, Headers(fields), 0, False)
    context.traits = PlatformDialect().read_response(head)


@then("the refusals that it bears are {refusals}")
def step_bears(context, refusals):
    expected = None if refusals == "none" else float(refusals)
    assert context.traits.brittle_refusals == expected, context.traits


@when("a caller reads a resumable stream and the engine pauses for more than a second")
def step_pause(context):
    world = context.platform
    for replica in world.replicas.values():
        replica.script.append("pause")
    context.answer = world.send("/resume/x", headers=world.stream_headers())


@then("the stream is complete and only one engine ran it")
def step_one_run(context):
    assert context.answer.status == 200
    assert context.answer.data.count(b"data:") == 6, context.answer.data
    wait_until("the run is recorded", lambda: context.platform.runs() >= 1)
    assert context.platform.runs() == 1, context.platform.runs()


@when("a connection with the options against dead peers is opened")
def step_options(context):
    listener = socket.create_server(("127.0.0.1", 0))
    connection = socket.create_connection(listener.getsockname())
    for option in dead_peer_socket_options():
        connection.setsockopt(*option)
    context.options = {
        name: connection.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in (
            "TCP_KEEPIDLE",
            "TCP_KEEPINTVL",
            "TCP_KEEPCNT",
            "TCP_USER_TIMEOUT",
        )
    }
    connection.close()
    listener.close()


@then("its user timeout leaves time for all keep-alive probes")
def step_time_for_probes(context):
    options = context.options
    probes_s = options["TCP_KEEPINTVL"] * options["TCP_KEEPCNT"]
    assert options["TCP_USER_TIMEOUT"] >= 1000 * (options["TCP_KEEPIDLE"] + probes_s)


@then(
    "it ends a connection to a vanished peer within {most_s:d} seconds, but not within "
    "{least_s:d}"
)
def step_ends_within(context, most_s, least_s):
    timeout_ms = context.options["TCP_USER_TIMEOUT"]
    assert least_s * 1000 < timeout_ms <= most_s * 1000, context.options
