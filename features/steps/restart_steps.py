"""Steps for upstreams that restart under their id, in simulated time."""

import re
import threading
import time

import attrs
import gevent
from behave import given, then, when
from decision_steps import MemoryBus
from modelled_clock import Clock
from platform_steps import _is_in_effect, step_streams_in_rollout
from platform_world import wait_until

from kumquatseam.peers import LoadExchange, LoadSummary, RolloutNotice, UpstreamLoad
from kumquatseam.placement import BroadcastWork
from kumquatseam.prompts import PromptChain, PromptIndex, PromptPart, PromptPrefill
from kumquatseam.rollouts import (
    EngineReport,
    MoveOutcome,
    MoveResult,
    OrderClient,
    OrderOutcome,
    RolloutView,
)
from kumquatseam.rollouts.duty import RolloutDuty
from kumquatseam.routes import EngineTraits, LiveRouteTable, RouteTable, ServiceTraits
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

MODEL = "m0"
PROMPT = PromptChain((PromptPart("opening", 4000), PromptPart("own", 300)))


def incarnation(born_ms, version=1):
    weights = (WeightsVersion(MODEL, version),)
    return Upstream("e0", "engines", "a:1", weights=weights, born_ms=born_ms)


class Side:
    """The state of one instance."""

    def __init__(self, clock, bus=None):
        self.directory = UpstreamDirectory(clock)
        self.index = PromptIndex(clock)
        self.directory.on_gone(lambda u: self.index.forget(u.incarnation_id))
        self.bus = bus or MemoryBus("a")
        self.loads = LoadExchange(self.bus, self.directory, self.index, clock)

    def status(self):
        (status,) = self.directory.of_service("engines")
        return status

    def held_tokens(self):
        holder = self.status().upstream.incarnation_id
        return self.index.look_up("1", PROMPT).held_tokens(holder)


# State of an earlier incarnation.


@given("an engine started at {born_ms:d} with known cached prefixes, runs and failures")
def step_known(context, born_ms):
    context.clock = Clock()
    side = context.side = Side(context.clock)
    side.directory.put(incarnation(born_ms))
    status = side.status()
    side.index.note_prefill(status.upstream.incarnation_id, "1", PROMPT)
    side.directory.begin(status, 4300)
    side.directory.note_connection_failure(status, "test")
    status.note_inferred_orders(5, context.clock())
    status.record_version(MODEL, 9, context.clock())
    assert side.held_tokens() == 4000


@when("its entry says that it started at {born_ms:d}")
def step_entry_started(context, born_ms):
    assert context.side.directory.put(incarnation(born_ms))


@then("nothing known of the earlier incarnation is kept")
def step_nothing_known(context):
    status = context.side.status()
    assert context.side.held_tokens() == 0
    assert (status.running, status.pending_tokens) == (0, 0)
    assert status.held_out_until_s == 0 and status.failures_in_row == 0
    assert status.orders_accepted is None
    assert status.version_of(MODEL) == 1


@then("it is listed once")
def step_once(context):
    assert len(context.side.directory.all()) == 1


# Peers.


@given(
    "2 instances that know the cached prefixes and runs of an engine started at "
    "{born_ms:d}"
)
def step_two(context, born_ms):
    context.clock = Clock()
    buses = [MemoryBus("a"), MemoryBus("b")]
    buses[0].peers, buses[1].peers = [buses[1]], [buses[0]]
    context.sides = [Side(context.clock, bus) for bus in buses]
    context.earlier = incarnation(born_ms).incarnation_id
    for side in context.sides:
        side.directory.put(incarnation(born_ms))
    _publish_earlier(context)
    second = context.sides[1]
    assert second.held_tokens() == 4000
    assert second.loads.on_upstream(context.earlier).running == 3


def _publish_earlier(context):
    read = PromptPrefill(context.earlier, "1", PROMPT.shared)
    loads = (UpstreamLoad(context.earlier, 3, 900),)
    for side in context.sides:
        side.bus.publish(LoadSummary(side.bus.name, loads, (read,)))


@when("both receive an entry that says that it restarted at {born_ms:d}")
def step_both_receive_entry(context, born_ms):
    for side in context.sides:
        side.directory.put(incarnation(born_ms))


@when("the cached prefixes and runs of the earlier incarnation are published again")
def step_repeats(context):
    _publish_earlier(context)


@then("neither records cached prefixes or runs for it")
def step_neither(context):
    for side in context.sides:
        assert side.held_tokens() == 0
        current = side.status().upstream.incarnation_id
        assert side.loads.on_upstream(current).running == 0


# Late messages.


@given(
    "an engine started at {born_ms:d} on weights {version:d} after {orders:d} orders"
)
def step_engine(context, born_ms, version, orders):
    context.clock = Clock()
    context.side = Side(context.clock)
    context.targets = WeightsTargets(context.clock)
    directory = context.side.directory
    context.view = RolloutView(directory, context.targets, context.clock)
    context.client = ScriptedClient()
    context.duty = build_duty(context, context.client)
    if born_ms > 1000:
        directory.put(incarnation(1000))
    context.earlier = context.side.status() if born_ms > 1000 else None
    directory.put(incarnation(born_ms, version))
    context.side.status().note_inferred_orders(orders, context.clock())


class ScriptedClient(OrderClient):
    """Records orders and returns a preset outcome and report."""

    def close(self):
        pass

    def __init__(self):
        self.report_next = None
        self.orders = []
        self.outcome = OrderOutcome.ACCEPTED

    def order(self, upstream, order):
        self.orders.append((upstream, order))
        return self.outcome

    def report(self, upstream):
        return self.report_next

    def move_run(self, source, request_id, destination, stops_run):
        return MoveResult(MoveOutcome.REFUSED)

    def free_run(self, source, handle):
        pass


class HeldLease:
    """A lease that is always held."""

    fence = 7

    def step(self):
        pass

    def step_down(self):
        raise AssertionError("stepped down although no engine saw a newer token")


def build_duty(context, client, services=None, bounds=None):
    live = LiveRouteTable()
    traits = ServiceTraits("engines", engine=EngineTraits(48, 100_000, (MODEL,)))
    live.apply(RouteTable(1, services=tuple(services or (traits,))), "test")
    side = context.side
    return RolloutDuty(
        HeldLease(),
        context.targets,
        live,
        side.directory,
        client,
        side.bus,
        context.view,
        BroadcastWork(side.directory, side.index, side.loads.on_upstream).running_on,
        context.clock,
        bounds,
    )


def _poll(context, status, report):
    """Poll an engine that answers with ``report``."""
    context.client.report_next = report
    context.duty.orders.poll_engine(MODEL, status)


def _report(born_ms, version, orders):
    weights = (WeightsVersion(MODEL, version),)
    return EngineReport(weights, False, orders, 0, 0, born_ms)


@when("{message} of the incarnation started at 1000 arrives late")
def step_late(context, message):
    now_s = context.clock()
    directory = context.side.directory
    earlier = context.earlier
    if message == "an entry with weights 4":
        assert not directory.put(incarnation(1000, 4))
    elif message == "a report with weights 4":
        _poll(context, context.side.status(), _report(1000, 4, 9))
    elif message == "an answer with weights 4":
        earlier.record_version(MODEL, 4, now_s)
    elif message == "an order's acceptance":
        earlier.note_inferred_orders(8, now_s)
    elif message == "a notice that it is ready":
        name = earlier.upstream.incarnation_id
        notice = RolloutNotice("b", 9, 1, MODEL, 4, (name,), (name,), (name,))
        assert context.view.apply_notice(notice)
    else:
        assert message == "a broken connection", message
        directory.note_connection_failure(earlier, "test")


@when(
    "its report says that it started at {born_ms:d}, on weights {version:d} after "
    "{orders:d} orders"
)
def step_report_started(context, born_ms, version, orders):
    _poll(context, context.side.status(), _report(born_ms, version, orders))


@then(
    "it is known to run weights {version:d} after {orders:d} orders, started at "
    "{born_ms:d}"
)
def step_known_as(context, version, orders, born_ms):
    status = context.side.status()
    assert status.upstream.born_ms == born_ms, status.upstream
    assert status.version_of(MODEL) == version, status
    assert (status.orders_accepted or 0) == orders, status
    assert status.held_out_until_s <= context.clock()
    assert status.blocked_until_s <= context.clock()


# Orders.


@given("the lease holder with an engine started at {born_ms:d}")
def step_holder(context, born_ms):
    step_engine(context, born_ms, 1, 0)
    context.side.status().orders_accepted = None


@when("weights 2 become the target and the engine is ordered to load them")
def step_ordered(context):
    context.targets.add_new(WeightsVersion(MODEL, 2))
    run_duty(context)
    assert len(context.client.orders) == 1, context.client.orders


def run_duty(context):
    context.duty.step()
    # Orders are sent on separate greenlets.
    gevent.sleep(0.05)


@when("the engine restarts at {born_ms:d} on weights 1 before it has loaded them")
def step_starts_again(context, born_ms):
    context.side.directory.put(incarnation(born_ms, 1))
    context.clock.now_s += 0.1
    run_duty(context)


@then("it is ordered again, with {orders:d} earlier orders expected")
def step_ordered_again(context, orders):
    first, second = context.client.orders
    assert second[0].born_ms > first[0].born_ms
    assert second[1].expected_orders == orders


@then("that order expected {orders:d} earlier orders")
def step_expected(context, orders):
    ((_, order),) = context.client.orders
    assert order.expected_orders == orders, order


@when("the engine has loaded them")
def step_loaded(context):
    status = context.side.status()
    status.record_version(MODEL, 2, context.clock())
    context.published = []
    context.side.bus.publish = context.published.append
    context.clock.now_s += 0.3
    run_duty(context)


@then("another instance knows that the engine accepted {orders:d} order")
def step_successor(context, orders):
    other = Side(context.clock)
    other.directory.put(incarnation(1000))
    view = RolloutView(other.directory, WeightsTargets(context.clock), context.clock)
    for notice in context.published:
        view.apply_notice(attrs.evolve(notice))
    assert other.status().orders_accepted == orders


# Processes.


@when("engine {upstream_id} restarts under its id")
def step_restart_engine(context, upstream_id):
    world = context.platform
    world.replicas[upstream_id].restart()
    world.list_replica(upstream_id)


@when("the operators name weights {version:d}")
def step_name(context, version):
    context.platform.name_weights(version)


@then("engine {upstream_id} accepted {count:d} order since its restart")
def step_accepted(context, upstream_id, count):
    assert context.platform.replicas[upstream_id].sequence == count


@given("its streams may be sent once more than there are engines")
def step_enough_attempts(context):
    """Allow for the restart of each engine, which breaks off what runs there."""
    world = context.platform
    for route in world.routes:
        if route["resumable"]:
            route["maxAttempts"] = len(world.replicas) + 1
    world.put_configuration()
    wait_until("the configuration is in force", lambda: _is_in_effect(world))


@when(
    '{count:d} callers stream from "{path}" and new weights are named meanwhile, and '
    "each engine that receives a moved run restarts"
)
def step_restart_destinations(context, count, path):
    world = context.platform
    restarted = set()

    def restart_destinations():
        by_address = {r.address: r for r in world.replicas.values()}
        deadline_s = time.monotonic() + 6
        while time.monotonic() < deadline_s:
            for source in list(world.replicas.values()):
                for move in list(source.moves):
                    found = by_address[move["to"]]
                    if found not in restarted:
                        restarted.add(found)
                        found.restart()
                        world.list_replica(found.upstream_id)
            time.sleep(0.005)

    thread = threading.Thread(target=restart_destinations)
    thread.start()
    step_streams_in_rollout(context, count, path)
    thread.join()
    assert restarted
    assert all(re.match(r"e\d", replica.upstream_id) for replica in restarted)
