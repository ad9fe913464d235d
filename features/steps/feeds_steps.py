"""Steps for topics that instances follow together, in simulated time."""

import random

import attrs
from behave import given, then, when
from modelled_clock import Clock
from platform_steps import step_plain_gateway
from platform_world import wait_until

from kumquatseam.bench import free_port
from kumquatseam.codec import MessageCodec
from kumquatseam.feeds import (
    FeedPeers,
    ReadPace,
    TopicCopy,
    TopicFollower,
    TopicUpdate,
)
from kumquatseam.logservice import (
    KeyedBatch,
    KeyedChange,
    KeyedListener,
    LogServiceError,
)
from kumquatseam.peers import FleetView, InstanceRecord, PeerLiveness, order_key
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogFaults,
    LogStore,
    LogStoreLimits,
)
from kumquatseam.upstreams import Upstream, UpstreamDirectory

TOPIC = "keyed.test"
PACE = ReadPace(wait_s=0.0, pause_s=0.4, stale_after_s=1.1)
STEP_S = 0.05
CODEC = MessageCodec("update", {"topic": TopicUpdate}, is_compact=True)


class Values(KeyedListener):
    """Records the values; one that ends in a dot counts as without effect."""

    def __init__(self):
        self.values = {}

    def apply(self, key, value, change_context):
        self.values[key] = value
        return not value.endswith(b".")


class CountingLog(InMemoryLogService):
    """One instance's access to the log, with a count of calls."""

    def __init__(self, world):
        super().__init__(world.store, LogFaults())
        self.world = world

    def _enter(self):
        self.world.calls += 1
        if self.world.is_down:
            self.faults.down = True
        super()._enter()


class ModelledInstance:
    """An instance whose topic follower runs in simulated time."""

    def __init__(self, world, name, link_mbps=0.0):
        self.world = world
        self.name = name
        self.link_mbps = link_mbps
        self.log = CountingLog(world)
        self.is_frozen = False
        self.is_cut = False
        self.restart()

    def restart(self):
        self.listener = Values()
        peers = FeedPeers(
            self.name,
            lambda: self._view().preceding(),
            lambda: self._view().position,
            self._publish,
            self._query,
        )
        self.watch = TopicFollower(
            self.log, TOPIC, self.listener, PACE, peers, self.world.clock
        )
        self.next_s = self.world.clock() + random.Random(self.name).random() * 0.3

    def _view(self):
        records = [
            InstanceRecord(i.name, "a:1", link_mbps=i.link_mbps)
            for i in self.world.instances
        ]
        away = {i.name for i in self.world.instances if i.is_frozen or i.is_cut}
        return FleetView(
            sorted(records, key=order_key),
            self.name,
            lambda name: PeerLiveness.AWAY if name in away else PeerLiveness.ALIVE,
        )

    def _publish(self, update):
        self.world.publish(self, CODEC.encode(update))

    def _query(self, known_offset):
        for other in self.world.instances:
            if other is not self and not (other.is_cut or other.is_frozen):
                batch = other.watch.copy.snapshot()
                if batch is not None and batch.next_offset > known_offset:
                    return batch, other.watch.copy.age_s()
        return None

    def step(self):
        """Do what the loop of the follower does, without sleeping."""
        if self.is_frozen or self.world.clock() < self.next_s:
            return
        watch = self.watch
        if not watch.should_read():
            self.next_s = self.world.clock() + 0.1
            return
        try:
            watch.read()
            pause_s = PACE.pause_s if watch.is_reader else 0.1
        except LogServiceError as error:
            pause_s = watch.note_failure(error)
            watch.fetch_from_peer()
        self.next_s = self.world.clock() + pause_s


class FeedWorld:
    """Instances that use one log."""

    def __init__(self):
        self.clock = Clock()
        self.store = LogStore(LogStoreLimits(), self.clock)
        self.instances = []
        self.calls = 0
        self.is_down = False
        self.sent = []
        self.lose_next_to = None
        self.written = 0
        self.newest = b""

    def publish(self, sender, data):
        if sender.is_cut:
            return
        self.sent.append(data)
        for other in self.instances:
            if other is sender or other.is_frozen or other.is_cut:
                continue
            if other is self.lose_next_to:
                self.lose_next_to = None
                continue
            other.watch.apply_update(CODEC.decode(data))

    def write(self, size=20, end=b""):
        self.written += 1
        self.newest = (b"%d " % self.written).ljust(size, b"x") + end
        writer = InMemoryLogService(self.store)
        writer.append_keyed(TOPIC, "k", self.newest)

    def run(self, seconds):
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.now_s += STEP_S
            for instance in self.instances:
                instance.step()

    def readers(self):
        return [i for i in self.instances if i.watch.is_reader]


@given("{count:d} instances that follow a topic")
@given("{count:d} instances that follow a topic, {fast:d} of them with faster links")
def step_instances(context, count, fast=0):
    context.world = FeedWorld()
    context.world.write()
    context.world.instances = [
        ModelledInstance(context.world, f"i{n:02}", 100.0 if n < fast else 5.0)
        for n in range(count)
    ]


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.world.run(seconds)


@when("{seconds:g} more seconds pass")
def step_pass_counted(context, seconds):
    context.world.calls = 0
    context.world.run(seconds)


@then("{count:d} instances read it")
def step_readers(context, count):
    readers = context.world.readers()
    assert len(readers) == count, [i.name for i in readers]
    context.before = readers


@then("those that read have the faster links")
def step_fast_readers(context):
    assert all(i.link_mbps == 100.0 for i in context.before)


@then("the log was called at most {count:d} times in these 10 seconds")
def step_calls(context, count):
    assert context.world.calls <= count, context.world.calls


@when("a value is written")
def step_write(context):
    context.world.sent.clear()
    context.world.write()


@when("a value without effect is written")
def step_write_same(context):
    context.world.sent.clear()
    context.world.write(end=b".")


@when("a value of {size:d} bytes is written")
def step_write_large(context, size):
    context.world.sent.clear()
    context.world.write(size)


@then("all instances have the newest value")
def step_all_know(context):
    world = context.world
    behind = [
        i.name for i in world.instances if i.listener.values != {"k": world.newest}
    ]
    assert not behind, behind


@then("all reachable instances have the newest value")
def step_all_that_can(context):
    world = context.world
    reachable = [i for i in world.instances if not (i.is_cut or i.is_frozen)]
    behind = [i.name for i in reachable if i.listener.values != {"k": world.newest}]
    assert not behind, behind


@then("no update contains it")
def step_not_sent(context):
    updates = [CODEC.decode(data) for data in context.world.sent]
    assert updates
    assert not any(update.batch.changes for update in updates)
    assert all(len(data) < 500 for data in context.world.sent)


@when("those that read are {fault}")
def step_readers_fail(context, fault):
    context.before = context.world.readers()
    for instance in context.before:
        instance.log.faults.down = True
        instance.is_cut = fault == "cut off from all"
        instance.is_frozen = fault == "frozen"


@then("{count:d} other instances read it")
def step_other_readers(context, count):
    others = [i for i in context.world.readers() if i not in context.before]
    assert len(others) == count, [i.name for i in others]


@when("all instances but the reader are cut off from the log")
def step_cut_followers(context):
    for instance in context.world.instances:
        if not instance.watch.is_reader:
            instance.log.faults.down = True


@when("the log goes down")
def step_down(context):
    context.world.is_down = True


@when("one instance restarts")
def step_restart(context):
    context.world.instances[3].restart()


@when("the next update to one of them is lost")
def step_lose(context):
    followers = [i for i in context.world.instances if not i.watch.is_reader]
    context.world.lose_next_to = followers[0]


# One copy.


def _change(offset, value=b"v"):
    return KeyedChange(offset, "k", value)


def _copy(next_offset):
    copy = TopicCopy(Values())
    copy.apply(KeyedBatch(0, next_offset, (_change(0),), is_snapshot=True))
    return copy


@given("a copy that applied a change from another reader's update")
def step_copy(context):
    context.copy = _copy(5)
    context.copy.apply(KeyedBatch(5, 6, (_change(5),)))


@when("its own next read starts before that change")
def step_own_read(context):
    known = context.copy.next_offset
    effective = context.copy.apply(KeyedBatch(5, 7, (_change(5), _change(6, b"w"))))
    assert [change.offset for change in effective] == [6]
    context.update = KeyedBatch(known, context.copy.next_offset, effective)


@then("copies that contain the change can apply its update")
def step_no_gap(context):
    assert _copy(6).can_apply(context.update)


@then("copies without the change cannot apply it")
def step_gap(context):
    assert not _copy(5).can_apply(context.update)


@then("copies match the log under random reads, updates, duplicates and losses")
def step_random(context):
    draw = random.Random(5)
    for _ in range(300):
        _play_random_updates(draw)


def _play_random_updates(draw):
    """Check that two readers' copies and a follower's copy match the log."""
    log = [KeyedChange(0, "a", b"0")]
    copies = [TopicCopy(Values()) for _ in range(3)]
    for copy in copies:
        copy.apply(KeyedBatch(0, 1, tuple(log), is_snapshot=True))
    in_flight = []
    for _ in range(60):
        if draw.random() < 0.5:
            key, value = draw.choice("abc"), b"%d" % len(log)
            log.append(KeyedChange(len(log), key, value))
        reader = draw.choice(copies[:2])
        known = reader.next_offset
        batch = KeyedBatch(known, len(log), tuple(log[known:]))
        # Another reader's update may arrive during the read.
        if in_flight and draw.random() < 0.5:
            other = draw.choice(in_flight)
            if reader.can_apply(other):
                reader.apply(other)
        known = reader.next_offset
        effective = reader.apply(batch)
        in_flight.append(KeyedBatch(known, reader.next_offset, effective))
        for update in draw.sample(in_flight, min(2, len(in_flight))):
            if copies[2].can_apply(update):
                copies[2].apply(update)
        _check_against(log, copies[2])
    for copy in copies:
        _check_against(log, copy)


def _check_against(log, copy):
    expected = {change.key: change.value for change in log[: copy.next_offset]}
    found = {change.key: change.value for change in copy.snapshot().changes}
    assert found == expected, (found, expected)


# Entries of the list of upstreams.


@given("an upstream listed before an outage of the list")
def step_listed(context):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.entry = Upstream("e0", "engines", "a:1")
    context.directory.put(context.entry)


@when("its entry is removed {age_s:g} seconds after the outage")
def step_dropped(context, age_s):
    assert context.directory.remove("e0", age_s)


@when("its entry is removed long after the outage")
def step_dropped_plainly(context):
    assert context.directory.remove("e0")


@when("its entry is written again")
def step_written_again(context):
    assert context.directory.put(attrs.evolve(context.entry))


@when("{seconds:g} seconds go by")
def step_go_by(context, seconds):
    context.clock.now_s += seconds
    context.directory.sweep()


@then("the upstream still accepts requests")
def step_still(context):
    assert context.directory.status("e0") is not None


@then("the upstream is removed")
def step_gone(context):
    assert context.directory.status("e0") is None


# Processes.


@given(
    "two gateways in front of 1 plain replica, the second cut off from the log service"
)
def step_two_gateways(context):
    step_plain_gateway(context, 1)
    world = context.platform
    seed = f"127.0.0.1:{world.gateways[0].ports['state']}"
    world.add_gateway(log_port=free_port(), seeds=seed)


@then("the second gateway serves requests as well")
def step_second_serves(context):
    assert context.platform.send(gateway=1).status == 200


@then(
    "within {seconds:d} seconds the second gateway sends requests to the other service "
    "only"
)
def step_second_moved(context, seconds):
    world = context.platform
    other = world.replicas["o0"]

    def goes_there():
        before = len(other.seen)
        world.send(gateway=1)
        return len(other.seen) > before

    wait_until("the new route is in force", goes_there, seconds)
