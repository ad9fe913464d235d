"""Steps for requests that begin on replaced weights too late, in modelled time."""

from behave import given, then, when
from decision_world import build_placer, build_request
from modelled_clock import Clock

from kumquatseam.upstreams import WeightsNamed

MODEL = "m0"


def _name(context, version):
    context.targets.take(WeightsNamed(MODEL, version))


@given("an instance that knows of no weights before an engine on weights 1")
def step_instance(context):
    context.clock = Clock()
    context.placer, context.targets = build_placer(context.clock, [("e0", 1)])


@given("an instance before an engine on weights 1")
def step_instance_knows(context):
    step_instance(context)
    _name(context, 1)


@when("it stands still for {for_s:g} seconds, in which weights 2 are named at once")
def step_still(context, for_s):
    context.clock.sleep(for_s)
    _name(context, 2)


@when("the log says that weights {version:d} are named")
def step_name(context, version):
    _name(context, version)


@when("the log says that weights {version:d} are named, and {for_s:g} seconds go by")
def step_name_and_pass(context, version, for_s):
    _name(context, version)
    context.clock.sleep(for_s)


@when("{for_s:g} more seconds go by")
def step_pass_more(context, for_s):
    context.clock.sleep(for_s)


@when("the holder of the duty says that they were named {age_s:g} seconds ago")
def step_hear(context, age_s):
    context.targets.hear(WeightsNamed(MODEL, 2), age_s, 1)


@when(
    "the holder of the duty says that weights {version:d} were named {age_s:g} seconds "
    "ago after {replaced:d}"
)
def step_hear_after(context, version, age_s, replaced):
    context.targets.hear(WeightsNamed(MODEL, version), age_s, replaced)


@then("requests may begin on weights 1")
def step_begin(context):
    assert context.placer.place(build_request()) is not None


@then("requests may not begin on weights 1")
def step_not_begin(context):
    assert context.placer.place(build_request()) is None
