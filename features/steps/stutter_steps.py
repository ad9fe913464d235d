"""Steps for senders whose requests are carried to an upstream that answers twice."""

from behave import given, then, when
from stutter_world import StutterWorld

#: requests of each sender.
REQUESTS = 16


@given("senders whose requests are carried to an upstream that answers some twice")
def step_senders(context):
    context.build = StutterWorld


@when("their carrier ends idle tunnels again and again, seed {seed:d}")
def step_ends(context, seed):
    context.stuttered = world = context.build(seed)
    context.add_cleanup(world.close)
    world.run(REQUESTS)
    # Otherwise there was nothing to tell apart.
    assert world.answered and world.unsent and world.upstream.copies


@then("every answer was the one to its request")
def step_own_answers(context):
    mixed = context.stuttered.mixed
    assert not mixed, (len(mixed), next(iter(mixed.items())))


@then("no request that counts as not sent reached the upstream")
def step_unsent(context):
    world = context.stuttered
    reached = world.unsent & world.upstream.received
    assert not reached, (len(reached), len(world.unsent))


@then("none was interrupted")
def step_none_interrupted(context):
    interrupted = context.stuttered.interrupted
    assert not interrupted, (len(interrupted), next(iter(interrupted.items())))
