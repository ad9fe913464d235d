"""Steps for what one instance notes of runs whose ends it does not see."""

from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.quarantine import BrokenRun, RunUpstream
from kumquatseam.quarantine._witness import CrashWitness


@given("an instance that watches {count:d} engines")
def step_witness(context, count):
    context.clock = Clock()
    context.reported, context.probed = [], []
    context.engines = [RunUpstream(f"e{n}@1", f"e{n}") for n in range(count)]
    context.witness = CrashWitness(
        lambda *crash: context.reported.append(crash),
        later=lambda delay_s, function, *arguments: context.probed.append(arguments),
        clock=context.clock,
    )


@when("{count:d} callers of as many requests leave within {for_s:d} seconds")
def step_leave(context, count, for_s):
    for number in range(count):
        engine = context.engines[number % len(context.engines)]
        context.witness.note_abandoned(BrokenRun(f"r{number}", engine, None))
        context.clock.sleep(for_s / count)


@then("no engine was probed, and at most {most:d} requests each are remembered")
def step_bounded(context, most):
    assert not context.probed, context.probed
    noted = context.witness._uncertain.values()
    assert all(len(upstream.begun) <= most for upstream in noted)


@when("the engines leave the list {after_s:d} seconds later")
def step_gone(context, after_s):
    context.clock.sleep(after_s)
    for engine in context.engines:
        context.witness.note_upstream_gone(engine.incarnation_id, False)


@then("none of the callers' requests is held to account")
def step_none_reported(context):
    assert not context.reported, context.reported
