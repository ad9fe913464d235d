"""Steps for requests that wait at engines whose weights are replaced."""

import gevent
from behave import given, then, when
from decision_world import build_request
from modelled_clock import Clock
from waiting_world import BOUND, EVENTS, WaitingEngine, WaitingWorld

from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement import Placer, ReplacedWeightsGrace
from kumquatseam.prompts import PromptIndex
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsNamed,
    WeightsTargets,
)

#: prompt tokens that an engine is believed to read in a second.
TOKENS_PER_S = 51_100
#: how late an instance may learn of a naming.
NOTICE_S = 1.2


def _put_engine(context, name):
    weights = (WeightsNamed("m0", 1),)
    context.directory.put(
        Upstream(name, "engines", "127.0.0.1:1", slots=48, weights=weights)
    )
    (found,) = {
        status.upstream.incarnation_id
        for status in context.directory.of_service("engines")
        if status.upstream.upstream_id == name
    }
    return found


@given("an engine on weights 1 and a bound of {bound_s:g} s for beginning on them")
def step_engine(context, bound_s):
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
        replaced_weights_grace=ReplacedWeightsGrace(bound_s, NOTICE_S),
    )
    context.engine = _put_engine(context, "e0")
    context.targets.take(WeightsNamed("m0", 1))
    context.targets.take(WeightsNamed("m0", 2))
    context.named_s = clock.now_s


@given("another engine on weights 1 that has to read {wait_s:g} s of prompts first")
def step_other_engine(context, wait_s):
    context.other_engine = _put_engine(context, "e1")
    context.pending_tokens[context.other_engine] = int(wait_s * TOKENS_PER_S)


@when("weights 2 were named {age_s:g} s ago")
def step_named(context, age_s):
    context.clock.now_s = context.named_s + age_s


@when("the engine has to read {wait_s:g} s of prompts for others first")
def step_has_to_read(context, wait_s):
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


# Requests that were sent, in real time.

#: when weights are named after a request was sent.
NAMED_AFTER_S = 0.1
#: an engine has seen by then that its connection was closed.
CLOSE_SEEN_S = 0.05


def _build_world(context, is_resumable, engine):
    context.world = WaitingWorld(is_resumable)
    context.add_cleanup(context.world.close)
    context.world.add_engine("e0", engine)
    context.loads = []


@given("a resumable stream and an engine on weights 1 that begins nothing")
def step_resumable_waits(context):
    _build_world(context, True, WaitingEngine(1, None))


@given(
    "a stream that must not run twice and an engine on weights 1 that begins nothing"
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
    "a stream that must not run twice and an engine on weights 1 that begins after "
    "{after_s:g} s"
)
def step_begins_late(context, after_s):
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


@then("its engine was left before the bound")
def step_left(context):
    gevent.sleep(CLOSE_SEEN_S)
    left_s = context.world.engines["e0"].left_s
    assert left_s is not None, context.answer
    waited_s = left_s - context.world.named_s
    assert 0.2 < waited_s < BOUND.begin_s - BOUND.notice_s, waited_s


@then("the caller's answer is whole, with events of weights {version:d}")
def step_whole_of(context, version):
    step_whole(context)
    assert b"X-Weight-Versions: %d\r\n" % version in context.answer, context.answer


@then("the caller's answer is whole")
def step_whole(context):
    assert context.answer.count(b"data:") == EVENTS, context.answer
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer


@then("the caller is told nothing of whether it ran")
def step_told_nothing(context):
    assert context.answer.startswith(b"HTTP/1.1 502"), context.answer
    assert b"Retry-After" not in context.answer


@then("no other engine was sent the request")
def step_not_sent(context):
    assert context.world.engines["e1"].taken == 0


# Engines that are slower than the others.


@given("a resumable stream and an engine on weights 1 that begins after {after_s:g} s")
def step_slow_engine(context, after_s):
    _build_world(context, True, WaitingEngine(1, after_s))


@given("{count:d} requests were served by it")
def step_served_before(context, count):
    for _ in range(count):
        context.answer = context.world.serve()
        step_whole(context)
    context.taken = context.world.engines["e0"].taken


@when(
    "weights 2 were named {age_s:g} s ago, and another engine on weights 1 begins "
    "at once"
)
def step_named_before(context, age_s):
    context.world.name_weights(2)
    context.world.add_engine("e1", WaitingEngine(1, 0.01))
    gevent.sleep(age_s)


@then("the next request goes to the other engine")
def step_next_goes(context):
    context.answer = context.world.serve()
    step_whole(context)
    assert context.world.engines["e0"].taken == context.taken
    assert context.world.engines["e1"].taken == 1


@when("a request has waited at the engine for {waited_s:g} s")
def step_has_waited(context, waited_s):
    placement = context.placer.place(build_request())
    context.sent_request = placement.note_sent()
    context.clock.now_s += waited_s


@when("that request is over")
def step_request_over(context):
    context.sent_request.end()
