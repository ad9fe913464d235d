"""Steps for requests that wait on engines whose weights are replaced."""

import gevent
from behave import given, then, when
from decision_world import build_request
from modelled_clock import Clock
from waiting_world import EVENTS, GRACE, WaitingEngine, WaitingWorld

from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement import Placer, ReplacedWeightsGrace
from kumquatseam.prompts import PromptIndex
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

#: prompt tokens that an engine is modelled to prefill in a second.
TOKENS_PER_S = 51_100
#: longest delay until an instance learns of new weights.
PROPAGATION_S = 1.2


def _put_engine(context, name):
    weights = (WeightsVersion("m0", 1),)
    context.directory.put(
        Upstream(name, "engines", "127.0.0.1:1", slots=48, weights=weights)
    )
    (found,) = {
        status.upstream.incarnation_id
        for status in context.directory.of_service("engines")
        if status.upstream.upstream_id == name
    }
    return found


@given("an engine on weights 1 and a grace period of {grace_s:g} s for them")
def step_engine(context, grace_s):
    clock = context.clock = Clock()
    context.directory = UpstreamDirectory(clock)
    context.targets = WeightsTargets(clock)
    context.pending_tokens = {}
    context.placer = Placer(
        context.directory,
        PromptIndex(clock),
        "z",
        context.targets,
        peer_loads=lambda name: UpstreamLoad(
            name, 0, context.pending_tokens.get(name, 0)
        ),
        clock=clock,
        replaced_weights_grace=ReplacedWeightsGrace(grace_s, PROPAGATION_S),
    )
    context.engine = _put_engine(context, "e0")
    context.targets.add_new(WeightsVersion("m0", 1))
    context.targets.add_new(WeightsVersion("m0", 2))
    context.named_s = clock.now_s


@given("another engine on weights 1 that first prefills other prompts for {wait_s:g} s")
def step_other_engine(context, wait_s):
    context.other_engine = _put_engine(context, "e1")
    context.pending_tokens[context.other_engine] = int(wait_s * TOKENS_PER_S)


@when("weights 2 were named {age_s:g} s ago")
def step_named(context, age_s):
    context.clock.now_s = context.named_s + age_s


@when("the engine first has to prefill other prompts for {wait_s:g} s")
def step_has_to_prefill(context, wait_s):
    context.pending_tokens[context.engine] = int(wait_s * TOKENS_PER_S)


def _place(context):
    placement = context.placer.place(build_request())
    return placement and placement.status.upstream.incarnation_id


@then("a request goes to the engine")
def step_goes(context):
    assert _place(context) == context.engine


@then("a request goes to the other engine")
def step_goes_to_other(context):
    assert _place(context) == context.other_engine


@then("no request goes to the engine")
def step_does_not_go(context):
    assert _place(context) is None


# Requests that have been sent, in real time.

#: time from sending a request until weights are named.
NAMED_AFTER_S = 0.1
#: time until an engine notices that its connection was closed.
CLOSE_SEEN_S = 0.05


def _build_world(context, is_resumable, engine):
    context.world = WaitingWorld(is_resumable)
    context.add_cleanup(context.world.close)
    context.world.add_engine("e0", engine)
    context.loads = []


@given("a resumable stream and an engine on weights 1 that starts nothing")
def step_resumable_waits(context):
    _build_world(context, True, WaitingEngine(1, None))


@given(
    "a stream that must not run twice and an engine on weights 1 that starts nothing"
)
def step_once_waits(context):
    _build_world(context, False, WaitingEngine(1, None))


@given(
    "a stream that must not run twice and an engine on weights 1 that pauses for "
    "{pause_s:g} s"
)
def step_pauses(context, pause_s):
    _build_world(context, False, WaitingEngine(1, 0.01, pause_s))


@given(
    "a stream that must not run twice and an engine on weights 1 that starts after "
    "{after_s:g} s"
)
def step_starts_late(context, after_s):
    _build_world(context, False, WaitingEngine(1, after_s))


@given("an engine that runs weights 2 from {after_s:g} s after they are named")
def step_new_engine(context, after_s):
    world = context.world
    context.loads.append(
        (after_s, lambda: world.add_engine("e1", WaitingEngine(2, 0.01)))
    )


@given("the engine is known to run weights 2 from {after_s:g} s after they are named")
def step_engine_loads(context, after_s):
    context.loads.append((after_s, lambda: context.world.list_engine("e0", 2)))


@when("the request is served")
def step_served(context):
    context.answer = context.world.serve()


@when("weights 2 are named while the request waits")
def step_named_meanwhile(context):
    gevent.spawn_later(NAMED_AFTER_S, context.world.name_weights, 2)
    for after_s, load in context.loads:
        gevent.spawn_later(NAMED_AFTER_S + after_s, load)
    context.answer = context.world.serve()


@then("its connection to the engine was closed before the grace period ended")
def step_closed(context):
    gevent.sleep(CLOSE_SEEN_S)
    closed_s = context.world.engines["e0"].closed_s
    assert closed_s is not None, context.answer
    waited_s = closed_s - context.world.named_s
    assert 0.2 < waited_s < GRACE.grace_s - GRACE.propagation_s, waited_s


@then("the caller's answer is complete, with events of weights {version:d}")
def step_complete_on(context, version):
    step_complete(context)
    assert b"X-Weight-Versions: %d\r\n" % version in context.answer, context.answer


@then("the caller's answer is complete")
def step_complete(context):
    assert context.answer.count(b"data:") == EVENTS, context.answer
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer


@then("the caller gets a 502 without a retry time, since the request may have run")
def step_failed(context):
    assert context.answer.startswith(b"HTTP/1.1 502"), context.answer
    assert b"Retry-After" not in context.answer


@then("no other engine was sent the request")
def step_not_sent(context):
    assert context.world.engines["e1"].request_count == 0


# Engines that are slower than the others.


@given("a resumable stream and an engine on weights 1 that starts after {after_s:g} s")
def step_slow_engine(context, after_s):
    _build_world(context, True, WaitingEngine(1, after_s))


@given("it has served {count:d} requests")
def step_served_before(context, count):
    for _ in range(count):
        context.answer = context.world.serve()
        step_complete(context)
    context.request_count = context.world.engines["e0"].request_count


@when(
    "weights 2 were named {age_s:g} s ago, and another engine on weights 1 starts "
    "at once"
)
def step_named_before(context, age_s):
    context.world.name_weights(2)
    context.world.add_engine("e1", WaitingEngine(1, 0.01))
    gevent.sleep(age_s)


@then("the next request goes to the other engine")
def step_next_goes(context):
    context.answer = context.world.serve()
    step_complete(context)
    assert context.world.engines["e0"].request_count == context.request_count
    assert context.world.engines["e1"].request_count == 1


@when("a request has waited on the engine for {waited_s:g} s")
def step_has_waited(context, waited_s):
    placement = context.placer.place(build_request())
    context.sent_request = placement.note_sent()
    context.clock.now_s += waited_s


@when("that request has ended")
def step_request_ended(context):
    context.sent_request.end()


# Delays before a request is sent.


@given("connections to engines take {seconds:g} s")
def step_slow_connections(context, seconds):
    pool = context.world._handler._parts.pool
    acquire = pool.acquire

    def acquire_late(*arguments):
        gevent.sleep(seconds)
        return acquire(*arguments)

    pool.acquire = acquire_late


@when("the request is served {age_s:g} s after weights 2 were named")
def step_served_after(context, age_s):
    context.world.name_weights(2)
    gevent.sleep(age_s)
    context.answer = context.world.serve()


@then("the engine was sent no request")
def step_engine_not_sent(context):
    assert context.world.engines["e0"].request_count == 0, context.answer


@then("the caller gets a 503 with a retry time")
def step_refused(context):
    assert context.answer.startswith(b"HTTP/1.1 503"), context.answer
    assert b"Retry-After" in context.answer, context.answer
