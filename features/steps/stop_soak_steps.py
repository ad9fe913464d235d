"""Steps for a soak of stops with real processes."""

import random

from behave import given, then, when
from platform_steps import step_platform
from stop_verdict import describe, judge, wait_for_queues
from stop_world import (
    StopWork,
    StopWorld,
    draw_schedule,
    serve_and_stop,
    start_world,
)
from whole_answers_world import draw_answer

GRACE_S = 4.0
CALLERS = 12
#: aims: stops that a seed has at least, and requests sent in them that were judged.
MIN_STOPS = 3
MIN_IN_STOPS = 20


@given(
    "{gateways:d} gateways in front of {engines:d} engines that queue, seed {seed:d}"
)
def step_queueing(context, gateways, engines, seed):
    step_platform(context)
    context.stop_world = StopWorld(context.platform, seed, GRACE_S)
    context.work = StopWork(context.stop_world, random.Random(seed))
    answers = random.Random(seed)
    context.work.next_answer = lambda order: draw_answer(answers)
    start_world(context.stop_world, gateways, engines, context.work.next_answer)


@when("callers send for {for_s:d} seconds while gateways stop and engines slow down")
def step_stops(context, for_s):
    world = context.stop_world
    draw = random.Random(world.seed)
    schedule = draw_schedule(draw, for_s, GRACE_S)
    idle_stops_s = serve_and_stop(world, CALLERS, for_s, schedule, context.work)
    wait_for_queues(world)
    context.verdict = judge(world, idle_stops_s)
    context.described = describe(world, context.verdict)


@then("no request was cut in a stop but those still at work at its end")
def step_none_cut(context):
    assert not context.verdict.faults, context.described


@then("what was refused never ran, nothing ran twice, and no answer was wrong")
def step_promises(context):
    verdict = context.verdict
    assert not verdict.run_though_refused, context.described
    assert not verdict.run_twice, context.described
    assert not verdict.at_work_twice, context.described
    assert not verdict.wrong, context.described


@then("no process needed to be killed, and each ended without an error")
def step_not_killed(context):
    stops = context.verdict.stops
    assert not any(stop.was_killed for stop in stops), context.described
    assert not context.verdict.failed_stops, context.described


@then("requests were sent in several stops, and others waited at engines")
def step_enough(context):
    verdict = context.verdict
    assert len(verdict.stops) >= MIN_STOPS, context.described
    assert sum(verdict.in_stops.values()) >= MIN_IN_STOPS, context.described
    assert verdict.queued, context.described
