"""Steps for brittle upstreams in front of a simulated fleet."""

from behave import given, then, when
from brittle_world import BrittleFleet, Share

#: traffic before the upstreams say that they are brittle, in seconds.
BEFORE_S = 1.0
#: from this long after that on their falls count, and fewer requests may wait.
SETTLED_S = 3.0
#: part of the run, at its end, in which what is served is counted.
COUNTED_S = 3.0


@given(
    "{count:d} instances in front of {upstreams:d} brittle upstreams with {slots:d} "
    "slots"
)
def step_fleet(context, count, upstreams, slots):
    context.brittle_fleet = BrittleFleet(count, upstreams, slots)


def _begin(context, load, for_s, refusals, queue, burst_s=0.0):
    fleet = context.brittle_fleet
    context.offered_per_s = load * fleet.can_do_per_s
    context.can_do_per_s = min(context.offered_per_s, fleet.can_do_per_s)
    if burst_s:
        fleet.offer_bursts(context.offered_per_s, BEFORE_S + for_s, burst_s)
    else:
        fleet.offer(context.offered_per_s, BEFORE_S + for_s)
    context.end_s = fleet.clock() + BEFORE_S + for_s
    fleet.run(BEFORE_S)
    fleet.say(refusals)
    context.said_s = fleet.clock()
    fleet.run(SETTLED_S)
    fleet.settle(queue)


@when(
    "{load:g} times what they can do comes for {for_s:g} seconds, and they bear "
    "{refusals:d} rejections a second, with {queue:d} more waiting"
)
def step_load(context, load, for_s, refusals, queue):
    _begin(context, load, for_s, refusals, queue)


@when(
    "{load:g} times what they can do comes for {for_s:g} seconds, in bursts of "
    "{burst_s:g} s, and they bear {refusals:d} rejections a second, with {queue:d} "
    "more waiting"
)
def step_bursts(context, load, for_s, burst_s, refusals, queue):
    _begin(context, load, for_s, refusals, queue, burst_s)


@when("they all end at once after {after_s:g} more seconds")
def step_end_all(context, after_s):
    fleet = context.brittle_fleet
    fleet.run(after_s)
    fleet.end_all()
    # Nobody's fault, and counted in none of the bounds.
    fleet.fall_times_s.clear()


@when("{fault} {after_s:g} seconds later, for {for_s:g} seconds")
def step_fault(context, after_s, fault, for_s):
    fleet = context.brittle_fleet
    fleet.run(after_s)
    first, second, _ = fleet.owners_of(next(iter(fleet.engines)))
    instances = list(fleet.instances.values())
    if fault == "an owner of its places is killed":
        fleet.crash(first, for_s, 0.3)
    elif fault == "two owners of its places are killed":
        fleet.crash(first, for_s, 0.3)
        fleet.crash(second, for_s, 0.3)
    elif fault == "an owner of its places is cut off":
        fleet.cut(first, "alone", for_s)
    elif fault == "a third of the instances are killed":
        for instance in instances[::3]:
            fleet.crash(instance, for_s, 0.3)
    elif fault == "half of the instances are cut off from the others":
        for instance in instances[::2]:
            fleet.cut(instance, "half", for_s)
    elif fault == "all instances are killed":
        for instance in instances:
            fleet.crash(instance, for_s, 0.3)
    else:
        raise AssertionError(f"unknown fault {fault!r}")


def _finish(context):
    fleet = context.brittle_fleet
    fleet.run(max(0.0, context.end_s + 3.0 - fleet.clock()))
    return fleet


@then("at most {count:d} of the upstreams fell over")
def step_falls(context, count):
    fleet = _finish(context)
    falls = [round(at_s - context.said_s, 2) for at_s in fleet.fall_times_s]
    assert len(falls) <= count, falls


@then("in the last seconds they served at least {share:g} of what they can do")
def step_used(context, share):
    fleet = _finish(context)
    from_s = context.end_s - COUNTED_S
    requests = [r for r in fleet.requests if from_s <= r.at_s < context.end_s]
    found = Share.of(requests)
    can_do = context.can_do_per_s * COUNTED_S
    assert found.served >= share * can_do, (found.served / can_do, len(requests))


@then("who was turned away was told so within {most_s:g} s")
def step_refused(context, most_s):
    fleet = _finish(context)
    requests = [r for r in fleet.requests if r.at_s >= context.said_s + SETTLED_S]
    assert Share.of(requests).slowest_refusal_s <= most_s, Share.of(requests)


@then("the busiest instance sent and received at most {most_kb:g} kB a second for that")
def step_busiest(context, most_kb):
    fleet = _finish(context)
    for_s = context.end_s - context.said_s + BEFORE_S
    busiest_kb = max(fleet.net.bytes_by_address.values()) / for_s / 1000
    assert busiest_kb <= most_kb, busiest_kb
