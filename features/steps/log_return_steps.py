"""Steps for a log service restored from an older copy, in simulated time."""

import base64
import contextlib
import json
import random

import gevent
import urllib3
from behave import given, then, when
from feeds_steps import TOPIC, FeedWorld, ModelledInstance
from modelled_clock import Clock
from quarantine_world import single_instance_quarantine

from kumquatseam.feeds import TopicCopy
from kumquatseam.leases import DutyLease
from kumquatseam.logservice import (
    HttpLogService,
    KeyedReader,
    LogServiceError,
    era_of,
)
from kumquatseam.peers import INSTANCES_TOPIC, InstanceRecord, InstanceRegistry
from kumquatseam.platform._topics import OperatorListener, UpstreamListener
from kumquatseam.quarantine import SUSPECTS_TOPIC
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._messages import RECORD_CODEC, CrashRecord
from kumquatseam.routes import LiveRouteTable
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogFaults,
    LogStore,
    LogStoreLimits,
)
from kumquatseam.standins.logservice._framing import frame_slice
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

LEASE = "d"
LEASE_TOPIC = "kumquatseam.duty.d"
STEP_S = 0.05
#: records per page of a response.
PAGE_RECORDS = 500


class Contender:
    """A router that contends for the lease."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.faults = LogFaults()
        self.down_until_s = 0.0
        self.start()

    def start(self):
        log = InMemoryLogService(self.world.store, self.faults)
        self.lease = DutyLease(
            log,
            LEASE,
            f"r{self.number}",
            3.0,
            lambda: self.number,
            self.world.clock,
            lambda fence: self.world.broadcast(self, fence),
        )


class LeaseWorld:
    """Routers, the log and a record of who held the lease when."""

    def __init__(self, count):
        self.clock = Clock()
        limits = LogStoreLimits(appends_per_s=10_000)
        self.store = LogStore(limits, self.clock)
        self.tokens = []
        self.two_at_once = []
        self.held_steps = self.steps = 0
        self.holders = []
        self.draw = random.Random(0)
        self.routers = [Contender(self, n) for n in range(count)]

    def broadcast(self, sender, fence):
        for router in self.routers:
            # Half of the messages are lost.
            if router is not sender and self.draw.random() < 0.5:
                router.lease.note_other_holder(fence)

    def step(self):
        self.clock.now_s += STEP_S
        for router in self.routers:
            if router.down_until_s <= self.clock():
                router.lease.step()
        held = [r for r in self.routers if r.lease.fence is not None]
        if len(held) > 1:
            self.two_at_once.append((self.clock(), [r.number for r in held]))
        self.steps += 1
        self.held_steps += bool(held)
        for router in held:
            last = self.tokens[-1] if self.tokens else None
            if last is None or last != (router.number, router.lease.fence):
                self.tokens.append((router.number, router.lease.fence))

    def run(self, for_s):
        end_s = self.clock() + for_s
        while self.clock() < end_s:
            self.step()


@given("{count:d} routers that contend for a lease of 3 seconds")
def step_contend(context, count):
    context.leases = LeaseWorld(count)
    context.leases.run(5.0)
    assert context.leases.tokens


@when(
    "{for_s:d} seconds pass with restores of the log, network cuts and restarts, seed "
    "{seed:d}"
)
def step_explore(context, for_s, seed):
    world = context.leases
    draw = world.draw = random.Random(seed)
    end_s = world.clock() + for_s
    kept = world.store.copy_topics()
    while world.clock() < end_s:
        event = draw.choice(("copy", "restore", "cut", "restart", "noise", "heal"))
        router = draw.choice(world.routers)
        if event == "copy":
            kept = world.store.copy_topics()
        elif event == "restore":
            world.store.return_from(kept)
        elif event == "cut":
            router.faults.down = True
        elif event == "restart":
            router.start()
            router.down_until_s = world.clock() + draw.uniform(0.0, 2.0)
        elif event == "noise":
            with contextlib.suppress(LogServiceError):
                world.store.append("other", [b"x"])
        else:
            for other in world.routers:
                other.faults.down = False
        world.run(draw.uniform(0.1, 4.0))


@when("the log is restored from a copy 2 seconds old while one of them holds it")
def step_return_held(context):
    world = context.leases
    world.run(2.0)
    kept = world.store.copy_topics()
    world.run(2.0)
    world.store.return_from(kept)
    context.before = world.tokens[-1]
    steps, held = world.steps, world.held_steps
    world.run(10.0)
    context.is_always_held = world.steps - steps == world.held_steps - held


@then("the same router holds it throughout, with a higher token")
def step_same_holder(context):
    number, token = context.leases.tokens[-1]
    assert context.is_always_held
    assert number == context.before[0] and token > context.before[1]
    assert era_of(token) == era_of(context.before[1]) + 1


@when(
    "the log is restored from a copy 2 seconds old and others append {count:d} records"
)
def step_return_grown(context, count):
    world = context.leases
    kept = world.store.copy_topics()
    world.run(2.0)
    world.store.return_from(kept)
    # As of a router that no longer runs, with undecodable values.
    for _ in range(count):
        world.store.append(LEASE_TOPIC, [b"x"])
    world.run(20.0)


@then("no two routers ever held the lease at once")
def step_one_holder(context):
    assert not context.leases.two_at_once, context.leases.two_at_once[:5]


@then("each holder's token was above all earlier tokens")
def step_tokens_rise(context):
    tokens = [token for _, token in context.leases.tokens]
    assert len(tokens) > 2
    assert tokens == sorted(set(tokens)), tokens


@then("the lease was held for at least {share:g} of the time")
def step_held_share(context, share):
    world = context.leases
    assert world.held_steps / world.steps >= share, world.held_steps / world.steps


# Topics.


@given("3 instances that follow a topic of the log together")
def step_follow(context):
    world = context.feed = FeedWorld()
    world.instances = [ModelledInstance(world, f"i{n}") for n in range(3)]
    log = InMemoryLogService(world.store)
    for number in range(5):
        log.append_keyed(TOPIC, f"k{number}", b"first")
    _run_feed(world, 5.0)


def _run_feed(world, for_s):
    end_s = world.clock() + for_s
    while world.clock() < end_s:
        world.clock.now_s += STEP_S
        for instance in world.instances:
            instance.step()


@when("one of them is cut off from the log")
def step_cut_one(context):
    context.feed.instances[1].log.faults.down = True


@when('the value "lost" is written, read by all and lost in a restore from a copy')
def step_lost(context):
    world = context.feed
    kept = world.store.copy_topics()
    log = InMemoryLogService(world.store)
    for key in ("k1", "only"):
        log.append_keyed(TOPIC, key, b"lost")
    _run_feed(world, 4.0)
    assert all(i.listener.values.get("only") == b"lost" for i in world.instances)
    world.store.return_from(kept)


@when(
    'the value "new" is written under other keys until the end offset is past the old '
    "one"
)
def step_new(context):
    world = context.feed
    log = InMemoryLogService(world.store)
    for number in range(6):
        log.append_keyed(TOPIC, f"new{number}", b"new")
    _run_feed(world, 8.0)


@then("the copies of all instances equal the log")
def step_equal(context):
    world = context.feed
    page = InMemoryLogService(world.store).newest(TOPIC)
    expected = {record.key: record.value for record in page.records}
    for instance in world.instances:
        found = {k: v for k, v in instance.listener.values.items() if v}
        assert found == expected, (instance.name, found, expected)
        assert instance.watch.copy.next_offset == page.end_offset


# Listeners.


class SingleInstance:
    """An instance that follows one topic without peers."""

    def __init__(self, topic, listener):
        self.clock = Clock()
        self.store = LogStore(LogStoreLimits(), self.clock)
        self.log = InMemoryLogService(self.store)
        self.topic = topic
        self.copy = TopicCopy(listener, self.clock)
        self.reader = KeyedReader(self.log, topic)

    def write(self, key, value):
        self.log.append_keyed(self.topic, key, value)

    def read(self):
        self.copy.apply(self.reader.read(self.copy.next_offset))


def _configuration(version):
    return b'{"version": %d, "routes": [], "services": []}' % version


@given("an instance with configuration 7 in force, read from the log")
def step_in_force(context):
    context.live = LiveRouteTable()
    listener = OperatorListener(context.live, WeightsTargets())
    instance = context.instance = SingleInstance("keyed.op", listener)
    instance.write("config", _configuration(4))
    context.kept = instance.store.copy_topics()
    instance.write("config", _configuration(7))
    instance.read()
    assert context.live.current.version == 7


@when("the log is restored from a copy that holds configuration 4")
def step_return_old(context):
    context.instance.store.return_from(context.kept)
    context.instance.read()


@then("configuration 7 stays in force, and others receive configuration 7")
def step_stays(context):
    assert context.live.current.version == 7
    (change,) = context.instance.copy.snapshot().changes
    assert change.value == _configuration(7), change


@when("configuration 9 is written")
def step_written(context):
    context.instance.write("config", _configuration(9))
    context.instance.read()


@then("configuration 9 is in force")
def step_nine(context):
    assert context.live.current.version == 9
    (change,) = context.instance.copy.snapshot().changes
    assert change.value == _configuration(9), change


ENTRY = (
    b'{"service": "s", "address": "10.0.0.1:80", "zone": "z", "version": "1",'
    b' "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1}'
)


@given("an instance that read an upstream from the log")
def step_upstream(context):
    directory = UpstreamDirectory(Clock())
    instance = context.instance = SingleInstance(
        "keyed.servers", UpstreamListener(directory)
    )
    directory._clock = instance.clock
    context.directory = directory
    context.kept = instance.store.copy_topics()
    instance.write("u1", ENTRY)
    instance.read()
    assert len(directory.all()) == 1


@when("the log is restored from a copy without its entry")
@when("the log is restored from a copy without its record")
def step_return_without(context):
    context.instance.store.return_from(context.kept)
    context.instance.read()


@then("the upstream whose entry is lost still accepts requests")
def step_still(context):
    (status,) = context.directory.all()
    assert not status.upstream.is_leaving


@when("its entry is not written again within 3 seconds")
def step_not_back(context):
    context.instance.clock.now_s += 3.0
    context.directory.sweep()


@then("the upstream whose entry is lost is removed")
def step_gone(context):
    assert not context.directory.all()


@given("an instance that read a suspected request from the log")
def step_suspect(context):
    quarantine = single_instance_quarantine()
    instance = context.instance = SingleInstance(SUSPECTS_TOPIC, quarantine.suspects)
    context.suspects = quarantine.suspects
    context.kept = instance.store.copy_topics()
    record = RECORD_CODEC.encode(CrashRecord(Crashes(("e1", "e2", "e3"))))
    instance.write("f1", record)
    instance.read()
    assert not context.suspects.unwritten()


@then("the request is still suspected and its record has to be written again")
def step_suspected(context):
    assert context.suspects.is_suspected("f1")
    assert context.suspects.unwritten() == ["f1"]


class SingleInstanceBus:
    """A bus of one instance."""

    def add(self, record):
        pass

    def remove(self, name):
        raise AssertionError(f"{name} was removed from the bus")


@given("an instance that is registered in the log")
def step_registered(context):
    record = InstanceRecord("me", "10.0.0.9:1")
    instance = context.instance = SingleInstance(INSTANCES_TOPIC, None)
    context.registry = InstanceRegistry(instance.log, SingleInstanceBus(), record)
    instance.copy = TopicCopy(context.registry, instance.clock)
    context.kept = instance.store.copy_topics()
    context.registry.start()
    gevent.sleep(0.01)
    instance.read()
    assert instance.copy.snapshot().changes


@then("its record is in the log again")
def step_again(context):
    gevent.sleep(0.01)
    context.registry.close()
    page = context.instance.log.newest(INSTANCES_TOPIC)
    assert [record.key for record in page.records] == ["me"]


# The client of the log service.


class PagedResponses(HttpLogService):
    """Responds as the log service does, one page at a time.

    :param store: holds the records.
    :param after_page: called after the first page.
    """

    def __init__(self, store, after_page=lambda: None):
        super().__init__("http://unused")
        self.store = store
        self.after_page = after_page
        self.pages = 0

    def _call(self, method, path, fields, topic, body=None, extra_s=0.0):
        era = {"Store-Era": str(self.store.era)}
        if path == "/log-read":
            return urllib3.HTTPResponse(frame_slice(0, 0, []), era)
        found = self.store.newest(topic)
        left = [r for r in found.records if r.key > fields.get("after", "")]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in left[:PAGE_RECORDS]
        ]
        has_more = len(left) > PAGE_RECORDS
        page = {"items": items, "hasMore": has_more, "end": found.end_offset}
        self.pages += 1
        if self.pages == 1:
            self.after_page()
        return urllib3.HTTPResponse(json.dumps(page).encode(), era)


@given(
    "a log service holding {count:d} records that is restored from a copy between pages"
)
def step_two_pages(context, count):
    store = LogStore(LogStoreLimits(appends_per_s=10_000))
    log = InMemoryLogService(store)
    for number in range(count):
        log.append_keyed(TOPIC, f"k{number:04}", b"kept")
    kept = store.copy_topics()
    for number in range(count):
        log.append_keyed(TOPIC, f"k{number:04}", b"lost")
    context.log = PagedResponses(store, lambda: store.return_from(kept))


@then("the result is the content of the copy, {count:d} records")
def step_copy_read(context, count):
    page = context.log.newest(TOPIC)
    assert len(page.records) == count, len(page.records)
    assert {record.value for record in page.records} == {b"kept"}
    assert era_of(page.end_offset) == 1


@given('a log service that responds with the era "{text}"')
def step_bad_era(context, text):
    store = LogStore(LogStoreLimits())
    store.era = text
    context.log = PagedResponses(store)


@then('a read fails with "{words}"')
def step_read_fails(context, words):
    try:
        context.log.read(TOPIC, 0)
        found = ""
    except LogServiceError as error:
        found = str(error)
    assert words in found, found
