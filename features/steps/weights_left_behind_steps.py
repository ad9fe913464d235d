"""Steps for engines that stay on old weights, in modelled time."""

from behave import given, then, when
from modelled_clock import Clock
from restart_steps import MODEL, Side, build_duty
from rollout_world import LoadingEngines, pass_time

from kumquatseam.rollouts import RolloutView
from kumquatseam.upstreams import WeightsNamed, WeightsTargets


@given("the holder of the duty before {count:d} engines that load within {load_s:g} s")
def step_holder(context, count, load_s):
    context.clock = Clock()
    context.side = Side(context.clock)
    context.targets = WeightsTargets(context.clock)
    context.view = RolloutView(context.side.directory, context.targets, context.clock)
    context.client = LoadingEngines(context.clock)
    for number in range(count):
        context.side.directory.put(context.client.add(number, 1, load_s))
    context.duty = build_duty(context, context.client)


@given("{count:d} of them refuse every order")
def step_refuse(context, count):
    for engine in list(context.client.engines.values())[:count]:
        engine.refuses = True


@when("weights {version:d} are to be in force, and {for_s:g} seconds pass")
def step_named(context, version, for_s):
    context.targets.take(WeightsNamed(MODEL, version))
    pass_time(context, for_s)


@when("loads take {load_s:g} s from now on")
def step_loads_take(context, load_s):
    for engine in context.client.engines.values():
        engine.load_s = load_s


@when("the holder believes {count:d} fewer orders of each engine than there were")
def step_believes_fewer(context, count):
    for status in context.side.directory.all():
        status.orders_accepted -= count


@when("the holder believes {count:d} more orders of each engine than there were")
def step_believes(context, count):
    for status in context.side.directory.all():
        known = status.orders_accepted or 0
        status.note_orders(known + count, context.clock())


@then("{count:d} engines run weights {version:d}")
def step_run(context, count, version):
    versions = sorted(e.version for e in context.client.engines.values())
    assert versions.count(version) == count, versions


@then("the engines that refuse took work most of the time")
def step_took_work(context):
    for engine in context.client.engines.values():
        if engine.refuses:
            blocked = context.blocked_steps[engine.upstream.upstream_id]
            assert blocked < context.steps / 2, (blocked, context.steps)


@then("each of them was ordered at most {most:d} times")
def step_ordered_most(context, most):
    refusing = [e for e in context.client.engines.values() if e.refuses]
    counts = [engine.orders for engine in refusing]
    assert max(counts) <= most, counts
