"""Simulated engines that load weights when ordered to, in simulated time.

They follow the order protocol: an order that is already being executed is accepted
again without being counted again; any other is refused during a load, or if it expects
another count of accepted orders. A report is some hundred milliseconds old.
"""

import collections

import attrs
import gevent
from restart_steps import MODEL

from kumquatseam.rollouts import (
    EngineReport,
    LoadMode,
    MoveOutcome,
    MoveResult,
    OrderClient,
    OrderOutcome,
)
from kumquatseam.upstreams import Upstream, WeightsVersion

#: how old a report is.
REPORT_AGE_S = 0.3
#: interval between two steps of the duty.
STEP_S = 0.1


@attrs.frozen
class EngineSnapshot:
    """The state of an engine at some time.

    :param at_s: the time.
    :param version: the weights it ran.
    :param is_busy: whether it was executing an order.
    :param accepted: orders it had accepted.
    """

    at_s: float
    version: int
    is_busy: bool
    accepted: int


class LoadingEngine:
    """A simulated engine that loads the weights it is ordered to load.

    :param upstream: its entry.
    :param load_s: how long a load takes.
    """

    def __init__(self, upstream, version, load_s):
        self.upstream = upstream
        self.version = version
        self.load_s = load_s
        self.accepted = 0
        self.loading = None
        self.loaded_s = 0.0
        #: requests on it while it is open to requests; they end some time after it was
        #: closed, and before it loads, unless it loads in place.
        self.runs = 0
        self.runs_end_s = 0.0
        #: since when it gets no requests.
        self.closed_s = None
        #: runs that were in progress when it loaded in place.
        self.interrupted_runs = 0
        #: whether it refuses every order, like an engine that lacks the weights.
        self.refuses = False
        self.reports_while_loading = True
        self.reports = True
        self.ends_on_order = False
        self.has_ended = False
        #: delay until the next order is executed; that order is not answered.
        self.late_s = None
        self.late_order = None
        self.orders = 0
        self.snapshots = [EngineSnapshot(0.0, version, False, 0)]

    def order(self, order, now_s):
        self.orders += 1
        if self.has_ended:
            return OrderOutcome.UNREACHED
        if self.ends_on_order:
            self.has_ended = True
            return OrderOutcome.ACCEPTED
        if self.refuses:
            return OrderOutcome.REFUSED
        if self.late_s is not None:
            self.late_order = (now_s + self.late_s, order)
            self.late_s = None
            return OrderOutcome.UNANSWERED
        return self._execute(order, now_s)

    def _execute(self, order, now_s):
        if order.expected_orders != self.accepted:
            return OrderOutcome.BUSY
        version = order.weights.version
        if self.loading is not None:
            is_same = version == self.loading
            return OrderOutcome.ACCEPTED if is_same else OrderOutcome.BUSY
        if version == self.version:
            return OrderOutcome.ALREADY_HOLDS
        self.accepted += 1
        self.loading = version
        waits_for_runs = order.mode is LoadMode.DRAIN_FIRST
        self.loaded_s = now_s + self.load_s
        if waits_for_runs:
            closed_s = now_s if self.closed_s is None else self.closed_s
            self.loaded_s += max(0.0, closed_s + self.runs_end_s - now_s)
        self.interrupted_runs += 0 if waits_for_runs else self.running(now_s)
        self._record(now_s)
        return OrderOutcome.ACCEPTED

    def running(self, now_s):
        """Return how many requests it has."""
        is_over = self.closed_s is not None and now_s >= self.closed_s + self.runs_end_s
        return 0 if is_over else self.runs

    def note_blocked(self, is_blocked, now_s):
        """Note whether instances send it requests."""
        if not is_blocked:
            self.closed_s = None
        elif self.closed_s is None:
            self.closed_s = now_s

    def pass_time(self, now_s):
        if self.late_order is not None and now_s >= self.late_order[0]:
            self._execute(self.late_order[1], now_s)
            self.late_order = None
        if self.loading is not None and now_s >= self.loaded_s:
            self.version = self.loading
            self.loading = None
            self._record(now_s)

    def report(self, now_s):
        is_silent = self.loading is not None and not self.reports_while_loading
        if is_silent or self.has_ended or not self.reports:
            return None
        snapshot = [m for m in self.snapshots if m.at_s <= now_s - REPORT_AGE_S][-1]
        return EngineReport(
            (WeightsVersion(self.upstream.weights[0].model, snapshot.version),),
            snapshot.is_busy,
            snapshot.accepted,
            0,
            0,
            self.upstream.born_ms,
        )

    def _record(self, now_s):
        self.snapshots.append(
            EngineSnapshot(now_s, self.version, self.loading is not None, self.accepted)
        )


class LoadingEngines(OrderClient):
    """Sends orders to simulated engines.

    :param clock: simulated seconds.
    """

    def close(self):
        pass

    def __init__(self, clock):
        self.clock = clock
        self.engines = {}

    def add(self, number, version, load_s, model=MODEL, service="engines"):
        """Add an engine and return its entry."""
        weights = (WeightsVersion(model, version),)
        upstream = Upstream(
            f"e{number}", service, f"a:{number}", slots=48, weights=weights
        )
        self.engines[upstream.upstream_id] = LoadingEngine(upstream, version, load_s)
        return upstream

    def order(self, upstream, order):
        return self.engines[upstream.upstream_id].order(order, self.clock())

    def report(self, upstream):
        return self.engines[upstream.upstream_id].report(self.clock())

    def move_run(self, source, request_id, destination, stops_run):
        return MoveResult(MoveOutcome.REFUSED)

    def free_run(self, source, handle):
        pass

    def pass_time(self):
        for engine in self.engines.values():
            engine.pass_time(self.clock())


def pass_time(context, for_s, on_step=None):
    """Run the steps of the lease holder for some simulated time.

    Counts the steps after which each engine was blocked for requests.

    :param on_step: called after each step.
    """
    end_s = context.clock() + for_s
    context.steps = 0
    context.blocked_steps = collections.Counter()
    context.max_loading = context.open_while_loading = 0
    while context.clock() < end_s:
        for status in context.side.directory.all():
            engine = context.client.engines[status.upstream.upstream_id]
            is_blocked = status.blocked_until_s > context.clock()
            engine.note_blocked(is_blocked, context.clock())
            status.running = engine.running(context.clock())
        context.duty.step()
        # Orders and polls are sent on separate greenlets.
        gevent.sleep(0.03)
        context.clock.sleep(STEP_S)
        context.client.pass_time()
        context.steps += 1
        if on_step is not None:
            on_step()
        for status in context.side.directory.all():
            is_blocked = status.blocked_until_s > context.clock()
            engine = context.client.engines[status.upstream.upstream_id]
            context.blocked_steps[status.upstream.upstream_id] += is_blocked
            context.open_while_loading += engine.loading is not None and not is_blocked
        loading = [e for e in context.client.engines.values() if e.loading is not None]
        context.max_loading = max(context.max_loading, len(loading))
