"""Steps for what instances tell each other, in modelled time."""

import collections
import random
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.bench import free_port
from kumquatseam.codec import MessageCodec
from kumquatseam.feeds import QUERY_KINDS, ReadPace, TopicFeeds, TopicUpdate
from kumquatseam.logservice import KeyedBatch, KeyedChange, KeyedListener
from kumquatseam.peers import (
    MESSAGE_KINDS,
    FleetView,
    InstanceRecord,
    LoadExchange,
    PeerLiveness,
    PeerQueries,
    RolloutNotice,
    order_key,
)
from kumquatseam.prompts import PromptChain, PromptIndex, PromptPart
from kumquatseam.rollouts import NoticeRelay, RolloutView
from kumquatseam.upstreams import Upstream, UpstreamDirectory, WeightsTargets

AWAY_AFTER_S = 1.5
STEP_S = 0.02
CHECK_S = 0.25
#: what a program that asks others over nng may take to start and to end.
CHURN_END_S = 8.0
PROMPT = PromptChain(
    (PromptPart("common", 2000), PromptPart("item", 3000), PromptPart("own", 400))
)


class ModelledBus:
    """A bus whose messages arrive at once, at whoever listens."""

    codec = MessageCodec(
        "peer message", {**MESSAGE_KINDS, "topic": TopicUpdate}, is_compact=True
    )

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.name = record.name
        self.handlers = {}
        self.heard_s = {}
        self.since_s = {}
        self.received = collections.Counter()

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def view(self):
        return FleetView(self.fleet.records, self.name, self.hearing)

    def hearing(self, name):
        if name not in self.since_s:
            return PeerLiveness.UNKNOWN
        now_s = self.fleet.clock()
        if now_s - self.heard_s.get(name, float("-inf")) < AWAY_AFTER_S:
            return PeerLiveness.ALIVE
        is_new = now_s - self.since_s[name] < AWAY_AFTER_S
        return PeerLiveness.UNKNOWN if is_new else PeerLiveness.AWAY

    def heard(self):
        found = [r for r in self.fleet.records if r.name in self.since_s]
        return [r for r in found if self.hearing(r.name) is PeerLiveness.ALIVE]

    def step(self):
        followed = {record.name for record in self.view().subscription_targets()}
        for name in set(self.since_s) - followed:
            del self.since_s[name]
        for name in followed - set(self.since_s):
            self.since_s[name] = self.fleet.clock()

    def publish(self, message):
        data = self.codec.encode(message)
        for side in self.fleet.alive():
            if self.name in side.bus.since_s:
                side.bus.receive(self.name, data)

    def receive(self, sender, data):
        self.heard_s[sender] = self.fleet.clock()
        message = self.codec.decode(data)
        self.received[type(message).__name__] += 1
        self.handlers[type(message)](message)


class Side:
    """One instance."""

    def __init__(self, fleet, record):
        self.bus = ModelledBus(fleet, record)
        self.directory = UpstreamDirectory(fleet.clock)
        for upstream in fleet.upstreams:
            self.directory.put(upstream)
        self.index = PromptIndex(fleet.clock)
        self.loads = LoadExchange(self.bus, self.directory, self.index, fleet.clock)
        targets = WeightsTargets(fleet.clock)
        self.view = RolloutView(self.directory, targets, fleet.clock)
        self.relay = NoticeRelay(self.bus, self.view)
        self.running = []


class Fleet:
    def __init__(self, count, fast=0, upstreams=0):
        self.clock = Clock()
        self.draw = random.Random(count)
        self.upstreams = [Upstream(f"e{n}", "engines", "a:1") for n in range(upstreams)]
        records = [
            InstanceRecord(f"i{n}", "a:1", link_mbps=100.0 if n < fast else 5.0)
            for n in range(count)
        ]
        self.records = sorted(records, key=order_key)
        self.sides = {record.name: Side(self, record) for record in self.records}
        self.failed = set()
        self.next_check_s = self.clock.now_s

    def alive(self):
        return [s for name, s in self.sides.items() if name not in self.failed]

    def run(self, seconds, requests=False):
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.now_s += STEP_S
            for side in self.alive():
                if requests:
                    self._begin_and_end(side)
                side.loads.step()
            if self.clock.now_s >= self.next_check_s:
                self.next_check_s += CHECK_S
                for side in self.alive():
                    side.bus.step()

    def _begin_and_end(self, side):
        if self.draw.random() < 0.12:
            status = self.draw.choice(side.directory.all())
            tokens = self.draw.randrange(4000)
            side.running.append(side.directory.begin(status, tokens))
        if side.running and self.draw.random() < 0.08:
            side.running.pop(0).end()


@given("a fleet of {count:d} instances")
@given("a fleet of {count:d} instances, {fast:d} of them with faster links")
@given("a fleet of {count:d} instances with requests on {upstreams:d} upstreams")
def step_fleet(context, count, fast=0, upstreams=0):
    context.fleet_model = Fleet(count, fast, upstreams)
    for side in context.fleet_model.alive():
        side.bus.step()


@then("each listens to {count:d} others, and {leaders:d} instances lead")
def step_listens(context, count, leaders):
    sides = context.fleet_model.alive()
    leading = [s for s in sides if s.bus.view().is_leader]
    assert len(leading) == leaders, [s.bus.name for s in leading]
    context.leading = leading
    for side in sides:
        followed = side.bus.view().subscription_targets()
        if side not in leading:
            assert len(followed) == count, (side.bus.name, len(followed))


@then("those that lead listen to {count:d} others")
def step_council(context, count):
    for side in context.leading:
        followed = side.bus.view().subscription_targets()
        assert len(followed) == count, (side.bus.name, len(followed))


@then("each listens to two that are alive")
def step_two_alive(context):
    fleet = context.fleet_model
    alive = {side.bus.name for side in fleet.alive()}
    for side in fleet.alive():
        followed = {record.name for record in side.bus.view().subscription_targets()}
        others = len(followed & alive) + (side.bus.name in followed)
        assert others >= 2 or side.bus.view().is_leader, (side.bus.name, followed)


@then("the leaders have the faster links")
def step_fast_leaders(context):
    view = context.fleet_model.alive()[-1].bus.view()
    assert all(record.link_mbps == 100.0 for record in view.leaders())


@when("{seconds:g} seconds of requests pass")
def step_requests(context, seconds):
    fleet = context.fleet_model
    for side in fleet.alive():
        side.bus.received.clear()
    fleet.run(seconds, requests=True)


@when("{seconds:g} quiet seconds pass")
def step_quiet(context, seconds):
    context.fleet_model.run(seconds)


@then("each knows what all others have on every upstream")
def step_knows(context):
    sides = context.fleet_model.alive()
    for upstream in context.fleet_model.upstreams:
        upstream_id = upstream.upstream_id
        statuses = [side.directory.status(upstream_id) for side in sides]
        running = sum(status.running for status in statuses)
        tokens = sum(status.pending_tokens for status in statuses)
        for side, status in zip(sides, statuses, strict=True):
            known = side.loads.on_upstream(upstream_id)
            expected = (running - status.running, tokens - status.pending_tokens)
            found = (known.running, known.pending_tokens)
            assert found == expected, (side.bus.name, upstream_id, found, expected)


@then("each knows how many instances there are")
def step_count(context):
    sides = context.fleet_model.alive()
    counts = {side.loads.count_instances() for side in sides}
    assert counts == {len(sides)}, counts


@when("one instance sends a prompt to an upstream")
def step_sends_prompt(context):
    side = context.fleet_model.alive()[-1]
    side.index.note_prefill("e0", "1", PROMPT, "store:1")
    side.directory.begin(side.directory.status("e0"), 5000)


@then("all know who holds that prompt")
def step_knows_holder(context):
    for side in context.fleet_model.alive():
        found = side.index.look_up("1", PROMPT)
        assert found.held_tokens("e0") == 5000, side.bus.name
        assert found.held_tokens("store:1") == 5000, side.bus.name


@when("the {which} of the leaders fail")
def step_leaders_fail(context, which):
    fleet = context.fleet_model
    leaders = [r.name for r in fleet.alive()[-1].bus.view().leaders()]
    chosen = {"first": leaders[:1], "second": leaders[1:], "both": leaders}[which]
    fleet.failed.update(chosen)


@when("they come back")
def step_come_back(context):
    context.fleet_model.failed.clear()


@then("no instance heard more than {count:d} messages in them")
def step_few_messages(context, count):
    for side in context.fleet_model.alive():
        assert side.bus.received.total() <= count, side.bus.received


def _council_member(fleet):
    """Return an instance of the council that does not lead."""
    views = [(side, side.bus.view()) for side in fleet.alive()]
    return [s for s, v in views if v.is_coordinator and not v.is_leader][-1]


class OneTopic(KeyedListener):
    def __init__(self):
        self.values = {}

    def take(self, key, value, learning):
        self.values[key] = value
        return True


@given("a fleet of {count:d} instances that follow a topic")
def step_fleet_follows(context, count):
    step_fleet(context, count, upstreams=1)
    pace = ReadPace(0.0, 1.0, 5.0)
    for side in context.fleet_model.alive():
        questions = PeerQueries(side.bus, QUERY_KINDS)
        side.feeds = TopicFeeds(None, side.bus, side.bus.record, questions)
        side.topic = OneTopic()
        watch = side.feeds.follow("keyed.t", side.topic, pace)
        watch.copy.apply(KeyedBatch(0, 5, is_whole=True))


@when("an instance that may read it tells what it read")
def step_tells_read(context):
    side = _council_member(context.fleet_model)
    batch = KeyedBatch(5, 6, (KeyedChange(5, "k", b"new"),))
    side.feeds.followers[0].copy.apply(batch)
    side.bus.publish(TopicUpdate(side.bus.name, "keyed.t", batch))


@then("every instance took it in")
def step_took_in(context):
    for side in context.fleet_model.alive():
        assert side.topic.values == {"k": b"new"}, side.bus.name


@then("each heard the update at most twice")
def step_heard_update(context):
    for side in context.fleet_model.alive():
        assert side.bus.received["TopicUpdate"] <= 2, side.bus.name


def _notice(sender, sequence, loading):
    return RolloutNotice(sender, 5, sequence, "m0", 2, loading, (), (), named_age_s=0.1)


@when("an instance that may hold the duty tells that e3 loads weights")
def step_tells(context):
    side = _council_member(context.fleet_model)
    for other in context.fleet_model.alive():
        other.bus.received.clear()
    notice = _notice(side.bus.name, 1, ("e3",))
    side.view.apply_notice(notice)
    side.bus.publish(notice)


@then("all know at once that e3 loads weights")
def step_all_blocked(context):
    fleet = context.fleet_model
    for side in fleet.alive():
        status = side.directory.status("e3")
        assert status.blocked_until_s > fleet.clock.now_s, side.bus.name


@then("each heard it at most {count:d} times")
def step_heard_times(context, count):
    for side in context.fleet_model.alive():
        heard = side.bus.received["RolloutNotice"]
        assert heard <= count, (side.bus.name, heard)


@when("a notice is overtaken by the next one")
def step_overtaken(context):
    side = context.fleet_model.alive()[0]
    side.relay.apply_notice(_notice("i1", 2, ()))
    side.relay.apply_notice(_notice("i1", 1, ("e3",)))


@then("the later one holds")
def step_later_holds(context):
    fleet = context.fleet_model
    status = fleet.alive()[0].directory.status("e3")
    assert status.blocked_until_s <= fleet.clock.now_s


# Sockets.


@given("{count:d} programs that ask each other over nng, with a new socket each time")
def step_churn(context, count):
    context.ports = [str(free_port()) for _ in range(count)]


@when("they have done so for {for_s:d} seconds")
def step_churned(context, for_s):
    program = Path(__file__).parents[1] / "programs" / "nng_churn.py"
    context.churning = []
    for port in context.ports:
        others = ",".join(other for other in context.ports if other != port)
        arguments = [sys.executable, str(program), port, others, str(for_s)]
        context.churning.append(subprocess.Popen(arguments))
    context.churned_until_s = time.monotonic() + for_s + CHURN_END_S


@then("none of them is frozen")
def step_none_frozen(context):
    frozen = []
    for process in context.churning:
        left_s = max(0.1, context.churned_until_s - time.monotonic())
        try:
            process.wait(left_s)
        except subprocess.TimeoutExpired:
            frozen.append(process.pid)
            process.kill()
            process.wait()
    assert not frozen, f"{len(frozen)} of {len(context.churning)} are frozen"
