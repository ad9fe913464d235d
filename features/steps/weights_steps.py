"""Steps for requests on weights that are being replaced."""

from behave import given, then, when
from decision_world import build_placer, build_request
from modelled_clock import Clock

from kumquatseam.upstreams import (
    Unavailability,
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)


@given("an engine on weights 1 and none on weights 2")
def step_old_engine(context):
    context.clock = Clock()
    context.placer, context.targets = build_placer(context.clock, [("e0", 1)])
    context.targets.add_new(WeightsVersion("m0", 1))
    context.targets.add_new(WeightsVersion("m0", 2))
    context.named_s = context.clock.now_s


@when("weights 2 have been named for {age_s:d} seconds")
def step_named_for(context, age_s):
    context.clock.now_s = context.named_s + age_s
    context.placement = context.placer.place(build_request())


@then("the request goes to the engine on weights 1")
def step_goes(context):
    assert context.placement.version == 1


@then("the request goes nowhere")
def step_nowhere(context):
    assert context.placement is None


@given("weights 2, 3 and 4 named at 0, 4 and 8 seconds")
def step_named_in_turn(context):
    clock = context.clock = Clock()
    context.targets = WeightsTargets(clock)
    for version in (2, 3, 4):
        context.targets.add_new(WeightsVersion("m0", version))
        clock.now_s += 4


@then("at 9 seconds weights 1 are replaced for 9 and weights 3 for 1 seconds")
def step_replaced(context):
    context.clock.now_s -= 3
    assert context.targets.replaced_age_s("m0", 1) == 9
    assert context.targets.replaced_age_s("m0", 3) == 1
    assert context.targets.replaced_age_s("m0", 4) == 0


@given("a run on weights 1 whose engine moves its runs to another")
def step_run_to_move(context):
    context.clock = Clock()
    entries = [("e0", 1), ("e1", 1)]
    context.placer, context.targets = build_placer(context.clock, entries)
    context.targets.add_new(WeightsVersion("m0", 1))
    context.run = context.placer.place(build_request())
    (other,) = {"e0", "e1"} - {context.run.status.upstream.upstream_id}
    context.run.status.move_runs((other,))
    context.run.status.availability.set(Unavailability.LOADING, 60.0)
    context.targets.add_new(WeightsVersion("m0", 2))
    context.named_s = context.clock.now_s


@then("the run may move")
def step_may_move(context):
    assert context.placer.move_destination(context.run) is not None


@then("the run may not move")
def step_may_not_move(context):
    assert context.placer.move_destination(context.run) is None


def _start_process(context, entries, known=None):
    context.clock = Clock()
    context.placer, context.targets = build_placer(context.clock, entries)
    if known is not None:
        context.targets.add_new(WeightsVersion("m0", known))
    else:
        context.targets.add_with_unknown_age(WeightsVersion("m0", 2))
    context.named_s = context.clock.now_s


@given(
    "an engine on weights 1, one on weights 2, and a process that has just read the "
    "newest version"
)
def step_just_read(context):
    _start_process(context, [("e0", 1), ("e1", 2)])


@given("an engine on weights 1, and a process that has just read the newest version")
def step_just_read_alone(context):
    _start_process(context, [("e0", 1)])


@given("an engine on weights 1 and one on weights 2 in a process that knows weights 1")
def step_knows_old(context):
    _start_process(context, [("e0", 1), ("e1", 2)], known=1)


@when("a peer reports that weights 2 were named {age_s:d} seconds ago")
def step_peer_reports(context, age_s):
    context.targets.add_from_peer(WeightsVersion("m0", 2), age_s)


@when("weights 2 have been known for {age_s:d} seconds")
def step_known_for(context, age_s):
    step_named_for(context, age_s)


def _versions_used(context):
    return {context.placer.place(build_request(f"o{n}")).version for n in range(30)}


@then("its requests go to the engine on weights 2 only")
def step_only_new(context):
    assert _versions_used(context) == {2}


@then("its requests may go to the engine on weights 1 as well")
def step_both(context):
    assert _versions_used(context) == {1, 2}


@then("the request goes to the engine on weights 1 for the time being")
def step_old_for_now(context):
    assert context.placer.place(build_request()).version == 1


def _entry(version):
    return Upstream("u", "engines", "a:1", weights=(WeightsVersion("m0", version),))


@given("an engine known to run weights {version:d} after {orders:d} orders")
def step_known_engine(context, version, orders):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.directory.put(_entry(1))
    context.status = context.directory.status("u")
    step_report_says(context, version, orders)


@when("its list entry says weights {version:d} a moment later")
def step_entry_says(context, version):
    context.clock.now_s += 0.5
    context.directory.put(_entry(version))


@when("its list entry says weights {version:d} two seconds later")
def step_entry_says_later(context, version):
    context.clock.now_s += 2
    context.directory.put(_entry(version))


@when("its report says weights {version:d} after {orders:d} orders")
def step_report_says(context, version, orders):
    context.status.note_report("m0", version, orders, context.clock())


@when("one of its answers names weights {version:d}")
def step_answer_names(context, version):
    context.status.record_version("m0", version, context.clock())


@then("it is known to run weights {version:d}")
def step_known_version(context, version):
    assert context.status.version_of("m0") == version


@given("engines on weights 1, 3 and 4 and a process that has just read weights 4")
def step_read_four(context):
    context.clock = Clock()
    entries = [("e0", 1), ("e1", 3), ("e2", 4)]
    context.placer, context.targets = build_placer(context.clock, entries)
    context.targets.add_with_unknown_age(WeightsVersion("m0", 4))


@when("a peer reports that weights 4 replaced weights {before:d} {age_s:d} seconds ago")
def step_peer_reports_before(context, age_s, before):
    context.targets.add_from_peer(WeightsVersion("m0", 4), age_s, before)


@then("its requests go to engines on weights 3 and 4 only")
def step_three_and_four(context):
    assert _versions_used(context) == {3, 4}
