"""Steps for requests that begin on replaced weights too late, in simulated time."""

import json
import time
from types import SimpleNamespace
from unittest import mock

import attrs
from behave import given, then, when
from decision_world import build_placer, build_request
from modelled_clock import Clock

from kumquatseam import clocks
from kumquatseam.feeds import ReadPace, TopicCopy, TopicFeeds, TopicUpdate
from kumquatseam.leases import DutyLease
from kumquatseam.logservice import KeyedBatch, KeyedChange
from kumquatseam.platform._topics import OperatorListener
from kumquatseam.routes import LiveRouteTable
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogStore,
    LogStoreLimits,
)
from kumquatseam.upstreams import WeightsTargets, WeightsVersion

MODEL = "m0"
TOPIC = "keyed.op"
#: a reader waits up to `wait_s` for changes; other instances read the topic
#: themselves after about a second without an update.
PACE = ReadPace(wait_s=0.4, pause_s=0.0, stale_after_s=1.2)
#: interval at which a running process records that it is running.
RUNNING_INTERVAL_S = 0.2
#: maximum duration of a step itself, by the machine's own clocks.
MAX_STEP_S = 1.0


class IsolatedBus:
    """A bus without other instances."""

    name = "i0"

    def on_message(self, kind, handler):
        pass

    def publish(self, message):
        pass

    def view(self):
        return SimpleNamespace(is_leader=False)


class NoQueries:
    """A query registry that receives no queries."""

    def on_query(self, kind, answer):
        pass


def _weights_change(offset, version):
    value = json.dumps({"model": MODEL, "version": version}).encode()
    return KeyedChange(offset, f"version/{MODEL}", value)


def _deliver_update(context, *changes):
    known = context.watch.copy.next_offset
    batch = KeyedBatch(known, known + len(changes), changes)
    context.feeds.apply_update(TopicUpdate("i1", TOPIC, batch))


def _name_weights(context, version):
    context.targets.add_new(WeightsVersion(MODEL, version))


@given("an instance that knows no target weights, with an engine on weights 1")
def step_instance_without_targets(context):
    context.clock = Clock()
    context.placer, context.targets = build_placer(context.clock, [("e0", 1)])


@given("an instance with an engine on weights 1")
def step_instance(context):
    step_instance_without_targets(context)
    _name_weights(context, 1)


@given(
    "{count:d} instances that have just started and read weights 2, with one engine on "
    "weights 1 and one on weights 2"
)
def step_restarted_partly_loaded(context, count):
    _restart_instances(context, count, [("e0", 1), ("e1", 2)])


@given(
    "{count:d} instances that have just started and read weights 2, with two engines "
    "on weights 1"
)
def step_restarted_not_loaded(context, count):
    _restart_instances(context, count, [("e0", 1), ("e1", 1)])


def _restart_instances(context, count, engines):
    context.clock = Clock()
    context.restarted = [build_placer(context.clock, engines) for _ in range(count)]
    for _, targets in context.restarted:
        targets.add_with_unknown_age(WeightsVersion(MODEL, 2))


@when("each announces to the others what it knows of the age of weights 2")
def step_announce_ages(context):
    for _, announcing in context.restarted:
        for _, targets in context.restarted:
            if targets is not announcing:
                age_s = announcing.age_s(MODEL)
                targets.add_from_peer(WeightsVersion(MODEL, 2), age_s)


@then("none of them lets requests begin on weights 1")
def step_none_on_old(context):
    for placer, _ in context.restarted:
        for excluded in (frozenset(), frozenset({"e1"})):
            request = attrs.evolve(build_request(), excluded=excluded)
            placement = placer.place(request)
            assert placement is None or placement.version == 2, placement


@when(
    "it is paused for {for_s:g} seconds, and weights 2 are named right when the pause "
    "begins"
)
def step_paused_while_named(context, for_s):
    context.clock.sleep(for_s)
    _name_weights(context, 2)


@when("the log names weights {version:d}")
def step_name(context, version):
    _name_weights(context, version)


@when("the log names weights {version:d}, and {for_s:g} seconds pass")
def step_name_and_pass(context, version, for_s):
    _name_weights(context, version)
    context.clock.sleep(for_s)


@when("{for_s:g} more seconds elapse")
def step_pass_more(context, for_s):
    context.clock.sleep(for_s)


@when("the lease holder announces that they were named {age_s:g} seconds ago")
def step_announced(context, age_s):
    context.targets.add_from_peer(WeightsVersion(MODEL, 2), age_s, 1)


@when(
    "the lease holder announces that weights {version:d} were named {age_s:g} seconds "
    "ago, replacing {replaced:d}"
)
def step_announced_replacing(context, version, age_s, replaced):
    context.targets.add_from_peer(WeightsVersion(MODEL, version), age_s, replaced)


@then("requests may begin on weights 1")
def step_begin(context):
    assert context.placer.place(build_request()) is not None


@then("requests may not begin on weights 1")
def step_not_begin(context):
    assert context.placer.place(build_request()) is None


@given("an instance with an engine on weights 1, which reads the operators' topic")
def step_instance_reads_topic(context):
    step_instance_without_targets(context)
    clock = context.clock
    context.feeds = TopicFeeds(
        None, IsolatedBus(), None, NoQueries(), clock=context.clock
    )
    listener = OperatorListener(LiveRouteTable(), context.targets)
    context.watch = context.feeds.follow(TOPIC, listener, PACE)
    context.watch.copy.apply(
        KeyedBatch(0, 5, (_weights_change(4, 1),), is_snapshot=True)
    )
    # Weights 1 were named long ago.
    for _ in range(50):
        clock.sleep(RUNNING_INTERVAL_S)
        context.feeds.process_pauses.note_running()
        _deliver_update(context)


@when("it is paused for {for_s:g} seconds")
def step_paused(context, for_s):
    context.clock.sleep(for_s)


@when("it keeps running, and no update arrives for {for_s:g} seconds")
def step_no_update(context, for_s):
    for _ in range(round(for_s / RUNNING_INTERVAL_S)):
        context.clock.sleep(RUNNING_INTERVAL_S)
        context.feeds.process_pauses.note_running()


@when("an update without changes arrives")
def step_empty_update(context):
    _deliver_update(context)


@when("an update that names weights {version:d} arrives")
def step_update(context, version):
    _deliver_update(context, _weights_change(context.watch.copy.next_offset, version))


@when("the topic is read in full and names weights {version:d}")
def step_read_whole(context, version):
    offset = context.watch.copy.next_offset
    batch = KeyedBatch(
        0, offset + 1, (_weights_change(offset, version),), is_snapshot=True
    )
    context.watch.copy.apply(batch)


@then("it reports to others that weights 2 were named {age_s:g} seconds ago")
def step_reported_age(context, age_s):
    assert context.targets.age_s(MODEL) == age_s, context.targets.age_s(MODEL)


# Suspensions.


@given("weights that were named just now, by this machine's own clocks")
def step_named_now(context):
    context.targets = WeightsTargets()
    _name_weights(context, 1)
    _name_weights(context, 2)


@given("a copy of a topic that was read just now, by this machine's own clocks")
def step_copy_now(context):
    listener = OperatorListener(LiveRouteTable(), WeightsTargets())
    context.copy = TopicCopy(listener)
    context.copy.apply(KeyedBatch(0, 5, is_snapshot=True))


@given("an instance that reads the operators' topic, by this machine's own clocks")
def step_follows_now(context):
    context.targets = WeightsTargets()
    _name_weights(context, 1)
    context.feeds = TopicFeeds(None, IsolatedBus(), None, NoQueries())
    listener = OperatorListener(LiveRouteTable(), context.targets)
    context.watch = context.feeds.follow(TOPIC, listener, PACE)
    context.watch.copy.apply(KeyedBatch(0, 5, is_snapshot=True))
    context.feeds.process_pauses.note_running()


def _contender(context, name):
    log = InMemoryLogService(context.store)
    return DutyLease(log, "d", name, 3.0)


@given("a holder of a duty with a lease of 3 seconds, by this machine's own clocks")
def step_lease_now(context):
    context.store = LogStore(LogStoreLimits())
    context.holder = _contender(context, "holder")
    context.holder.step()
    assert context.holder.fence is not None


@given("a contender that has read its lease record")
def step_contender_now(context):
    context.contender = _contender(context, "contender")
    context.contender.step()
    assert context.contender.fence is None


@when("the machine is suspended for {for_s:g} seconds")
def step_suspend(context, for_s):
    """Advance only the clock that counts suspensions."""
    read = time.clock_gettime

    def read_shifted(clock_id):
        is_suspend_aware = clock_id == time.CLOCK_BOOTTIME
        return read(clock_id) + (for_s if is_suspend_aware else 0.0)

    patch = mock.patch("time.clock_gettime", read_shifted)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the holder runs a step of its lease")
def step_holder_runs(context):
    context.holder.step()


@when("the contender runs a step of its lease")
def step_contender_runs(context):
    context.contender.step()


def _assert_age(found_s, expected_s):
    assert expected_s <= found_s <= expected_s + MAX_STEP_S, found_s


@then("they are {age_s:g} seconds old")
def step_they_are(context, age_s):
    _assert_age(context.targets.age_s(MODEL), age_s)
    _assert_age(context.targets.replaced_age_s(MODEL, 1), age_s)


@then("the copy is {age_s:g} seconds old")
def step_copy_is(context, age_s):
    _assert_age(context.copy.age_s(), age_s)


@then("weights 1 may have been replaced {age_s:g} seconds ago")
def step_may_be_replaced(context, age_s):
    _assert_age(context.targets.replaced_age_s(MODEL, 1), age_s)


@then("it does not hold the lease")
def step_not_held(context):
    assert context.holder.fence is None


@then("only the holder has the lease")
def step_holder_alone(context):
    assert context.contender.fence is None
    assert context.holder.fence is not None


@given("a platform without a clock that counts suspensions")
def step_no_clock(context):
    patch = mock.patch.object(clocks, "_SUSPEND_AWARE_CLOCK", None)
    patch.start()
    context.add_cleanup(patch.stop)


@then("elapsed time follows the monotonic clock")
def step_monotonic(context):
    began_s = time.monotonic()
    assert began_s <= clocks.elapsed_s() <= time.monotonic()
