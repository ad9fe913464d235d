"""Steps for learning how long first events take, in modelled time."""

import random

from behave import given, then, when

from kumquatseam.placement import Candidate, WaitEstimate, WaitLimit

#: tokens read in a millisecond that are believed.
BELIEVED_SPEED = 51.1
#: what a first event takes with nothing to read.
BASE_MS = 60.0


@given("an estimate of waits that nobody corrected yet")
def step_fresh(context):
    context.waits = WaitEstimate()
    context.draw = random.Random(3)


@when(
    "{count:d} first events come from engines that read {speed:d} tokens a millisecond"
)
def step_learn(context, count, speed):
    context.speed = speed
    for _ in range(count):
        unread = context.draw.uniform(200, 40_000)
        took_ms = (BASE_MS + unread / speed) * context.draw.uniform(0.8, 1.2)
        context.waits.note(unread / BELIEVED_SPEED, took_ms)


@when("{count:d} first events take {took_s:d} seconds")
def step_outliers(context, count, took_s):
    for _ in range(count):
        context.waits.note(100.0, took_s * 1000.0)


@then("a wait of {unread:d} tokens is expected within {share:g} of what it takes")
def step_expected(context, unread, share):
    takes_ms = BASE_MS + unread / context.speed
    expected_ms = context.waits.expected_ms(unread / BELIEVED_SPEED)
    assert abs(expected_ms / takes_ms - 1) <= share, (expected_ms, takes_ms)


@then("it expects what is believed")
def step_as_believed(context):
    assert abs(context.waits.expected_ms(400.0) - 400.0) < 1e-6


@then("what is believed of an expected wait is expected again")
def step_image(context):
    believed_ms = context.waits.believed_ms(900.0)
    assert abs(context.waits.expected_ms(believed_ms) - 900.0) < 1e-6


# An overload.

AIM_MS = 635.0
ENGINES = 6


def _play(seed, learns):
    """Return what became of requests: in aim and let in, after ten seconds."""
    draw = random.Random(seed)
    waits = WaitEstimate()
    speed = BELIEVED_SPEED / 2
    tokens = 9_000
    free_ms = [0.0] * ENGINES
    per_ms = 1.1 * ENGINES * speed / tokens
    now_ms, due = 0.0, []
    in_aim = let_in = 0
    while now_ms < 40_000.0:
        now_ms += draw.expovariate(per_ms)
        while due and due[0][0] <= now_ms:
            _, believed_ms, took_ms = due.pop(0)
            waits.note(believed_ms, took_ms)
        engine = min(range(ENGINES), key=free_ms.__getitem__)
        queued_ms = max(0.0, free_ms[engine] - now_ms)
        unread = queued_ms * speed + tokens
        believed_ms = unread / BELIEVED_SPEED
        limit_ms = waits.believed_ms(AIM_MS) if learns else AIM_MS
        if believed_ms > limit_ms:
            continue
        took_ms = BASE_MS + unread / speed
        free_ms[engine] = now_ms + queued_ms + tokens / speed
        due.append((now_ms + took_ms, believed_ms, took_ms))
        due.sort()
        if now_ms > 10_000.0:
            let_in += 1
            in_aim += took_ms <= AIM_MS
    return in_aim, let_in


@given(
    "engines that read half as fast as believed, with a tenth more load than they bear"
)
def step_overload(context):
    context.seeds = range(5)


@when("requests come for 40 seconds")
def step_play(context):
    context.learning = [_play(seed, True) for seed in context.seeds]
    context.believing = [_play(seed, False) for seed in context.seeds]


@then("at least {share:g} of what was let in after 10 seconds is in aim")
def step_in_aim(context, share):
    shares = [in_aim / let_in for in_aim, let_in in context.learning]
    assert min(shares) >= share, shares


@then("more requests are in aim than with a limit on what is believed")
def step_more(context):
    for (learning, _), (believing, _) in zip(
        context.learning, context.believing, strict=True
    ):
        assert learning > believing, (context.learning, context.believing)


# Prompts longer than any aim.


def _allows(context, pending_tokens):
    candidate = Candidate("e", context.tokens, 2, 16, 0, pending_tokens=pending_tokens)
    return context.limit.allows(candidate)


@given(
    "a prompt of {tokens:d} tokens that may wait {longest_ms:d} ms, or {alone_ms:d} ms "
    "alone"
)
def step_long_prompt(context, tokens, longest_ms, alone_ms):
    context.tokens = tokens
    context.limit = WaitLimit(longest_ms, alone_ms)


@when("its caller has {alone_ms:d} ms left for it")
def step_less_left(context, alone_ms):
    longest_ms = min(context.limit.longest_ms, alone_ms * 0.7)
    context.limit = WaitLimit(longest_ms, alone_ms * 0.7)


@then("it may run on an engine with 2 requests and nothing to read")
@then("it still may run on an engine with 2 requests and nothing to read")
def step_may_run(context):
    assert _allows(context, 0)


@then("it may not run on an engine with 2 requests and nothing to read")
def step_may_not_run(context):
    assert not _allows(context, 0)


@then("it may not run on an engine with {pending:d} tokens to read before it")
def step_may_not_wait(context, pending):
    assert not _allows(context, pending)


@then("a prompt of {tokens:d} tokens is expected after {aim_ms:d} ms everywhere")
def step_late_everywhere(context, tokens, aim_ms):
    assert context.waits.expected_ms(tokens / BELIEVED_SPEED) > aim_ms
    context.tokens = tokens
    deadline_ms = 5000 * 0.7
    context.limit = WaitLimit(
        context.waits.believed_ms(aim_ms), context.waits.believed_ms(deadline_ms)
    )
