"""Steps for streams that are taken up after all gateways were killed at once."""

import threading
import time

from behave import then, when
from broken_answers_steps import RESTART_S, start_again
from platform_world import wait_until
from two_versions_steps import add_engine, run_callers

#: when all gateways are killed.
KILLS_S = (3.0, 7.0, 11.0)
#: how long they are away, and the pause until the next one starts.
AWAY_S = 0.5
STEP_S = 0.2
#: by when the first gateway and all of them are to be back; beside load their starts
#: take longer, and the test's clock waits for them.
FIRST_BACK_S = 1.5
ALL_BACK_S = 2.5
#: pause and number of attempts of callers that come back at once.
AT_ONCE_S = 0.05
ATTEMPTS_AT_ONCE = 40
#: how long callers wait in all, who come back after the gateways are stable again.
DEADLINE_S = 12.0


@when(
    "callers stream for {for_s:d} seconds, {what}, all gateways are killed {count:d} "
    "times and back one by one, and callers come back {when}"
)
def step_all_killed(context, for_s, what, count, when):
    context.killed_s = []
    troubles = [(at_s, lambda: _kill_all(context)) for at_s in KILLS_S[:count]]
    troubles += _releases(context, what)
    at_once = when == "at once"
    run_callers(
        context,
        for_s,
        troubles=troubles,
        comes_back_s=AT_ONCE_S if at_once else float(when.split()[0]),
        max_tries=ATTEMPTS_AT_ONCE if at_once else 3,
        deadline_s=DEADLINE_S if count == 1 else 5.0,
    )


def _kill_all(context):
    """Kill all gateways at once; each starts a little later than the one before."""
    gateways = context.platform.gateways
    for gateway in gateways:
        gateway.process.kill()
    context.killed_s.append(time.monotonic())
    killed_s = context.clock.now_s
    starts = [
        threading.Timer(AWAY_S + STEP_S * n, start_again, (context, gateway))
        for n, gateway in enumerate(gateways)
    ]
    for start in starts:
        start.start()
    context.clock.wait_for(
        killed_s + FIRST_BACK_S,
        lambda: wait_until("one is back", lambda: _is_any_ready(gateways), RESTART_S),
    )
    context.clock.wait_for(killed_s + ALL_BACK_S, lambda: _join(starts))


def _is_any_ready(gateways):
    return any(gateway.is_ready() for gateway in gateways)


def _join(threads):
    for thread in threads:
        thread.join()


def _releases(context, what):
    """Return when engines of v1 are replaced by engines of v3."""
    if what == "both versions serve":
        return []
    world = context.platform
    old = [r for r in world.replicas.values() if r.software == "v1"]

    def replace(replica, number):
        add_engine(context, f"n{number}", "v3")
        world.unlist_replica(replica.upstream_id)

    def end(replica, number):
        replace(replica, number)
        replica.crash()

    if what == "v1 is replaced by v3":
        # The last one goes while all gateways are away for the second time.
        at_s = [KILLS_S[0] + 1.1 * (n + 1) for n in range(len(old) - 1)]
        at_s.append(KILLS_S[1] + AWAY_S / 2)
        action = replace
    else:
        at_s = [KILLS_S[0] - 0.05] * len(old)
        action = end
    return [
        (at, lambda r=replica, n=number: action(r, n))
        for number, (at, replica) in enumerate(zip(at_s, old, strict=True))
    ]


def _taken_up_after_kills(context):
    """Return the attempts to take streams up that callers made after a kill."""
    return [
        attempt
        for stream in context.streams
        for attempt in stream.taken_up
        if attempt.status and any(stream.began_s < s for s in context.killed_s)
    ]


@then("at least {count:d} streams were taken up after a kill")
def step_taken_up(context, count):
    taken = sum(
        any(attempt.status for attempt in stream.taken_up) for stream in context.streams
    )
    assert len(context.killed_s) == len(KILLS_S)
    assert taken >= count, taken


@then("what was taken up is refused with 503, or goes on")
def step_refused_or_on(context):
    statuses = [attempt.status for attempt in _taken_up_after_kills(context)]
    counts = {status: statuses.count(status) for status in set(statuses)}
    print(f"taken up: {counts}")
    assert set(counts) <= {200, 503}, counts
