"""Steps for engines that stay on old weights, in simulated time."""

import attrs
from behave import given, then, when
from modelled_clock import Clock
from restart_steps import MODEL, Side, build_duty
from rollout_world import LoadingEngines, pass_time

from kumquatseam.rollouts import RolloutView
from kumquatseam.rollouts.duty import RolloutBounds
from kumquatseam.routes import EngineTraits, ServiceTraits
from kumquatseam.upstreams import WeightsTargets, WeightsVersion


def build_world(context, models):
    context.clock = Clock()
    context.side = Side(context.clock)
    context.targets = WeightsTargets(context.clock)
    context.view = RolloutView(context.side.directory, context.targets, context.clock)
    context.client = LoadingEngines(context.clock)
    traits = [
        ServiceTraits(f"engines of {model}", engine=EngineTraits(48, 100_000, (model,)))
        for model in models
    ]
    context.services = traits
    context.duty = build_duty(context, context.client, traits)


@given("the lease holder with {count:d} engines that load within {load_s:g} s")
def step_holder(context, count, load_s):
    build_world(context, [MODEL])
    for number in range(count):
        entry = context.client.add(number, 1, load_s, MODEL, f"engines of {MODEL}")
        context.side.directory.put(entry)


@given(
    "the lease holder with {count:d} engines of each of {models:d} models that load "
    "within {load_s:g} s"
)
def step_models(context, count, models, load_s):
    names = [f"m{number}" for number in range(models)]
    build_world(context, names)
    for number in range(count * models):
        model = names[number % models]
        entry = context.client.add(number, 1, load_s, model, f"engines of {model}")
        context.side.directory.put(entry)


@given(
    "the first order to {count:d} of them is executed {late_s:g} s later and not "
    "answered"
)
def step_first_order_late(context, count, late_s):
    for engine in list(context.client.engines.values())[:count]:
        engine.late_s = late_s


@given("the reports of {count:d} of them never arrive")
def step_no_reports(context, count):
    for engine in list(context.client.engines.values())[:count]:
        engine.reports = False


@when("the lease is lost for {for_s:g} seconds")
def step_lease_lost(context, for_s):
    lease = context.duty._lease
    lease.fence = None
    pass_time(context, for_s)
    lease.fence = 8


@when("{for_s:g} seconds pass, and the upstream list shows the weights of each engine")
def step_listed(context, for_s):
    pass_time(context, for_s, lambda: list_engines(context))


def list_engines(context):
    for status in context.side.directory.all():
        engine = context.client.engines[status.upstream.upstream_id]
        weights = (WeightsVersion(MODEL, engine.version),)
        context.side.directory.put(attrs.evolve(status.upstream, weights=weights))
    context.side.directory.confirm_entries()


@when("one engine refuses every order from now on")
def step_one_refuses(context):
    list(context.client.engines.values())[-1].refuses = True


@when("an engine that runs weights {runs:d} is recorded as running weights {version:d}")
def step_recorded_version(context, runs, version):
    engine = next(iter(context.client.engines.values()))
    assert engine.version == runs, engine.version
    status = context.side.directory.status(engine.upstream.incarnation_id)
    status.record_version(MODEL, version, context.clock())


@given("each engine has {runs:d} runs, in {zones:d} availability zones")
def step_runs(context, runs, zones):
    for number, status in enumerate(context.side.directory.all()):
        status.upstream = attrs.evolve(
            status.upstream, availability_zone=f"z{number % zones}"
        )
        context.client.engines[status.upstream.upstream_id].runs = runs


@given(
    "requests may begin on replaced weights for {begin_s:g} s, and all engines have "
    "to load within {complete_s:g} s"
)
def step_bound(context, begin_s, complete_s):
    bounds = RolloutBounds(begin_s, complete_s)
    context.duty = build_duty(context, context.client, context.services, bounds)


@given("runs end {runs_end_s:g} s after their engine is closed to requests")
def step_runs_end(context, runs_end_s):
    for engine in context.client.engines.values():
        engine.runs_end_s = runs_end_s


@given("{count:d} of them end undetected when they accept an order")
def step_end_on_order(context, count):
    for engine in list(context.client.engines.values())[:count]:
        engine.ends_on_order = True


@given("their reports are lost while they load")
def step_reports_lost(context):
    for engine in context.client.engines.values():
        engine.reports_while_loading = False


@given("{count:d} of them refuse every order")
def step_refuse(context, count):
    for engine in list(context.client.engines.values())[:count]:
        engine.refuses = True


@when("weights {version:d} become the target, and {for_s:g} seconds pass")
def step_named(context, version, for_s):
    context.targets.add_new(WeightsVersion(MODEL, version))
    pass_time(context, for_s)


@when(
    "weights {version:d} of {models:d} models become the target, and {for_s:g} s pass"
)
def step_all_named(context, version, models, for_s):
    for number in range(models):
        context.targets.add_new(WeightsVersion(f"m{number}", version))
    pass_time(context, for_s)


@when(
    "weights are named {count:d} times, {pause_s:g} s apart, and {for_s:g} seconds pass"
)
def step_named_often(context, count, pause_s, for_s):
    # When each version was named, and when at most one engine still ran an older one.
    context.named_s = {}
    context.reached_s = {}
    for version in range(2, 2 + count):
        context.targets.add_new(WeightsVersion(MODEL, version))
        context.named_s[version] = context.clock()
        pass_time(context, pause_s, lambda: note_reached(context))
    pass_time(context, for_s - pause_s, lambda: note_reached(context))


def note_reached(context):
    versions = [engine.version for engine in context.client.engines.values()]
    for version in context.named_s:
        older = sum(known < version for known in versions)
        if older <= 1:
            context.reached_s.setdefault(version, context.clock())


@when("loads take {load_s:g} s from now on")
def step_loads_take(context, load_s):
    for engine in context.client.engines.values():
        engine.load_s = load_s


@when("the holder's count of accepted orders is {count:d} too low for each engine")
def step_count_too_low(context, count):
    for status in context.side.directory.all():
        status.orders_accepted -= count


@when("the holder's count of accepted orders is {count:d} too high for each engine")
def step_count_too_high(context, count):
    for status in context.side.directory.all():
        known = status.orders_accepted or 0
        status.note_inferred_orders(known + count, context.clock())


@then("{count:d} engines run weights {version:d}")
def step_run(context, count, version):
    versions = sorted(e.version for e in context.client.engines.values())
    assert versions.count(version) == count, versions


@then("the engines that refuse were open to requests most of the time")
def step_open_to_requests(context):
    for engine in context.client.engines.values():
        if engine.refuses:
            blocked = context.blocked_steps[engine.upstream.upstream_id]
            assert blocked < context.steps / 2, (blocked, context.steps)


@then("every engine was ordered {count:d} time")
def step_ordered(context, count):
    counts = [engine.orders for engine in context.client.engines.values()]
    assert set(counts) == {count}, counts


@then("each of them was ordered at most {most:d} times")
def step_ordered_most(context, most):
    refusing = [e for e in context.client.engines.values() if e.refuses]
    counts = [engine.orders for engine in refusing]
    assert max(counts) <= most, counts


@then("each version reached all engines but one within {bound_s:g} s")
def step_reached(context, bound_s):
    took_s = {
        version: round(context.reached_s[version] - named_s, 1)
        for version, named_s in context.named_s.items()
    }
    assert max(took_s.values()) <= bound_s, took_s


@then(
    "at most {most:d} engines loaded at the same time, and none was open to requests "
    "meanwhile"
)
def step_loaded_at_once(context, most):
    assert context.max_loading <= most, context.max_loading
    # A notice may go out a step after an engine began to load.
    assert context.open_while_loading <= most, context.open_while_loading


@then("at most {most:d} engines loaded weights while they had runs")
def step_loaded_with_runs(context, most):
    interrupted = sum(
        engine.interrupted_runs > 0 for engine in context.client.engines.values()
    )
    assert interrupted <= most, interrupted


# Runs that move before their engine loads.


def _draining(context):
    """Return the engines whose runs are to move."""
    return [s for s in context.side.directory.all() if s.move_runs_to]


@then("no engine got an order")
def step_no_order(context):
    assert _draining(context)
    ordered = {n: e.orders for n, e in context.client.engines.items() if e.orders}
    assert not ordered, ordered


@when("the runs of the engines that are to load have moved, and {for_s:g} seconds pass")
def step_runs_moved(context, for_s):
    context.moved = [s.upstream.upstream_id for s in _draining(context)]
    for name in context.moved:
        context.client.engines[name].runs = 0
    pass_time(context, for_s)


@then("the engines that are to load got their orders")
def step_got_orders(context):
    engines = context.client.engines
    assert all(engines[name].orders == 1 for name in context.moved), context.moved
