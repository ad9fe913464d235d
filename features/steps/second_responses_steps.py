"""Steps for upstreams that answer twice."""

from behave import given, then, when
from platform_steps import step_platform
from strict_caller import STREAM_PATHS, StrictCaller
from stuttering_replica import Stutter

EVENTS = 6
PLAIN_BODY = b"".join(b"piece %d\n" % number for number in range(8))
STREAM_BODY = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, EVENTS + 1)
)


def _build(context):
    step_platform(context)
    world = context.platform
    for number in range(3):
        world.add_replica(
            "engines", f"e{number}", version=1, events=EVENTS, event_pause_s=0.004
        )
        replica = world.add_replica("plain", f"p{number}")
        replica.pieces = PLAIN_BODY.splitlines(keepends=True)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/safe/", "idempotent", "plain", maxAttempts=3)
    world.put_configuration()
    world.name_weights(1)


@given("a gateway in front of replicas that answer some requests twice, seed {seed:d}")
def step_gateway(context, seed):
    _build(context)
    world = context.platform
    context.stutters = [
        Stutter(replica, seed, share=0.2) for replica in world.replicas.values()
    ]
    world.add_gateway(slack=2000)


@when("{callers:d} callers send {requests:d} requests each, on connections they keep")
def step_send(context, callers, requests):
    threads = [
        StrictCaller(context.platform, number, requests) for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.received = [r for thread in threads for r in thread.received]


def _expected(received) -> bytes:
    return STREAM_BODY if received.path in STREAM_PATHS else PLAIN_BODY


@then("nobody received a byte that is not of the answer to the own request")
def step_own_only(context):
    assert sum(len(s.repeated) for s in context.stutters) > 20, "hardly any second one"
    wrong = []
    for received in context.received:
        expected = _expected(received)
        is_own = expected.startswith(received.body)
        is_full = received.body == expected or not received.is_whole
        if received.foreign or (received.status == 200 and not (is_own and is_full)):
            wrong.append(received)
    assert not wrong, f"{len(wrong)} of {len(context.received)}, the first: {wrong[:3]}"


@then("all streams, and all plain answers that can be asked for again, are whole")
def step_whole(context):
    missing = [
        received
        for received in context.received
        if received.path != "/plain/x"
        and (received.status != 200 or received.body != _expected(received))
    ]
    count = len(context.received)
    assert not missing, f"{len(missing)} of {count}, the first: {missing[:3]}"
