"""Steps for the estimate of waits for the first event, in modelled time."""

import random

from behave import given, then, when

from kumquatseam.placement import Candidate, WaitEstimate, WaitLimit

#: prompt tokens that an engine is modelled to prefill in a millisecond.
MODELLED_TOKENS_PER_MS = 51.1
#: time to the first event with nothing to prefill.
BASE_MS = 60.0


@given("a wait estimate without observations")
def step_fresh(context):
    context.waits = WaitEstimate()
    context.draw = random.Random(3)


@when("{count:d} first events come from engines that prefill {speed:d} tokens per ms")
def step_first_events(context, count, speed):
    context.speed = speed
    for _ in range(count):
        unread = context.draw.uniform(200, 40_000)
        took_ms = (BASE_MS + unread / speed) * context.draw.uniform(0.8, 1.2)
        context.waits.observe(unread / MODELLED_TOKENS_PER_MS, took_ms)


@when("{count:d} first events take {took_s:d} seconds")
def step_outliers(context, count, took_s):
    for _ in range(count):
        context.waits.observe(100.0, took_s * 1000.0)


@then("the expected wait for {unread:d} tokens is within {share:g} of the real one")
def step_expected(context, unread, share):
    real_ms = BASE_MS + unread / context.speed
    expected_ms = context.waits.expected_ms(unread / MODELLED_TOKENS_PER_MS)
    assert abs(expected_ms / real_ms - 1) <= share, (expected_ms, real_ms)


@then("the expected wait equals the modelled one")
def step_as_modelled(context):
    assert abs(context.waits.expected_ms(400.0) - 400.0) < 1e-6


@then("an expected wait converted to a modelled one and back is unchanged")
def step_inverse(context):
    modelled_ms = context.waits.modelled_ms(900.0)
    assert abs(context.waits.expected_ms(modelled_ms) - 900.0) < 1e-6


# An overload.

TARGET_MS = 635.0
ENGINES = 6


def _simulate(seed, is_corrected):
    """Simulate an overload of 40 s.

    :param is_corrected: whether the wait limit is corrected by observed waits.
    :returns: the numbers of requests in time and admitted, after the first 10 s.
    """
    draw = random.Random(seed)
    waits = WaitEstimate()
    speed = MODELLED_TOKENS_PER_MS / 2
    tokens = 9_000
    free_ms = [0.0] * ENGINES
    per_ms = 1.1 * ENGINES * speed / tokens
    now_ms, due = 0.0, []
    in_time = admitted = 0
    while now_ms < 40_000.0:
        now_ms += draw.expovariate(per_ms)
        while due and due[0][0] <= now_ms:
            _, modelled_ms, took_ms = due.pop(0)
            waits.observe(modelled_ms, took_ms)
        engine = min(range(ENGINES), key=free_ms.__getitem__)
        queued_ms = max(0.0, free_ms[engine] - now_ms)
        unread = queued_ms * speed + tokens
        modelled_ms = unread / MODELLED_TOKENS_PER_MS
        limit_ms = waits.modelled_ms(TARGET_MS) if is_corrected else TARGET_MS
        if modelled_ms > limit_ms:
            continue
        took_ms = BASE_MS + unread / speed
        free_ms[engine] = now_ms + queued_ms + tokens / speed
        due.append((now_ms + took_ms, modelled_ms, took_ms))
        due.sort()
        if now_ms > 10_000.0:
            admitted += 1
            in_time += took_ms <= TARGET_MS
    return in_time, admitted


@given("engines that prefill half as fast as modelled, at a tenth above their capacity")
def step_overload(context):
    context.seeds = range(5)


@when("requests arrive for 40 seconds")
def step_simulate(context):
    context.corrected = [_simulate(seed, True) for seed in context.seeds]
    context.uncorrected = [_simulate(seed, False) for seed in context.seeds]


@then(
    "at least {share:g} of the requests admitted after 10 seconds meet the target "
    "latency"
)
def step_in_time(context, share):
    shares = [in_time / admitted for in_time, admitted in context.corrected]
    assert min(shares) >= share, shares


@then("more requests meet it than with a limit on modelled waits")
def step_more(context):
    for (corrected, _), (uncorrected, _) in zip(
        context.corrected, context.uncorrected, strict=True
    ):
        assert corrected > uncorrected, (context.corrected, context.uncorrected)


# Prompts too long for the target latency.


def _allows(context, pending_tokens):
    candidate = Candidate("e", context.tokens, 2, 16, 0, pending_tokens=pending_tokens)
    return context.limit.allows(candidate)


@given(
    "a prompt of {tokens:d} tokens that may wait {max_ms:d} ms, or {max_idle_ms:d} ms "
    "on an idle engine"
)
def step_long_prompt(context, tokens, max_ms, max_idle_ms):
    context.tokens = tokens
    context.limit = WaitLimit(max_ms, max_idle_ms)


@when("its caller's deadline is in {remaining_ms:d} ms")
def step_deadline_in(context, remaining_ms):
    max_ms = min(context.limit.max_ms, remaining_ms * 0.7)
    context.limit = WaitLimit(max_ms, remaining_ms * 0.7)


@then("it may run on an engine with 2 requests and no pending tokens")
@then("it still may run on an engine with 2 requests and no pending tokens")
def step_may_run(context):
    assert _allows(context, 0)


@then("it may not run on an engine with 2 requests and no pending tokens")
def step_may_not_run(context):
    assert not _allows(context, 0)


@then("it may not run on an engine with {pending:d} pending tokens")
def step_may_not_wait(context, pending):
    assert not _allows(context, pending)


@then(
    "the expected wait for a prompt of {tokens:d} tokens is over {target_ms:d} ms on "
    "every engine"
)
def step_late_everywhere(context, tokens, target_ms):
    assert context.waits.expected_ms(tokens / MODELLED_TOKENS_PER_MS) > target_ms
    context.tokens = tokens
    deadline_ms = 5000 * 0.7
    context.limit = WaitLimit(
        context.waits.modelled_ms(target_ms), context.waits.modelled_ms(deadline_ms)
    )
