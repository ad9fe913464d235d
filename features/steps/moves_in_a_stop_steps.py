"""Steps for moves of runs at gateways that stop."""

import time

import gevent
from behave import given, then, when
from moves_in_a_stop_world import StoppingWorld
from moves_steps import ADDRESSES, StreamingConnection
from platform_moves import SlowCopy
from platform_steps import step_platform
from platform_world import wait_until

from kumquatseam.admission import RetryCause

#: how long streams run before anything happens.
BEGUN_S = 0.5
#: pause between two events of a run that goes on where it is.
PAUSE_S = 0.05


class SlowConnection(StreamingConnection):
    """Returns events one after the other."""

    def read_body(self, wait):
        gevent.sleep(PAUSE_S)
        return super().read_body(wait)


@given(
    "{gateways:d} gateways in front of {engines:d} engines, streams have {events:d} "
    "events"
)
def step_stopping_world(context, gateways, engines, events):
    _start(context, gateways, engines, events)


@given("a gateway in front of {engines:d} engines, streams have {events:d} events")
def step_one_gateway(context, engines, events):
    _start(context, 1, engines, events)


def _start(context, gateways, engines, events):
    step_platform(context)
    context.stopping = StoppingWorld(context.platform)
    context.stopping.start(gateways, engines, slack=200)
    context.events = events


@given("the rest of each run's memory waits {for_s:g} seconds for a link")
def step_slow_copies(context, for_s):
    context.stopping.answer = lambda order: SlowCopy(for_s)


@given("{count:d} streams have ended at each gateway")
def step_ended(context, count):
    stopping = context.stopping
    for number in range(len(context.platform.gateways)):
        for _ in range(count):
            stopping.send(number, context.events)
    stopping.join()


@when("{count:d} streams have begun and weights are named")
def step_named(context, count):
    stopping = context.stopping
    _holder(context)
    for _ in range(count):
        stopping.send(0, context.events)
    time.sleep(BEGUN_S)
    stopping.name_weights()
    stopping.join()


@when(
    "streams run at {which}, which gets SIGTERM, and weights are named {named_s:g} "
    "seconds later"
)
def step_named_in_stop(context, which, named_s):
    stopping = context.stopping
    number = _holder(context)
    if which != "the holder of the rollout":
        number = 1 - number
    context.stopped_number = number
    for _ in range(6):
        stopping.send(number, context.events)
    time.sleep(BEGUN_S)
    stopping.stop(number)
    time.sleep(named_s)
    stopping.name_weights()
    stopping.join()


def _holder(context) -> int:
    """Let a rollout be planned, and return the number of the gateway that does it."""
    stopping, world = context.stopping, context.platform
    stopping.name_weights()

    def holders():
        return [
            line["holder"]
            for line in world.gateways[0].lines()
            if line["event"] == "Rollout moved on."
        ]

    def has_loaded():
        return all(r.version == stopping.weights for r in world.replicas.values())

    (holder, *_) = wait_until("a rollout is planned", holders)
    wait_until("all engines have loaded", has_loaded)
    # Entries tell of the weights that were loaded.
    for name in world.replicas:
        world.list_replica(name)
    time.sleep(1.0)
    return [gateway.name for gateway in world.gateways].index(holder)


def _stops(context) -> list:
    """Return the calls that stopped runs."""
    return [
        order
        for replica in context.platform.replicas.values()
        for order, _ in replica.run_moves.asked
        if order["last"]
    ]


@then("runs were stopped by moves")
def step_were_stopped(context):
    assert _stops(context)


@then("no run was stopped by a move after the SIGTERM")
def step_none_stopped(context):
    stopping = context.stopping
    assert not _stops(context), stopping.describe(stopping.streams)


@then("every stream was answered whole")
def step_all_whole(context):
    stopping = context.stopping
    cut = [s for s in stopping.streams if not s.is_whole]
    assert not cut, stopping.describe(cut)


@then("no stream is lost")
def step_none_lost(context):
    lost = context.stopping.lost()
    assert not lost, context.stopping.describe(lost)


# Runs that cannot move.


@given("its engine drains for {for_s:g} seconds, while the run goes on")
def step_drains(context, for_s):
    events = [b"id: %d\ndata: x\n\n" % n for n in range(int(for_s / PAUSE_S))]
    connection = SlowConnection("source", events, True)
    context.pool.connections[ADDRESSES["source"]] = connection
    context.move_retries = 0
    acquire = context.retries.acquire

    def count(service, cause, request_id):
        context.move_retries += cause is RetryCause.MOVED
        return acquire(service, cause, request_id)

    context.retries.acquire = count


@then("the retry budget was asked for its move {least:d} to {most:d} times")
def step_asked_for(context, least, most):
    assert least <= context.move_retries <= most, context.move_retries
