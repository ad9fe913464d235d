"""Steps for messages between instances, in modelled time."""

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
#: time for a process of the nng test to start and to exit.
PROCESS_OVERHEAD_S = 8.0
PROMPT = PromptChain(
    (PromptPart("common", 2000), PromptPart("item", 3000), PromptPart("own", 400))
)


class ModelledBus:
    """A bus that delivers messages to its subscribers immediately."""

    codec = MessageCodec(
        "peer message", {**MESSAGE_KINDS, "topic": TopicUpdate}, is_compact=True
    )

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.name = record.name
        self.handlers = {}
        self.last_received_s = {}
        self.subscribed_s = {}
        self.received = collections.Counter()

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def view(self):
        return FleetView(self.fleet.records, self.name, self.liveness)

    def liveness(self, name):
        if name not in self.subscribed_s:
            return PeerLiveness.UNKNOWN
        now_s = self.fleet.clock()
        if now_s - self.last_received_s.get(name, float("-inf")) < AWAY_AFTER_S:
            return PeerLiveness.ALIVE
        is_new = now_s - self.subscribed_s[name] < AWAY_AFTER_S
        return PeerLiveness.UNKNOWN if is_new else PeerLiveness.AWAY

    def live_peers(self):
        found = [r for r in self.fleet.records if r.name in self.subscribed_s]
        return [r for r in found if self.liveness(r.name) is PeerLiveness.ALIVE]

    def step(self):
        targets = {record.name for record in self.view().subscription_targets()}
        for name in set(self.subscribed_s) - targets:
            del self.subscribed_s[name]
        for name in targets - set(self.subscribed_s):
            self.subscribed_s[name] = self.fleet.clock()

    def publish(self, message):
        data = self.codec.encode(message)
        for instance in self.fleet.alive():
            if self.name in instance.bus.subscribed_s:
                instance.bus.receive(self.name, data)

    def receive(self, sender, data):
        self.last_received_s[sender] = self.fleet.clock()
        message = self.codec.decode(data)
        self.received[type(message).__name__] += 1
        self.handlers[type(message)](message)


class ModelledInstance:
    """One instance of the fleet."""

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
        self.instances = {
            record.name: ModelledInstance(self, record) for record in self.records
        }
        self.failed = set()
        self.next_check_s = self.clock.now_s

    def alive(self):
        return [s for name, s in self.instances.items() if name not in self.failed]

    def run(self, seconds, requests=False):
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.now_s += STEP_S
            for instance in self.alive():
                if requests:
                    self._start_and_end_requests(instance)
                instance.loads.step()
            if self.clock.now_s >= self.next_check_s:
                self.next_check_s += CHECK_S
                for instance in self.alive():
                    instance.bus.step()

    def _start_and_end_requests(self, instance):
        if self.draw.random() < 0.12:
            status = self.draw.choice(instance.directory.all())
            tokens = self.draw.randrange(4000)
            instance.running.append(instance.directory.begin(status, tokens))
        if instance.running and self.draw.random() < 0.08:
            instance.running.pop(0).end()


@given("a fleet of {count:d} instances")
@given("a fleet of {count:d} instances, {fast:d} of them with faster links")
@given("a fleet of {count:d} instances with requests on {upstreams:d} upstreams")
def step_fleet(context, count, fast=0, upstreams=0):
    context.fleet_model = Fleet(count, fast, upstreams)
    for instance in context.fleet_model.alive():
        instance.bus.step()


@then("each instance subscribes to {count:d} others, and there are {leaders:d} leaders")
def step_subscriptions(context, count, leaders):
    instances = context.fleet_model.alive()
    leading = [s for s in instances if s.bus.view().is_leader]
    assert len(leading) == leaders, [s.bus.name for s in leading]
    context.leading = leading
    for instance in instances:
        targets = instance.bus.view().subscription_targets()
        if instance not in leading:
            assert len(targets) == count, (instance.bus.name, len(targets))


@then("each leader subscribes to {count:d} others")
def step_leader_subscriptions(context, count):
    for instance in context.leading:
        targets = instance.bus.view().subscription_targets()
        assert len(targets) == count, (instance.bus.name, len(targets))


@then("each instance subscribes to two live instances")
def step_two_live_subscriptions(context):
    fleet = context.fleet_model
    alive = {instance.bus.name for instance in fleet.alive()}
    for instance in fleet.alive():
        targets = {record.name for record in instance.bus.view().subscription_targets()}
        others = len(targets & alive) + (instance.bus.name in targets)
        assert others >= 2 or instance.bus.view().is_leader, (
            instance.bus.name,
            targets,
        )


@then("the leaders have the faster links")
def step_fast_leaders(context):
    view = context.fleet_model.alive()[-1].bus.view()
    assert all(record.link_mbps == 100.0 for record in view.leaders())


@when("the fleet runs for {seconds:g} seconds with requests")
def step_pass_with_requests(context, seconds):
    fleet = context.fleet_model
    for instance in fleet.alive():
        instance.bus.received.clear()
    fleet.run(seconds, requests=True)


@when("the fleet runs for {seconds:g} seconds without requests")
def step_pass_without_requests(context, seconds):
    context.fleet_model.run(seconds)


@then("each instance knows the loads of all others on every upstream")
def step_knows_loads(context):
    instances = context.fleet_model.alive()
    for upstream in context.fleet_model.upstreams:
        upstream_id = upstream.upstream_id
        statuses = [instance.directory.status(upstream_id) for instance in instances]
        running = sum(status.running for status in statuses)
        tokens = sum(status.pending_tokens for status in statuses)
        for instance, status in zip(instances, statuses, strict=True):
            known = instance.loads.on_upstream(upstream_id)
            expected = (running - status.running, tokens - status.pending_tokens)
            found = (known.running, known.pending_tokens)
            assert found == expected, (instance.bus.name, upstream_id, found, expected)


@then("each instance knows the number of instances")
def step_count(context):
    instances = context.fleet_model.alive()
    counts = {instance.loads.count_instances() for instance in instances}
    assert counts == {len(instances)}, counts


@when("one instance sends a prompt to an upstream")
def step_sends_prompt(context):
    instance = context.fleet_model.alive()[-1]
    instance.index.note_prefill("e0", "1", PROMPT, "store:1")
    instance.directory.begin(instance.directory.status("e0"), 5000)


@then("all instances know who holds that prompt")
def step_knows_holder(context):
    for instance in context.fleet_model.alive():
        found = instance.index.look_up("1", PROMPT)
        assert found.held_tokens("e0") == 5000, instance.bus.name
        assert found.held_tokens("store:1") == 5000, instance.bus.name


@when("these leaders fail: {which}")
def step_leaders_fail(context, which):
    fleet = context.fleet_model
    leaders = [r.name for r in fleet.alive()[-1].bus.view().leaders()]
    chosen = {"first": leaders[:1], "second": leaders[1:], "both": leaders}[which]
    fleet.failed.update(chosen)


@when("the leaders come back")
def step_leaders_come_back(context):
    context.fleet_model.failed.clear()


@then("no instance received more than {count:d} messages in that time")
def step_received_at_most(context, count):
    for instance in context.fleet_model.alive():
        assert instance.bus.received.total() <= count, instance.bus.received


def _coordinator(fleet):
    """Return a coordinator that is not a leader."""
    views = [(instance, instance.bus.view()) for instance in fleet.alive()]
    return [s for s, v in views if v.is_coordinator and not v.is_leader][-1]


class TopicRecorder(KeyedListener):
    def __init__(self):
        self.values = {}

    def apply(self, key, value, change_context):
        self.values[key] = value
        return True


@given("a fleet of {count:d} instances that follow a topic")
def step_fleet_with_topic(context, count):
    step_fleet(context, count, upstreams=1)
    pace = ReadPace(0.0, 1.0, 5.0)
    for instance in context.fleet_model.alive():
        queries = PeerQueries(instance.bus, QUERY_KINDS)
        instance.feeds = TopicFeeds(None, instance.bus, instance.bus.record, queries)
        instance.topic = TopicRecorder()
        watch = instance.feeds.follow("keyed.t", instance.topic, pace)
        watch.copy.apply(KeyedBatch(0, 5, is_snapshot=True))


@when("a coordinator that does not lead publishes what it read from the log")
def step_publishes_update(context):
    instance = _coordinator(context.fleet_model)
    batch = KeyedBatch(5, 6, (KeyedChange(5, "k", b"new"),))
    instance.feeds.followers[0].copy.apply(batch)
    instance.bus.publish(TopicUpdate(instance.bus.name, "keyed.t", batch))


@then("every instance applied the update")
def step_update_applied(context):
    for instance in context.fleet_model.alive():
        assert instance.topic.values == {"k": b"new"}, instance.bus.name


@then("each instance received the update at most twice")
def step_update_received(context):
    for instance in context.fleet_model.alive():
        assert instance.bus.received["TopicUpdate"] <= 2, instance.bus.name


def _notice(sender, sequence, loading):
    return RolloutNotice(sender, 5, sequence, "m0", 2, loading, (), (), named_age_s=0.1)


@when("a coordinator that does not lead publishes that e3 loads weights")
def step_publishes_notice(context):
    instance = _coordinator(context.fleet_model)
    for other in context.fleet_model.alive():
        other.bus.received.clear()
    notice = _notice(instance.bus.name, 1, ("e3",))
    instance.view.apply_notice(notice)
    instance.bus.publish(notice)


@then("all instances know immediately that e3 loads weights")
def step_all_know_loading(context):
    fleet = context.fleet_model
    for instance in fleet.alive():
        status = instance.directory.status("e3")
        assert status.blocked_until_s > fleet.clock.now_s, instance.bus.name


@then("each instance received the notice at most {count:d} times")
def step_notice_received(context, count):
    for instance in context.fleet_model.alive():
        notice_count = instance.bus.received["RolloutNotice"]
        assert notice_count <= count, (instance.bus.name, notice_count)


@when("two notices arrive in the wrong order")
def step_wrong_order(context):
    instance = context.fleet_model.alive()[0]
    instance.relay.apply_notice(_notice("i1", 2, ()))
    instance.relay.apply_notice(_notice("i1", 1, ("e3",)))


@then("the later notice stays in effect")
def step_later_in_effect(context):
    fleet = context.fleet_model
    status = fleet.alive()[0].directory.status("e3")
    assert status.blocked_until_s <= fleet.clock.now_s


# Sockets.


@given(
    "{count:d} processes that query each other over nng, with a new socket each time"
)
def step_socket_churn(context, count):
    context.ports = [str(free_port()) for _ in range(count)]


@when("the processes have run for {for_s:d} seconds")
def step_run_churn(context, for_s):
    program = Path(__file__).parents[1] / "programs" / "nng_churn.py"
    context.churning = []
    for port in context.ports:
        others = ",".join(other for other in context.ports if other != port)
        arguments = [sys.executable, str(program), port, others, str(for_s)]
        context.churning.append(subprocess.Popen(arguments))
    context.churn_deadline_s = time.monotonic() + for_s + PROCESS_OVERHEAD_S


@then("none of the processes is frozen")
def step_none_frozen(context):
    frozen = []
    for process in context.churning:
        left_s = max(0.1, context.churn_deadline_s - time.monotonic())
        try:
            process.wait(left_s)
        except subprocess.TimeoutExpired:
            frozen.append(process.pid)
            process.kill()
            process.wait()
    assert not frozen, f"{len(frozen)} of {len(context.churning)} are frozen"
