"""Steps for the origins of streams, in modelled fleets."""

import sys
import time

from behave import given, then, when
from origins_world import TEAM, ModelledStream, OriginFleet

from kumquatseam.codec import merge_kinds
from kumquatseam.errors import CodecError
from kumquatseam.origins._messages import OriginNotice
from kumquatseam.origins.keys import stream_key
from kumquatseam.trackers._messages import WorkBegan
from kumquatseam.upstreams import ServiceVersion

#: how long after a stream was broken off its caller comes back.
COMES_BACK_S = 0.05
#: an instance is in touch if nothing happened to it for this long.
IN_TOUCH_S = 1.0


@given("a modelled fleet of {count:d} instances")
def step_fleet(context, count):
    context.origin_fleets = [OriginFleet(count)]
    context.origin_fleet = context.origin_fleets[0]


@when(
    "{count:d} streams begin, each instance that began one ends, and they are taken up"
)
def step_ended(context, count):
    fleet = context.origin_fleet
    for _ in range(count):
        stream = fleet.begin()
        fleet.run(0.005)
        begun_at = next(i for i in fleet.up() if i.record.name == stream.begun_at)
        begun_at.is_up = False
        fleet.run(COMES_BACK_S)
        fleet.take_up(stream)
        fleet.run(0.2)
        # A new process at the same address.
        fleet.net.endpoints[begun_at.record.address] = begun_at
        begun_at.start()


@when(
    "{count:d} streams begin, half of the instances are killed, and they are taken up"
)
def step_half_killed(context, count):
    fleet = context.origin_fleet
    for _ in range(count):
        fleet.begin()
    fleet.run(0.01)
    for instance in fleet.draw.sample(fleet.instances, len(fleet.instances) // 2):
        instance.is_up = False
    for stream in fleet.streams:
        fleet.take_up(stream)
        fleet.run(0.02)
    fleet.run(0.2)


@when(
    "modelled fleets of {count:d} instances with seeds {first:d} to {last:d} meet "
    "random troubles"
)
def step_random(context, count, first, last):
    context.origin_fleets = [
        OriginFleet(count, seed) for seed in range(first, last + 1)
    ]
    for fleet in context.origin_fleets:
        meet_troubles(fleet)


def meet_troubles(fleet, for_s=12.0):
    """Begin streams and take them up while troubles come and go."""
    draw, net = fleet.draw, fleet.net
    net.loss, net.duplication = 0.01, 0.01
    troubled_s = {}
    end_s = fleet.clock() + for_s
    while fleet.clock() < end_s:
        fleet.run(draw.uniform(0.005, 0.03))
        if draw.random() < 0.05:
            instance = draw.choice(fleet.instances)
            trouble(fleet, instance)
            troubled_s[instance.record.name] = fleet.clock()
        stream = fleet.begin()
        net.call_later(draw.uniform(0.02, 1.5), come_back, fleet, stream, troubled_s)
    fleet.run(2.0)


def trouble(fleet, instance):
    """Make an instance fail in one way, and bring it back a little later."""
    draw, net = fleet.draw, fleet.net
    address = instance.record.address
    kind = draw.choice(("kill", "cut", "slow"))
    if kind == "kill" and instance.is_up and len(fleet.up()) > 3:
        instance.is_up = False
        net.call_later(draw.uniform(0.3, 1.0), instance.start)
    elif kind == "cut":
        net.unreachable.add(address)
        net.call_later(draw.uniform(0.3, 1.5), net.unreachable.discard, address)
    elif kind == "slow":
        net.extra_delay_s[address] = draw.uniform(0.05, 0.5)
        net.call_later(draw.uniform(0.3, 1.5), net.extra_delay_s.pop, address, None)


def come_back(fleet, stream, troubled_s):
    """Take a stream up elsewhere; note whether those who know it were in touch."""
    others = [i for i in fleet.up() if i.record.name != stream.begun_at]
    instance = fleet.draw.choice(others)
    since_s = fleet.clock() - 1.6 - IN_TOUCH_S
    names = {instance.record.name, stream.begun_at}
    stream.is_in_touch = all(troubled_s.get(n, -1.0) < since_s for n in names)
    fleet.take_up(stream, instance)


@then("every origin found is right")
def step_right(context):
    taken = [s for f in context.origin_fleets for s in f.streams if s.found is not None]
    wrong = [s for s in taken if s.found.origin not in (None, s.origin)]
    assert taken and not wrong, f"{len(wrong)} of {len(taken)}: {wrong[:3]}"


@then("at least {share:g} of the origins are found, each within {took_s:g} seconds")
def step_found(context, share, took_s):
    streams = context.origin_fleet.streams
    found = [s for s in streams if s.found is not None and s.found.origin]
    assert len(found) >= share * len(streams), (len(found), len(streams))
    late = [s for s in streams if s.took_s > took_s]
    assert not late, (len(late), max(s.took_s for s in late))


@then("of the streams begun and taken up in touch at least {share:g} are found")
def step_in_touch_found(context, share):
    taken = [
        s
        for f in context.origin_fleets
        for s in f.streams
        if s.found is not None and s.is_in_touch
    ]
    found = sum(s.found.origin is not None for s in taken)
    assert found >= share * len(taken), f"{found} of {len(taken)}"


@when("a stream begins, its owners start again, and its origin is told again")
def step_owners_restart(context):
    fleet = context.origin_fleet
    stream = fleet.begin()
    fleet.run(0.05)
    owners = fleet.owners_of(stream)
    begun_at = next(i for i in fleet.instances if i.record.name == stream.begun_at)
    for owner in owners:
        if owner is not begun_at:
            owner.start()
    begun_at.origins.note(stream.key, stream.origin, 10.0)
    fleet.run(0.05)


@then("its origin is found at every instance")
def step_found_everywhere(context):
    fleet = context.origin_fleet
    (stream,) = fleet.streams
    for instance in fleet.instances:
        fleet.take_up(stream, instance)
        fleet.run(0.2)
        assert stream.found.origin == stream.origin, (instance.record, stream)


@when(
    "each instance begins {rate:d} streams a second for {for_s:d} seconds, of which "
    "one in {every:d} is taken up"
)
def step_rate(context, rate, for_s, every):
    fleet = context.origin_fleet
    fleet.net.sent = 0
    context.for_s = for_s
    context.most_kept = context.noting_s = 0.0
    count = len(fleet.instances)
    steps = 100
    for step in range(steps):
        share = rate * for_s / steps
        for instance in fleet.instances:
            for _ in range(round(share)):
                started_s = time.process_time()
                stream = fleet.begin(instance)
                context.noting_s += time.process_time() - started_s
                if len(fleet.streams) % every == 0:
                    fleet.take_up(stream)
        fleet.run(for_s / steps)
        if step % 10 == 0:
            for instance in fleet.instances:
                instance.origins.sweep()
        kept = sum(len(i.origins.table) for i in fleet.instances) / count
        context.most_kept = max(context.most_kept, kept)
    context.largest = max(fleet.instances, key=lambda i: len(i.origins.table))


@then(
    "an instance sends and receives at most {datagrams:d} datagrams and {size:d} bytes "
    "a second"
)
def step_traffic(context, datagrams, size):
    fleet = context.origin_fleet
    sent = 2 * fleet.net.sent / len(fleet.instances) / context.for_s
    total = fleet.bytes_per_instance() / context.for_s
    print(f"{len(fleet.instances)} instances: {sent:.0f} datagrams, {total:.0f} B a s")
    assert sent <= datagrams and total <= size, (sent, total)


@then("it keeps at most {count:d} origins, in at most {size:d} megabyte")
def step_kept(context, count, size):
    kept = context.largest.origins.table._kept
    size_bytes = sys.getsizeof(kept) + sum(
        sys.getsizeof(key)
        + sys.getsizeof(value)
        + sys.getsizeof(value.since_s) * 2
        + (sys.getsizeof(value.origin) if value.origin is not None else 0)
        for key, value in kept.items()
    )
    print(f"mean {context.most_kept:.0f}, {size_bytes / max(1, len(kept)):.0f} B each")
    assert context.most_kept <= count, context.most_kept
    assert size_bytes <= size * 1_000_000, size_bytes


@then(
    "noting an origin takes at most {ms:g} millisecond of its processor time on average"
)
def step_noting(context, ms):
    mean_ms = context.noting_s / len(context.origin_fleet.streams) * 1000
    print(f"{mean_ms:.3f} ms to note an origin")
    assert mean_ms <= ms, mean_ms


@when("{count:d} streams begin and {for_s:d} seconds pass")
def step_pass(context, count, for_s):
    for _ in range(count):
        context.origin_fleet.begin()
    context.origin_fleet.run(for_s)
    for instance in context.origin_fleet.instances:
        instance.origins.sweep()


@when("{count:d} streams begin")
def step_begin(context, count):
    for _ in range(count):
        context.origin_fleet.begin()


@then("no instance keeps any origin")
def step_empty(context):
    assert [len(i.origins.table) for i in context.origin_fleet.instances] == [0] * 7


@when('a stream of team "{team}" is taken up by team "{other}"')
def step_foreign(context, team, other):
    fleet = context.origin_fleet
    stream = fleet.begin()
    assert stream.key == stream_key(team, "s0") and team == TEAM
    fleet.run(0.05)
    foreign = ModelledStream(stream_key(other, "s0"), stream.origin, stream.begun_at)
    fleet.take_up(foreign)
    fleet.run(0.2)
    context.foreign = foreign


@then("no origin is found, and all owners replied")
def step_unknown(context):
    found = context.foreign.found
    assert found.origin is None and found.is_complete, found


@when('two streams with the same id begin at versions "{one}" and "{other}"')
def step_same_id(context, one, other):
    fleet = context.origin_fleet
    stream = fleet.begin(version=one)
    fleet.run(0.05)
    instance = next(i for i in fleet.instances if i.record.name != stream.begun_at)
    instance.origins.note(stream.key, ServiceVersion("engines", other), 10.0)
    fleet.run(0.05)
    context.beginners = {stream.begun_at, instance.record.name}


@then("no origin is found at any instance")
def step_ambiguous(context):
    fleet = context.origin_fleet
    (stream,) = fleet.streams
    for instance in fleet.instances:
        if instance.record.name in context.beginners:
            continue
        fleet.take_up(stream, instance)
        fleet.run(0.2)
        assert stream.found.origin is None, (instance.record, stream.found)


@when("a stream begins, the links of its owners are cut, and it is taken up")
def step_cut_owners(context):
    fleet = context.origin_fleet
    stream = fleet.begin()
    fleet.run(0.05)
    owners = fleet.owners_of(stream)
    fleet.net.unreachable.update(o.record.address for o in owners)
    names = {stream.begun_at, *(o.record.name for o in owners)}
    instance = next(i for i in fleet.instances if i.record.name not in names)
    fleet.take_up(stream, instance)
    fleet.run(0.3)
    context.foreign = stream


@then("no origin is found, and it is known that not all owners replied")
def step_incomplete(context):
    found = context.foreign.found
    assert found.origin is None and not found.is_complete, found


@then("the owners of each are in {count:d} zones")
def step_zones(context, count):
    fleet = context.origin_fleet
    for stream in fleet.streams:
        zones = {owner.record.zone for owner in fleet.owners_of(stream)}
        assert len(zones) == count, zones


@when("one instance begins {count:d} streams at once")
def step_flood(context, count):
    fleet = context.origin_fleet
    for _ in range(count):
        fleet.begin(fleet.instances[0], keep_s=60.0)
    fleet.run(0.1)


@then("no instance keeps more than {count:d} origins")
def step_bounded(context, count):
    kept = [len(i.origins.table) for i in context.origin_fleet.instances]
    assert max(kept) == count, kept


@then("the origins of the newest {count:d} are found")
def step_newest(context, count):
    fleet = context.origin_fleet
    for stream in fleet.streams[-count:]:
        fleet.take_up(stream, fleet.instances[1])
        fleet.run(0.01)
        assert stream.found.origin == stream.origin, stream


@when("the messages of two packages with a kind in common are merged")
def step_merge(context):
    try:
        merge_kinds({"origin": OriginFleet}, {"origin": ModelledStream})
    except CodecError as error:
        context.error = str(error)


@then("that is an error that names both classes")
def step_merge_error(context):
    assert "OriginFleet and ModelledStream" in context.error, context.error


@then(
    "the gateway's datagrams, among them those about origins and about work, can be "
    "encoded"
)
def step_all_kinds(context):
    from kumquatseam.gateway.wiring import DATAGRAM_KINDS

    assert {OriginNotice, WorkBegan} <= set(DATAGRAM_KINDS.values())
