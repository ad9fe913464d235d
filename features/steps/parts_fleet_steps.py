"""Steps for parts of prompts that crash engines, in modelled time."""

from behave import given, then, when
from parts_fleet import FIRST_PARTS, PartsFleet

ENGINES = 16
SOUND_PER_S = 24.0
#: time after which sound requests have to be served again: the users' rule.
SETTLED_S = 6.0


@given(
    "{count:d} instances before engines that crash under a part of the prompt "
    "{share:g} of the times"
)
def step_fleet(context, count, share):
    context.parts_fleet = PartsFleet(count, ENGINES, share=share)


@given("{count:d} instances before engines, explored with seed {seed:d}")
def step_explored(context, count, seed):
    context.parts_fleet = PartsFleet(count, ENGINES, seed)


@when(
    "for {for_s:d} seconds {per_s:g} requests a second have that part, {place}, beside "
    "sound ones"
)
def step_offer(context, for_s, per_s, place):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, for_s)
    fleet.offer_bad(per_s, for_s, place, "bad")
    fleet.run(for_s)


@when(
    "for {for_s:d} seconds {per_s:g} requests a second have one of two such parts, "
    "{place}, beside sound ones"
)
def step_offer_two(context, for_s, per_s, place):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, for_s)
    fleet.offer_bad(per_s / 2, for_s, place, "bad")
    fleet.offer_bad(per_s / 2, for_s, place, "worse")
    fleet.run(for_s)


@when(
    "for {for_s:d} seconds {per_s:g} requests a second of callers who leave have that "
    "part, {place}, beside sound ones"
)
def step_offer_leaving(context, for_s, per_s, place):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, for_s)
    fleet.offer_bad(per_s, for_s, place, "bad", leaves=True)
    fleet.run(for_s)


@when("for {for_s:d} seconds sound requests come alone")
def step_sound(context, for_s):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, for_s)
    fleet.run(for_s)


@when(
    "for {for_s:d} seconds sound requests come, and an engine crashes every "
    "{every_s:g} seconds of something else"
)
def step_background(context, for_s, every_s):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, for_s)
    end_s = fleet.clock() + for_s
    while fleet.clock() < end_s:
        fleet.run(every_s)
        up = [e for e in fleet.engines if e.is_up]
        fleet.crash(fleet.rng.choice(up))


@when("{count:d} engines lose power at once, {rounds:d} times")
def step_rack(context, count, rounds):
    fleet = context.parts_fleet
    fleet.offer_sound(SOUND_PER_S, 8.0 * rounds)
    context.began_s = fleet.clock()
    for _ in range(rounds):
        fleet.run(3.0)
        up = [e for e in fleet.engines if e.is_up]
        for engine in fleet.rng.sample(up, min(count, len(up))):
            fleet.crash(engine)
        fleet.run(5.0)


@when("after {crashes:d} crashes {fault}")
def step_fault(context, crashes, fault):
    """Schedule a fault; the requests come afterwards."""
    fleet = context.parts_fleet

    def check():
        if len(fleet.part_crashes_s) < crashes:
            fleet.net.call_later(0.02, check)
        elif fault == "all instances are killed at once and restarted":
            fleet.kill(fleet.instances)
            fleet.net.call_later(0.5, fleet.restart, fleet.instances)
        elif fault == "a third of the instances are killed":
            fleet.kill(fleet.instances[::3])
        elif fault == "no instance can reach the log service":
            for instance in fleet.instances:
                instance.faults.down = True
        elif fault == "one message in 10 is lost, and half of the broadcasts":
            fleet.net.loss = 0.1
            fleet.notice_loss_ratio = 0.5
        else:
            raise AssertionError(f"unknown fault {fault!r}")

    check()


@when("a rare part is in three crashes that it did not cause, one of them on trial")
def step_wrongly_held(context):
    fleet = context.parts_fleet
    for _ in range(8):
        if fleet.send_parts(("a0", "rare")).outcome == "refused":
            break
        (engine,) = [e for e in fleet.engines if any(r.sent for r in e.runs)]
        fleet.run(0.05)
        fleet.crash(engine)
        fleet.run(1.5)
    else:
        raise AssertionError("the part was never held")


@then("a request with the rare part is served within {most_s:d} seconds")
def step_released(context, most_s):
    fleet = context.parts_fleet
    end_s = fleet.clock() + most_s
    while fleet.clock() < end_s:
        sent = fleet.send_parts(("a1", "rare"))
        fleet.run(2.0)
        if sent.outcome == "served":
            return
    raise AssertionError("it was refused all the time")


@then("all requests with the rare part are served {within_s:d} seconds later")
def step_all_released(context, within_s):
    fleet = context.parts_fleet
    for _ in range(within_s):
        fleet.send_parts(("a2", "rare"))
        fleet.run(1.0)
    sent = [fleet.send_parts(("a3", "rare")) for _ in range(5)]
    fleet.run(2.0)
    assert {s.outcome for s in sent} == {"served"}, sent


@then("at most {most:d} with the part reached an engine late")
def step_late(context, most):
    fleet = context.parts_fleet
    assert len(fleet.part_crashes_s) >= 5, fleet.part_crashes_s
    late = fleet.late_part_arrivals()
    crashes = len(fleet.part_crashes_s)
    assert len(late) <= most, (len(late), crashes, len(fleet.part_arrivals_s))


@then("at most {most:d} engines crashed under the part")
def step_crashes(context, most):
    crashes = len(context.parts_fleet.part_crashes_s)
    assert crashes <= most, crashes


@then("sound requests are served as before from 6 seconds after the fifth crash on")
def step_sound_served(context):
    fleet = context.parts_fleet
    fleet.run(3.0)
    since_s = fleet.part_crashes_s[4] + SETTLED_S
    _check_sound(fleet.sound_since(since_s), 0.97)


@then("at most {most:d} in 100 sound requests were refused")
def step_few_refused(context, most):
    sound = context.parts_fleet.sound_since(0.0)
    refused = [s for s in sound if s.outcome == "refused"]
    assert len(refused) <= len(sound) * most / 100, (len(refused), len(sound))


def _check_sound(sound, least_share):
    assert len(sound) >= 20, len(sound)
    for first in FIRST_PARTS:
        own = [s.outcome for s in sound if s.parts[0] == first]
        assert own.count("served") >= least_share * len(own), (first, own)


@then("no message was sent for it")
def step_no_messages(context):
    fleet = context.parts_fleet
    assert fleet.net.sent == 0, fleet.net.sent


@then("a crash took at most {most:d} datagrams, none over {size:d} bytes")
def step_datagrams(context, most, size):
    fleet = context.parts_fleet
    crashes = len(fleet.part_crashes_s)
    assert fleet.net.sent / crashes <= most, fleet.net.sent / crashes
    assert fleet.net.max_bytes <= size, fleet.net.max_bytes
