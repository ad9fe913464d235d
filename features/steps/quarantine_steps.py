"""Steps for requests that crash engines, in modelled time."""

import itertools

from behave import given, then, when
from modelled_clock import Clock
from quarantine_fleet import QuarantineFleet

from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._registry import CrashRegistry

CRASHING = "crashing"
#: pause between two repeats of the crashing request.
SEND_INTERVAL_S = 0.25


@given(
    "{count:d} instances in front of {engines:d} engines, and a request that crashes "
    "them"
)
def step_fleet(context, count, engines):
    context.fleet_under_crash = QuarantineFleet(count, engines)
    context.fleet_under_crash.crashing.add(CRASHING)


def _repeat(fleet, for_s, between=lambda number: None):
    """Repeat the crashing request; call ``between`` before each repeat."""
    end_s = fleet.clock() + for_s
    for number in itertools.count():
        if fleet.clock() >= end_s:
            return
        between(number)
        fleet.send(CRASHING)
        fleet.run(SEND_INTERVAL_S)


def _crash_times(fleet, count):
    """Send the crashing request until it has crashed ``count`` engines."""
    while len(fleet.crashes.get(CRASHING, [])) < count:
        fleet.send(CRASHING)
        fleet.run(SEND_INTERVAL_S)


@when("it is repeated for {for_s:d} seconds")
def step_repeat(context, for_s):
    _repeat(context.fleet_under_crash, for_s)


@when("it is sent {count:d} times at once, each time to another instance")
def step_at_once(context, count):
    fleet = context.fleet_under_crash
    for instance in fleet.rng.sample(
        fleet.running_instances(), min(count, len(fleet.running_instances()))
    ):
        fleet.net.call_later(0.001, fleet.send, CRASHING, instance)
    fleet.run(1.0)


@when(
    "it is sent {count:d} times, every {every_s:d} seconds, and each crash is noticed "
    "{late_s:d} seconds late"
)
def step_noticed_late(context, count, every_s, late_s):
    fleet = context.fleet_under_crash
    fleet.detection_delay_s = late_s
    for _ in range(count):
        fleet.send(CRASHING)
        fleet.run(every_s)


@when("it has crashed {count:d} engines")
@when("it has crashed {count:d} engine")
def step_has_crashed(context, count):
    _crash_times(context.fleet_under_crash, count)


@when(
    "it is sent repeatedly for {for_s:d} seconds, and each second an instance is "
    "restarted"
)
def step_rolling(context, for_s):
    fleet = context.fleet_under_crash
    turn = itertools.cycle(fleet.instances)

    def between(number):
        if number % 4 == 0:
            fleet.restart([next(turn)])

    _repeat(fleet, for_s, between)


@when("all instances are killed at once and restarted")
def step_restart_all(context):
    fleet = context.fleet_under_crash
    fleet.kill(fleet.instances)
    fleet.run(0.5)
    fleet.restart(fleet.instances)


@when("{share:d} percent of the instances are killed and not restarted")
def step_kill_share(context, share):
    fleet = context.fleet_under_crash
    fleet.kill(fleet.rng.sample(fleet.instances, len(fleet.instances) * share // 100))


@when("a third of the instances cannot reach the log service")
def step_partial_log_outage(context):
    fleet = context.fleet_under_crash
    for instance in fleet.rng.sample(fleet.instances, len(fleet.instances) // 3):
        instance.faults.down = True


@when("no instance can reach the log service")
def step_log_outage(context):
    for instance in context.fleet_under_crash.instances:
        instance.faults.down = True


@when("one message in {count:d} is lost, and no broadcast arrives")
def step_message_loss(context, count):
    fleet = context.fleet_under_crash
    fleet.net.loss = 1 / count
    fleet.notice_loss_ratio = 1.0


@then("it reached engines at most {most:d} times, and crashed at most {crashes:d}")
def step_reached(context, most, crashes):
    fleet = context.fleet_under_crash
    assert len(fleet.arrivals[CRASHING]) <= most, fleet.arrivals
    assert len(fleet.crashes[CRASHING]) <= crashes, fleet.crashes


@then("over 3 seconds after the third crash at most {most:d} reached an engine")
def step_late_arrivals(context, most):
    fleet = context.fleet_under_crash
    assert len(fleet.crashes[CRASHING]) >= 3, "fewer than 3 engines crashed"
    late = fleet.late_arrivals(CRASHING, 3.0)
    assert len(late) <= most, (len(late), fleet.crashes)


@then("it is refused at once by every instance, with a retry delay of {most_s:d} s")
def step_refused_at_once(context, most_s):
    fleet = context.fleet_under_crash
    for instance in fleet.running_instances():
        began_s = fleet.clock()
        assert not fleet.send(CRASHING, instance)
        assert fleet.clock() == began_s, (
            "the refusal waited for an answer of another instance"
        )
    _, _, retry_after_s = fleet.refused[-1]
    assert most_s - 10 < retry_after_s <= most_s, retry_after_s


# Harmless requests.


@when("{count:d} engines crash one after the other while they start a harmless request")
def step_sequential_crashes(context, count):
    fleet = context.fleet_under_crash
    for _ in range(count):
        engine = next(e for e in fleet.engines if e.is_up)
        assert fleet.send("harmless", engine=engine)
        fleet.run(0.05)
        fleet.crash(engine)
        fleet.run(1.0)


@when("{count:d} engines crash at once while they start a harmless request")
def step_simultaneous_crashes(context, count):
    fleet = context.fleet_under_crash
    engines = fleet.rng.sample(fleet.engines, count)
    for engine in engines:
        assert fleet.send("harmless", engine=engine), fleet.refused
    fleet.run(0.05)
    for engine in engines:
        fleet.crash(engine)
    fleet.run(4.0)


@then("the harmless request is served when it is repeated")
def step_harmless_served(context):
    fleet = context.fleet_under_crash
    assert fleet.send("harmless"), fleet.refused
    fleet.run(3.0)
    assert "harmless" in {fingerprint for _, fingerprint in fleet.served}


@then("the harmless request is served within {within_s:d} seconds")
def step_harmless_served_within(context, within_s):
    fleet = context.fleet_under_crash
    end_s = fleet.clock() + within_s
    while fleet.clock() < end_s and not fleet.send("harmless"):
        fleet.run(1.0)
    fleet.run(3.0)
    assert "harmless" in {fingerprint for _, fingerprint in fleet.served}


@then("no instance suspects the harmless request any longer")
def step_cleared(context):
    fleet = context.fleet_under_crash
    fleet.run(4.0)
    for instance in fleet.running_instances():
        assert not instance.quarantine.suspects.is_suspected("harmless")
    kept = fleet.store.newest("keyed.kumquatseam.suspects").records
    assert [r.key for r in kept if r.value] in ([], [CRASHING]), kept


@when(
    "a harmless request has just started on each of the first {count:d} that it crashes"
)
def step_concurrent_harmless(context, count):
    fleet = context.fleet_under_crash
    for _ in range(count):
        engine = next(e for e in fleet.engines if e.is_up)
        assert fleet.send("harmless", engine=engine), fleet.refused
        fleet.run(0.01)
        fleet.send(CRASHING, engine=engine)
        fleet.run(SEND_INTERVAL_S)


@when(
    "a popular request runs on {count:d} engines that crash, and is served in between"
)
def step_popular_request(context, count):
    fleet = context.fleet_under_crash
    for _ in range(count):
        engine = next(e for e in fleet.engines if e.is_up)
        for _ in range(5):
            assert fleet.send("harmless", engine=engine), fleet.refused
        fleet.run(0.05)
        fleet.crash(engine)
        for _ in range(20):
            assert fleet.send("harmless"), fleet.refused
            fleet.run(0.1)
        fleet.run(2.0)


@then("the harmless request was never refused")
def step_never_refused(context):
    fleet = context.fleet_under_crash
    refused = [entry for entry in fleet.refused if entry[1] == "harmless"]
    assert not refused, refused


# Cost.


@when("{count:d} requests each crash {crashes:d} engines")
def step_many_crashing_requests(context, count, crashes):
    fleet = context.fleet_under_crash
    for number in range(count):
        name = f"crashing-{number}"
        fleet.crashing.add(name)
        for _ in range(crashes):
            while not any(engine.is_up for engine in fleet.engines):
                fleet.run(0.5)
            fleet.send(name)
            fleet.run(0.2)


@then("a crash took at most {most:d} datagrams on average, none over {size:d} bytes")
def step_datagrams(context, most, size):
    fleet = context.fleet_under_crash
    crashes = sum(len(times) for times in fleet.crashes.values())
    assert fleet.net.sent / crashes <= most, fleet.net.sent / crashes
    assert fleet.net.max_bytes <= size, fleet.net.max_bytes


@then(
    "no instance lists more than {most:d} requests, nor the log service more than "
    "{most_kept:d}"
)
def step_bounded(context, most, most_kept):
    fleet = context.fleet_under_crash
    fleet.run(15.0)
    for instance in fleet.instances:
        assert len(instance.quarantine.suspects) <= most, len(
            instance.quarantine.suspects
        )
    kept = fleet.store.newest("keyed.kumquatseam.suspects").records
    assert sum(bool(r.value) for r in kept) <= most_kept, len(kept)


# Random exploration.


@given("a fleet of {count:d} with a crashing request, explored with seed {seed:d}")
def step_explored(context, count, seed):
    context.fleet_under_crash = QuarantineFleet(count, 12, seed)
    context.fleet_under_crash.crashing.add(CRASHING)


def _explore_step(fleet, number):
    """Apply one random event: a restart, a fault or a crash."""
    rng = fleet.rng
    event = rng.random()
    down = [instance for instance in fleet.instances if not instance.is_up]
    if event < 0.1 and len(fleet.running_instances()) > 2:
        fleet.restart([rng.choice(fleet.running_instances())])
    elif event < 0.14 and len(fleet.running_instances()) > 2:
        fleet.kill([rng.choice(fleet.running_instances())])
    elif event < 0.24 and down:
        fleet.restart([rng.choice(down)])
    elif event < 0.3:
        instance = rng.choice(fleet.instances)
        instance.faults.down = not instance.faults.down
    elif event < 0.36:
        fleet.net.loss = rng.choice((0.0, 0.02, 0.2))
        fleet.net.duplication = rng.choice((0.0, 0.1))
        fleet.notice_loss_ratio = rng.choice((0.0, 0.5))
    elif event < 0.4:
        up = [engine for engine in fleet.engines if engine.is_up]
        fleet.crash(rng.choice(up))
    fleet.send(f"harmless-{number}")


@when("it is sent repeatedly for {for_s:d} seconds during random events")
def step_explore(context, for_s):
    fleet = context.fleet_under_crash
    _repeat(fleet, for_s, lambda number: _explore_step(fleet, number))


@then("at most {most:d} of 100 harmless requests were refused")
def step_few_refused(context, most):
    fleet = context.fleet_under_crash
    refused = {f for _, f, _ in fleet.refused if f != CRASHING}
    asked = {f for f in fleet.arrivals if f != CRASHING} | refused
    assert len(refused) <= len(asked) * most / 100, (len(refused), len(asked))


@given("an instance that counts crashes")
def step_registry(context):
    context.clock = Clock()
    context.registry = CrashRegistry(SuspectList(context.clock), context.clock)


def _note_crash(context, fingerprint, engine):
    return context.registry.note_crashes(fingerprint, Crashes.single(engine, False))


@when(
    "an engine crashes under a request, and {after_s:d} seconds later one under "
    "another request"
)
def step_two_requests(context, after_s):
    _note_crash(context, "first", "e0")
    context.clock.sleep(after_s)
    _note_crash(context, "second", "e1")


@when(
    "the first crash is reported again {after_s:d} seconds later, and {more_s:d} "
    "seconds pass"
)
def step_reported_again(context, after_s, more_s):
    context.clock.sleep(after_s)
    _note_crash(context, "first", "e0")
    context.clock.sleep(more_s)


@when("another engine crashes under the first request")
def step_crashes_again(context):
    context.is_suspected = _note_crash(context, "first", "e2")


@then("the first request has one crash, and is not suspected")
def step_one_crash(context):
    assert context.registry.crashes("first").upstreams == ("e2",)
    assert not context.is_suspected
