"""Steps for crash detection after callers disconnect."""

from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.quarantine import InterruptedRun, RunUpstream
from kumquatseam.quarantine._crash_detector import CrashDetector


@given("an instance that tracks runs on {count:d} engines")
def step_detector(context, count):
    context.clock = Clock()
    context.reported, context.probed = [], []
    context.engines = [RunUpstream(f"e{n}@1", f"e{n}") for n in range(count)]
    context.detector = CrashDetector(
        lambda *crash: context.reported.append(crash),
        call_later=lambda delay_s, function, *arguments: context.probed.append(
            arguments
        ),
        clock=context.clock,
    )


@when(
    "{count:d} callers, each with its own request, disconnect within {for_s:d} seconds"
)
def step_callers_leave(context, count, for_s):
    for number in range(count):
        engine = context.engines[number % len(context.engines)]
        context.detector.note_abandoned(InterruptedRun(f"r{number}", engine, None))
        context.clock.sleep(for_s / count)


@then("no engine was probed, and at most {most:d} requests per engine are remembered")
def step_bounded(context, most):
    assert not context.probed, context.probed
    noted = context.detector._possible_crashes.values()
    assert all(len(upstream.started) <= most for upstream in noted)


@when("the engines leave the list {after_s:d} seconds later")
def step_engines_leave(context, after_s):
    context.clock.sleep(after_s)
    for engine in context.engines:
        context.detector.note_upstream_gone(engine.incarnation_id, False)


@then("no crash is reported for the callers' requests")
def step_none_reported(context):
    assert not context.reported, context.reported
