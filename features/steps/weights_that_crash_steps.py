"""Steps for weights that no engine can load, in modelled time."""

import random

import attrs
from behave import given, then, when
from modelled_clock import Clock
from restart_steps import MODEL, Side, build_duty, incarnation, run_duty, step_engine

from kumquatseam.rollouts import OrderClient, OrderOutcome
from kumquatseam.upstreams import WeightsNamed

#: pause between two steps of the duty.
STEP_S = 0.5
#: an engine's entry leaves the list this long after its end, and it is back then.
LAPSE_S = 1.0
RESTART_S = 3.0
#: how long a load takes.
LOAD_S = 0.6
#: a first crash comes this long after weights were named.
FIRST_CRASH_S = 0.7


class CrashingClient(OrderClient):
    """Gives orders to engines that end when they begin to carry them out.

    :param side: the instance that knows the engines.
    :param clock: modelled seconds.
    """

    def __init__(self, side: Side, clock: Clock):
        self.side = side
        self.clock = clock
        self.crashed_s = []
        #: orders that crash their engines, by number; all of them if not said.
        self.crashing = None
        self.orders = 0
        self.load_s = LOAD_S
        #: what happens later, by when.
        self.due = []
        #: incarnations that ended; those that are still listed answer nothing.
        self.ended = set()
        #: until then engines crash before an order reaches them.
        self.dead_until_s = 0.0

    def order(self, upstream, order):
        now_s = self.clock()
        if now_s < self.dead_until_s and self.runs(upstream):
            self.end(upstream)
        if upstream.incarnation_id in self.ended:
            return OrderOutcome.UNREACHED
        self.orders += 1
        if self.crashing is not None and self.orders not in self.crashing:
            self.due.append((now_s + self.load_s, "loaded", upstream))
            return OrderOutcome.ACCEPTED
        self.crashed_s.append(now_s)
        self.end(upstream)
        return OrderOutcome.ACCEPTED

    def end(self, upstream):
        """Let an engine crash; it starts again on the weights that it ran."""
        now_s = self.clock()
        self.ended.add(upstream.incarnation_id)
        self.due.append((now_s + LAPSE_S, "lapse", upstream))
        self.due.append((now_s + RESTART_S, "start", upstream))

    def end_later(self, after_s, upstream_id):
        """Let the engine of an id crash of something else, if it runs then."""
        self.due.append((self.clock() + after_s, "crash", upstream_id))

    def runs(self, upstream):
        """Return whether an incarnation has not ended."""
        is_listed = self.side.directory.status(upstream.incarnation_id) is not None
        return is_listed and upstream.incarnation_id not in self.ended

    def report(self, upstream):
        return None

    def move_run(self, source, request_id, destination):
        return None

    def pass_time(self, now_s):
        """Let entries lapse and engines start again, on the weights of before."""
        left = []
        for at_s, what, upstream in self.due:
            if at_s > now_s:
                left.append((at_s, what, upstream))
            elif what == "crash":
                for status in self.side.directory.all():
                    known = status.upstream
                    if known.upstream_id == upstream and self.runs(known):
                        self.end(known)
            elif what == "loaded":
                if self.runs(upstream):
                    weights = (WeightsNamed(MODEL, 2),)
                    self.side.directory.put(attrs.evolve(upstream, weights=weights))
            elif what == "lapse":
                self.side.directory.remove(upstream.upstream_id)
            else:
                born_ms = upstream.born_ms + int(RESTART_S * 1000)
                self.side.directory.put(attrs.evolve(upstream, born_ms=born_ms))
        self.due = left


@given("the holder of the duty before {count:d} engines on weights 1")
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


@given("{count:d} engines crash every {pause_s:d} s for {for_s:d} s, drawn by {seed:d}")
def step_waves(context, count, pause_s, for_s, seed):
    draws = random.Random(seed)
    ids = [s.upstream.upstream_id for s in context.side.directory.all()]
    for after_s in range(0, for_s + 1, pause_s):
        for upstream_id in draws.sample(ids, count):
            context.client.end_later(after_s + FIRST_CRASH_S, upstream_id)


@given("engines crash just before they are ordered, for {for_s:d} s")
def step_dead(context, for_s):
    context.client.dead_until_s = context.clock() + for_s


@given("a load takes {load_s:d} s")
def step_load_takes(context, load_s):
    context.client.load_s = load_s


@when("weights 2 are to be in force")
def step_good_named(context):
    context.client.crashing = set()
    context.targets.take(WeightsNamed(MODEL, 2))


@when("weights 2 are to be in force, and crash each engine that begins to load them")
def step_named(context):
    context.targets.take(WeightsNamed(MODEL, 2))


@when("weights 2 are to be in force, and 3 engines crash of something else meanwhile")
def step_some_crash(context):
    context.client.crashing = {2, 5, 7}
    context.targets.take(WeightsNamed(MODEL, 2))


@when("weights 2 are to be in force, and the first {count:d} engines ordered crash")
def step_first_crash(context, count):
    context.client.crashing = set(range(1, count + 1))
    context.targets.take(WeightsNamed(MODEL, 2))


@when("another instance takes the duty over from what it was told")
def step_taken_over(context):
    # The view is what every instance knows of the rollout.
    context.duty = build_duty(context, context.client)


@when("{for_s:d} seconds pass, in which engines that ended start again")
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
    crashed = len(context.client.crashed_s)
    assert crashed <= most, crashed


@then("every engine runs weights {version:d}")
def step_all_run(context, version):
    versions = [s.version_of(MODEL) for s in context.side.directory.all()]
    assert len(versions) == 9 and set(versions) == {version}, versions
