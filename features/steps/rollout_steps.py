"""Steps for the plan of a rollout and for its notices."""

import math

import attrs
from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.peers import (
    RolloutNotice,
)
from kumquatseam.rollouts import RolloutView
from kumquatseam.rollouts.duty import EngineState, RolloutBounds, plan_loads
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)


def engine_state(
    number,
    version,
    running,
    target=None,
    loading=False,
    slots=48,
    reachable=True,
    age_s=0.0,
):
    return EngineState(
        f"e{number:02}",
        version,
        version == target,
        loading,
        running,
        slots,
        is_reachable=reachable,
        replaced_s=0.0 if version == target else age_s,
    )


@given("{count:d} engines of {slots:d} slots with {runs:d} runs each on weights 1")
def step_engines(context, count, slots, runs):
    context.engines = [(1, runs, slots)] * count
    context.unreachable = 0


@given("{count:d} of them already run weights {version:d}")
def step_some_ready(context, count, version):
    runs, slots = context.engines[0][1:]
    context.engines[:count] = [(version, runs, slots)] * count


@given("{count:d} more engines run weights {version:d}")
def step_more(context, count, version):
    context.engines = context.engines + [(version, 10, 48)] * count


@then("{count:d} engines load, {in_use:d} of them while they serve runs")
def step_load_in_place(context, count, in_use):
    assert len(context.plan.order_now) == count, context.plan
    assert len(context.plan.in_place) == in_use, context.plan
    assert set(context.plan.in_place) <= set(context.plan.order_now), context.plan


@given("{count:d} of them cannot be reached")
def step_unreachable(context, count):
    context.unreachable = count


@then("none of the engines that cannot be reached is among them")
def step_none_unreachable(context):
    unreachable_ids = {f"e{i:02}" for i in range(context.unreachable)}
    assert not unreachable_ids & {*context.plan.order_now, *context.plan.destinations}


@when("weights {version:d} are named")
def step_named(context, version):
    context.target = version
    _plan(context, 0.1)


@when(
    "weights {version:d} were named {age_s:g} seconds ago, and all have to run them "
    "within {complete_s:g}"
)
def step_named_with_bound(context, version, age_s, complete_s):
    context.target = version
    _plan(context, age_s, complete_s)


@when("{age_s:g} seconds have passed")
def step_passed(context, age_s):
    _plan(context, age_s)


def _plan(context, age_s, complete_s=math.inf):
    context.states = [
        engine_state(
            i,
            version,
            runs,
            context.target,
            slots=slots,
            reachable=i >= context.unreachable,
            age_s=age_s,
        )
        for i, (version, runs, slots) in enumerate(context.engines)
    ]
    context.plan = plan_loads(context.states, RolloutBounds(complete_s=complete_s))


@then("{count:d} engines load, and their runs move to {kept:d} engines that load last")
def step_waves(context, count, kept):
    plan = context.plan
    assert len(plan.order_now) == count, plan
    assert len(plan.destinations) == kept, plan
    assert not set(plan.order_now) & set(plan.destinations), plan


@then("{count:d} engines load")
def step_load_count(context, count):
    assert len(context.plan.order_now) == count, context.plan


@then("no engine loads")
def step_none_load(context):
    assert not context.plan.order_now, context.plan


@then("no engine is closed to new requests yet")
def step_none_closed(context):
    assert not context.plan.closing, context.plan


@then("the {count:d} engines that do not load yet are closed to new requests")
def step_last_closed(context, count):
    plan = context.plan
    assert len(plan.closing) == count, plan
    assert not set(plan.closing) & set(plan.order_now), plan
    assert set(plan.destinations) <= set(plan.closing), plan


@then("the engines that load all ran weights {version:d}")
def step_loaded_version(context, version):
    versions = {e.incarnation_id: e.version for e in context.states}
    assert context.plan.order_now
    assert {versions[i] for i in context.plan.order_now} == {version}, context.plan


@then(
    "with up to 80 engines, at most 0.4 of them load at once, and in the end all have"
)
def step_any_size(context):
    for count in range(1, 81):
        states = {f"e{i:02}": engine_state(i, 1, 5) for i in range(count)}
        for round_number in range(200):
            for upstream_id, state in states.items():
                if not state.has_target:
                    states[upstream_id] = attrs.evolve(
                        state, replaced_s=0.05 * round_number
                    )
            plan = plan_loads(list(states.values()), RolloutBounds())
            assert len(plan.order_now) <= max(1, int(count * 0.4)), plan
            for upstream_id in plan.order_now:
                states[upstream_id] = engine_state(int(upstream_id[1:]), 2, 0, 2)
        assert all(state.has_target for state in states.values()), count


def _apply_notice(
    context, model, loading, destinations=(), keep_runs=(), destination_versions=()
):
    context.notices = getattr(context, "notices", 0) + 1
    notice = RolloutNotice(
        "a",
        1,
        context.notices,
        model,
        2,
        loading,
        (),
        (),
        destinations,
        named_age_s=1.0,
        keep_runs=keep_runs,
        destination_versions=destination_versions,
    )
    assert context.view.apply_notice(notice)


@given("a process notified that e0 loads weights of m0")
def step_notice(context):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.directory.put(Upstream("e0", "engines", "a:1"))
    targets = WeightsTargets(context.clock)
    context.view = RolloutView(context.directory, targets, context.clock)
    _apply_notice(context, "m0", ("e0",))


@when("it is notified that no engine loads weights of {model}")
def step_notice_nothing_loads(context, model):
    _apply_notice(context, model, ())


@then("e0 receives no requests")
def step_blocked(context):
    assert context.directory.status("e0").blocked_until_s > context.clock.now_s


@then("e0 receives requests again")
def step_unblocked(context):
    assert context.directory.status("e0").blocked_until_s <= context.clock.now_s


@given("a process notified that e0 loads weights of m0 and that its runs move to e1")
def step_notice_destination(context):
    step_notice(context)
    _apply_notice(context, "m0", ("e0",), ("e1",))


@when("it is notified that e0 loads weights of m0 while its runs continue")
def step_notice_in_place(context):
    _apply_notice(context, "m0", ("e0",), ("e1",), ("e0",))


@when("it is notified that e1 runs weights {version:d} by now")
def step_other_weights(context, version):
    weights = (WeightsVersion("m0", 1),)
    context.directory.put(Upstream("e1", "engines", "a:2", weights=weights))
    _apply_notice(context, "m0", ("e0",), ("e1",), (), (version,))


@then("no run on weights {version:d} moves to e1")
def step_moves_not(context, version):
    assert not context.directory.status("e1").runs(version)


@when("no notice arrives for {for_s:g} seconds")
def step_no_notice(context, for_s):
    context.clock.sleep(for_s)


@then("runs of e0 move to e1")
def step_moves(context):
    assert context.directory.status("e0").move_runs_to == ("e1",)


@then("runs of e0 stay where they are")
def step_stay(context):
    assert context.directory.status("e0").move_runs_to == ()
