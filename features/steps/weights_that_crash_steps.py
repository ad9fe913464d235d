"""Steps for weights that crash the engines that load them, in simulated time."""

import random

import attrs
from behave import given, then, when
from modelled_clock import Clock
from restart_steps import MODEL, Side, build_duty, incarnation, run_duty, step_engine

from kumquatseam.rollouts import MoveOutcome, MoveResult, OrderClient, OrderOutcome
from kumquatseam.upstreams import WeightsVersion

#: pause between two steps of the duty.
STEP_S = 0.5
#: times from an engine's crash to the expiry of its entry, and to its restart.
ENTRY_EXPIRY_S = 1.0
RESTART_S = 3.0
#: how long a load takes.
LOAD_S = 0.6
#: time from the naming of weights to the first crash.
FIRST_CRASH_DELAY_S = 0.7


class CrashingClient(OrderClient):
    """Sends orders to simulated engines that crash when they begin to load.

    :param side: the state of the instance that sends the orders.
    :param clock: simulated seconds.
    """

    def close(self):
        pass

    def __init__(self, side: Side, clock: Clock):
        self.side = side
        self.clock = clock
        self.crashed_at_s = []
        #: numbers of the orders that crash their engines; ``None`` for all.
        self.crashing = None
        self.orders = 0
        self.load_s = LOAD_S
        #: scheduled events: time, kind and engine.
        self.events = []
        #: incarnations that ended; they do not answer while they are still listed.
        self.ended = set()
        #: engines crash before an order reaches them until this time.
        self.crashing_until_s = 0.0

    def order(self, upstream, order):
        now_s = self.clock()
        if now_s < self.crashing_until_s and self.runs(upstream):
            self.crash(upstream)
        if upstream.incarnation_id in self.ended:
            return OrderOutcome.UNREACHED
        self.orders += 1
        if self.crashing is not None and self.orders not in self.crashing:
            self.events.append((now_s + self.load_s, "loaded", upstream))
            return OrderOutcome.ACCEPTED
        self.crashed_at_s.append(now_s)
        self.crash(upstream)
        return OrderOutcome.ACCEPTED

    def crash(self, upstream):
        """Crash an engine; it restarts on the weights that it ran."""
        now_s = self.clock()
        self.ended.add(upstream.incarnation_id)
        self.events.append((now_s + ENTRY_EXPIRY_S, "lapse", upstream))
        self.events.append((now_s + RESTART_S, "start", upstream))

    def schedule_crash(self, after_s, upstream_id):
        """Schedule an unrelated crash of the engine that has the id by then."""
        self.events.append((self.clock() + after_s, "crash", upstream_id))

    def runs(self, upstream):
        """Return whether an incarnation has not ended."""
        is_listed = self.side.directory.status(upstream.incarnation_id) is not None
        return is_listed and upstream.incarnation_id not in self.ended

    def report(self, upstream):
        return None

    def move_run(self, source, request_id, destination, stops_run):
        return MoveResult(MoveOutcome.REFUSED)

    def free_run(self, source, handle):
        pass

    def pass_time(self, now_s):
        """Run due events: loads, crashes, expired entries and restarts."""
        remaining = []
        for at_s, kind, upstream in self.events:
            if at_s > now_s:
                remaining.append((at_s, kind, upstream))
            elif kind == "crash":
                for status in self.side.directory.all():
                    known = status.upstream
                    if known.upstream_id == upstream and self.runs(known):
                        self.crash(known)
            elif kind == "loaded":
                if self.runs(upstream):
                    weights = (WeightsVersion(MODEL, 2),)
                    self.side.directory.put(attrs.evolve(upstream, weights=weights))
            elif kind == "lapse":
                self.side.directory.remove(upstream.upstream_id)
            else:
                born_ms = upstream.born_ms + int(RESTART_S * 1000)
                self.side.directory.put(attrs.evolve(upstream, born_ms=born_ms))
        self.events = remaining


@given("the lease holder with {count:d} engines on weights 1")
def step_holder(context, count):
    step_engine(context, 1000, 1, 0)
    for number in range(1, count):
        name, address = f"e{number}", f"a:{number + 1}"
        upstream = attrs.evolve(
            incarnation(1000), upstream_id=name, address=address, slots=48
        )
        context.side.directory.put(upstream)
    context.client = CrashingClient(context.side, context.clock)
    context.duty = build_duty(context, context.client)


@given(
    "{count:d} engines crash every {pause_s:d} s for {for_s:d} s, chosen with seed "
    "{seed:d}"
)
def step_waves(context, count, pause_s, for_s, seed):
    generator = random.Random(seed)
    ids = [s.upstream.upstream_id for s in context.side.directory.all()]
    for after_s in range(0, for_s + 1, pause_s):
        for upstream_id in generator.sample(ids, count):
            context.client.schedule_crash(after_s + FIRST_CRASH_DELAY_S, upstream_id)


@given("engines crash just before they are ordered, for {for_s:d} s")
def step_crash_before_order(context, for_s):
    context.client.crashing_until_s = context.clock() + for_s


@given("a load takes {load_s:d} s")
def step_load_takes(context, load_s):
    context.client.load_s = load_s


@when("weights 2 become the target")
def step_loadable_named(context):
    context.client.crashing = set()
    context.targets.add_new(WeightsVersion(MODEL, 2))


@when("weights 2 become the target, and crash each engine that begins to load them")
def step_crashing_named(context):
    context.targets.add_new(WeightsVersion(MODEL, 2))


@when("weights 2 become the target, and 3 engines crash for another reason meanwhile")
def step_some_crash(context):
    context.client.crashing = {2, 5, 7}
    context.targets.add_new(WeightsVersion(MODEL, 2))


@when("weights 2 become the target, and the first {count:d} engines ordered crash")
def step_first_crash(context, count):
    context.client.crashing = set(range(1, count + 1))
    context.targets.add_new(WeightsVersion(MODEL, 2))


@when("another instance takes over the lease, with the notices it has received")
def step_taken_over(context):
    # The view stays: it holds what every instance knows from the notices.
    context.duty = build_duty(context, context.client)


@when("{for_s:d} seconds pass, in which engines that ended restart")
def step_pass(context, for_s):
    end_s = context.clock() + for_s
    while context.clock() < end_s:
        run_duty(context)
        context.clock.sleep(STEP_S)
        context.client.pass_time(context.clock())


@when("nothing happens for {for_s:d} seconds")
def step_nothing(context, for_s):
    context.clock.sleep(for_s)


@then("at most {most:d} engines crashed")
def step_crashed(context, most):
    crashed = len(context.client.crashed_at_s)
    assert crashed <= most, crashed


@then("every engine runs weights {version:d}")
def step_all_run(context, version):
    versions = [s.version_of(MODEL) for s in context.side.directory.all()]
    assert len(versions) == 9 and set(versions) == {version}, versions
