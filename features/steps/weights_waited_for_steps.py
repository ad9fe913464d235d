"""Steps for requests that wait at engines whose weights are replaced."""

from behave import given, then, when
from decision_world import build_request
from modelled_clock import Clock

from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement import BeginBound, Placer
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
        begin_bound=BeginBound(bound_s, NOTICE_S),
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
