"""Giving the orders of a rollout while this instance holds the lease."""

import math
import time
from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent
import gevent.event

from kumquatseam.leases import DutyLease
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import OrderCount, PeerBus, RolloutNotice
from kumquatseam.rollouts._load_trials import LoadTrials
from kumquatseam.rollouts._orders import (
    EngineReport,
    OrderClient,
    OrderOutcome,
    WeightsOrder,
)
from kumquatseam.rollouts._plan import EngineState, LoadPlan, plan_loads
from kumquatseam.rollouts._view import RolloutView
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    UpstreamDirectory,
    UpstreamStatus,
    WeightsNamed,
    WeightsTargets,
)

_log = part_logger("rollout")

#: instances get this long to hear which engines load before the order goes,
#: so that none sends work that would be refused; ten times a message's way.
NOTICE_LEAD_S = 0.02
#: time from an order to the first question whether it is carried out.
FIRST_QUESTION_S = 0.5
#: pause between two questions.
QUESTION_PAUSE_S = 0.06
#: an order that shows no effect for this long is given again.
ORDER_PATIENCE_S = 3.0
#: an order without an answer is given again sooner: it may not have arrived. So is
#: one that an engine refused while it carried out another.
UNANSWERED_PATIENCE_S = 0.6
#: an engine that refuses orders and carries none out is ordered again after this
#: long, and after twice as long each further time.
REFUSED_PAUSE_S = 0.3
MAX_REFUSED_PAUSE_S = 2.4
#: seconds between two notices while engines load.
NOTICE_PAUSE_S = 0.25
#: steps of the duty while engines load, while there is nothing to do, and while
#: another instance holds it: a tenth of the shortest usual lease.
ACTIVE_PAUSE_S = 0.03
IDLE_PAUSE_S = 0.1
STANDBY_PAUSE_S = 0.3


@attrs.define
class _Order:
    """An order that was given.

    :param weights: the weights ordered.
    :param given_s: when.
    :param is_repeat: it was given before without a known effect. The engine may be
        carrying it out already and then accepts it without counting it again.
    :param patience_s: when to give it again without effect.
    :param is_accepted: whether the engine accepted it.
    :param asked_s: when the engine was last asked about it.
    :param is_asking: whether that question is still under way.
    :param heard: what the engine said last, to log only what is new.
    """

    weights: WeightsNamed
    given_s: float
    is_repeat: bool = False
    patience_s: float = ORDER_PATIENCE_S
    is_accepted: bool = False
    asked_s: float = 0.0
    is_asking: bool = False
    heard: EngineReport | None = None


@attrs.define
class _Refusal:
    """An engine that refused an order and carries none out.

    :param weights: the weights ordered.
    :param in_row: how often it refused them in a row.
    :param until_s: it is not ordered to them before.
    """

    weights: WeightsNamed
    in_row: int = 0
    until_s: float = 0.0


class RolloutDuty(BackgroundTask):
    """Orders engines to the weights named, a few at a time.

    Only the holder of the lease gives orders, and each carries the lease's
    fencing token. Every instance is told which engines load before they are
    ordered to. The lease lapses by itself after ``close``.

    :param lease: this instance's part in the duty.
    :param targets: the weights named.
    :param live: tells which services run a model.
    :param directory: the engines.
    :param orders: gives orders.
    :param bus: tells the other instances.
    :param view: tells this instance.
    :param running_on: how many requests each of some engines has, by
        incarnation; those nobody knows of are missing.
    :param clock: monotonic clock in seconds.
    :param complete_s: how long after a naming all engines have to run the weights.
    """

    def __init__(
        self,
        lease: DutyLease,
        targets: WeightsTargets,
        live: LiveRouteTable,
        directory: UpstreamDirectory,
        orders: OrderClient,
        bus: PeerBus,
        view: RolloutView,
        running_on: Callable[[Sequence[str]], Mapping[str, int]],
        clock: Callable[[], float] = time.monotonic,
        complete_s: float = math.inf,
    ) -> None:
        super().__init__()
        self._complete_s = complete_s
        self._lease = lease
        self._targets = targets
        self._live = live
        self._directory = directory
        self._orders = orders
        self._bus = bus
        self._view = view
        self._running_on = running_on
        self._clock = clock
        self._given: dict[str, _Order] = {}
        #: the weights of each engine's last order that showed no effect.
        self._without_effect: dict[str, WeightsNamed] = {}
        self._refused: dict[str, _Refusal] = {}
        self._trials = LoadTrials(clock)
        self._told: dict[str, tuple[float, tuple]] = {}
        self._notices = 0
        self._wake = gevent.event.Event()
        targets.on_change(self._wake.set)

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:  # noqa: BLE001 - logged; the duty goes on
                _log.exception("A step of the rollout failed.")
            self._wake.wait(self._pause_s())
            self._wake.clear()

    def _pause_s(self) -> float:
        if self._lease.fence is None:
            return STANDBY_PAUSE_S
        return ACTIVE_PAUSE_S if self._given else IDLE_PAUSE_S

    def step(self) -> None:
        """Do what is due, if this instance holds the duty."""
        self._lease.step()
        if self._lease.fence is None:
            self._given.clear()
            self._without_effect.clear()
            self._refused.clear()
            return
        for weights in self._targets.all():
            self._step_model(weights)

    def _step_model(self, weights: WeightsNamed) -> None:
        statuses = self._engines_of(weights.model)
        self._drop_done(weights, statuses)
        self._follow_trials(weights, statuses)
        self._ask_loading(weights, statuses)
        running = self._running(weights, statuses)
        states = [self._state(weights, status, running) for status in statuses]
        plan = plan_loads(
            states,
            self._targets.age_s(weights.model),
            self._trials.most_loading(weights),
            self._complete_s,
        )
        loading = [s.incarnation_id for s in states if s.is_loading]
        loading += plan.order_now
        ready = tuple(s.incarnation_id for s in states if s.has_target)
        self._tell(weights, tuple(sorted(loading)), plan, ready)
        if plan.order_now:
            gevent.sleep(NOTICE_LEAD_S)
            for incarnation_id in plan.order_now:
                self._begin_order(weights, self._directory.status(incarnation_id))

    def _engines_of(self, model: str) -> list[UpstreamStatus]:
        table = self._live.current
        if table is None:
            return []
        return [
            status
            for service in table.services
            if service.engine is not None and model in service.engine.models
            for status in self._directory.of_service(service.name)
            if not status.upstream.is_leaving
        ]

    def _drop_done(self, weights: WeightsNamed, statuses: list[UpstreamStatus]) -> None:
        """Forget orders that took effect, lapsed or lost their engine."""
        now_s = self._clock()
        known = {status.upstream.incarnation_id: status for status in statuses}
        for incarnation_id, order in list(self._given.items()):
            if order.weights.model != weights.model:
                continue
            status = known.get(incarnation_id)
            done = status is None or _has(status, order.weights)
            if done:
                _log.bind(
                    upstream=incarnation_id,
                    version=order.weights.version,
                    took_s=round(now_s - order.given_s, 3),
                    is_listed=status is not None,
                ).info("Order done.")
                self._without_effect.pop(incarnation_id, None)
            elif now_s - order.given_s > order.patience_s:
                self._without_effect[incarnation_id] = order.weights
            else:
                continue
            del self._given[incarnation_id]
        for incarnation_id, refusal in list(self._refused.items()):
            if refusal.weights.model != weights.model:
                continue
            status = known.get(incarnation_id)
            if status is None or _has(status, refusal.weights):
                del self._refused[incarnation_id]

    def _follow_trials(
        self, weights: WeightsNamed, statuses: list[UpstreamStatus]
    ) -> None:
        """Learn from what became of the engines that were ordered to load."""
        trials = self._trials
        trials.hear(weights, self._view.failed_tries(weights))
        if any(_has(status, weights) for status in statuses):
            trials.note_loaded(weights)
        for incarnation_id in trials.open_outcomes(weights):
            status = self._directory.status(incarnation_id)
            if status is None:
                trials.note_ended(weights, incarnation_id)
                _log.bind(
                    upstream=incarnation_id,
                    model=weights.model,
                    version=weights.version,
                    failed_tries=trials.failed_tries(weights),
                ).warning("Engine ended after it was ordered to load.")
            elif status.upstream.is_leaving:
                trials.forget(weights, incarnation_id)

    def _running(
        self, weights: WeightsNamed, statuses: list[UpstreamStatus]
    ) -> Mapping[str, int]:
        """Return the requests on the engines that still have to load."""
        waiting = [
            status.upstream.incarnation_id
            for status in statuses
            if not _has(status, weights)
        ]
        return self._running_on(waiting) if waiting else {}

    def _state(
        self,
        weights: WeightsNamed,
        status: UpstreamStatus,
        running: Mapping[str, int],
    ) -> EngineState:
        incarnation_id = status.upstream.incarnation_id
        return EngineState(
            incarnation_id,
            status.version_of(weights.model),
            _has(status, weights),
            incarnation_id in self._given,
            running.get(incarnation_id, status.running),
            status.upstream.slots,
            status.upstream.availability_zone,
            status.held_out_until_s <= self._clock(),
            self._may_be_ordered(weights, incarnation_id),
        )

    def _may_be_ordered(self, weights: WeightsNamed, incarnation_id: str) -> bool:
        """Return whether an engine did not just refuse these weights."""
        refusal = self._refused.get(incarnation_id)
        if refusal is None or refusal.weights != weights:
            return True
        return self._clock() >= refusal.until_s

    def _ask_loading(
        self, weights: WeightsNamed, statuses: list[UpstreamStatus]
    ) -> None:
        """Ask engines whose load should be done how they are."""
        now_s = self._clock()
        for status in statuses:
            order = self._given.get(status.upstream.incarnation_id)
            if order is None or now_s - order.given_s < FIRST_QUESTION_S:
                continue
            if now_s - order.asked_s >= QUESTION_PAUSE_S and not order.is_asking:
                order.asked_s = now_s
                order.is_asking = True
                gevent.spawn(self._ask_about, order, weights.model, status)

    def _ask_about(self, order: _Order, model: str, status: UpstreamStatus) -> None:
        try:
            self.ask(model, status, order)
        finally:
            order.is_asking = False

    def ask(
        self, model: str, status: UpstreamStatus, order: _Order | None = None
    ) -> EngineReport | None:
        """Ask an engine what it runs and how many orders it accepted.

        :param order: the order it is asked about, if any.
        :returns: its report, unless it gave none or an earlier incarnation did.
        """
        report = self._orders.report(status.upstream)
        if report is not None and order is not None:
            _log_report(status, order, report)
        if report is None or report.born_ms < status.upstream.born_ms:
            return None
        if report.born_ms > status.upstream.born_ms:
            status = self._directory.note_started(status, report.born_ms)
        if report.is_busy:
            # Its weights are about to change; only the count is news.
            now_s = self._clock()
            status.note_reported_orders(report.orders_accepted, now_s)
            if order is not None and order.is_accepted:
                # It is at work on it, or finishes its runs first.
                order.patience_s = now_s - order.given_s + ORDER_PATIENCE_S
            return report
        for named in report.weights:
            if named.model == model:
                status.note_report(
                    model, named.version, report.orders_accepted, self._clock()
                )
        return report

    def _tell(
        self,
        weights: WeightsNamed,
        loading: tuple[str, ...],
        plan: LoadPlan,
        ready: tuple[str, ...],
    ) -> None:
        """Tell every instance, when something changed and now and then."""
        now_s = self._clock()
        closing = tuple(sorted(plan.closing))
        destinations = tuple(sorted(plan.destinations)) if loading else ()
        failed_tries = self._trials.failed_tries(weights)
        key = (weights, loading, closing, ready, destinations, failed_tries)
        fence = self._lease.fence
        told_s, told_key = self._told.get(weights.model, (0.0, ()))
        is_due = now_s - told_s >= NOTICE_PAUSE_S and (loading or closing)
        if fence is None or (key == told_key and not is_due):
            return
        self._told[weights.model] = (now_s, key)
        age_s = self._targets.age_s(weights.model)
        self._notices += 1
        notice = RolloutNotice(
            self._bus.name,
            fence,
            self._notices,
            weights.model,
            weights.version,
            loading,
            closing,
            ready,
            destinations,
            None if age_s == UNKNOWN_AGE_S else round(age_s, 3),
            self._targets.replaced_version(weights.model),
            self._order_counts(weights.model),
            failed_tries,
        )
        self._view.take(notice)
        self._bus.publish(notice)

    def _order_counts(self, model: str) -> tuple[OrderCount, ...]:
        """Return how many orders each engine accepted, for a successor."""
        return tuple(
            OrderCount(status.upstream.incarnation_id, status.orders_accepted)
            for status in self._engines_of(model)
            if status.orders_accepted
        )

    def _begin_order(
        self, weights: WeightsNamed, status: UpstreamStatus | None
    ) -> None:
        """Give an order without waiting for its answer."""
        fence = self._lease.fence
        if fence is None or status is None:
            return
        incarnation_id = status.upstream.incarnation_id
        is_repeat = self._without_effect.get(incarnation_id) == weights
        given = _Order(weights, self._clock(), is_repeat)
        self._given[incarnation_id] = given
        self._trials.note_ordered(weights, incarnation_id)
        order = WeightsOrder(
            weights, self._bus.name, fence, status.orders_accepted or 0
        )
        gevent.spawn(self._give, order, status, given)

    def _give(self, order: WeightsOrder, status: UpstreamStatus, given: _Order) -> None:
        upstream = status.upstream
        outcome = self._orders.order(upstream, order)
        _log.bind(
            upstream=upstream.incarnation_id,
            model=order.weights.model,
            version=order.weights.version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            known_orders=status.orders_accepted,
            outcome=outcome.value,
        ).info("Order given.")
        if outcome is OrderOutcome.ACCEPTED:
            given.is_accepted = True
            if not given.is_repeat:
                status.note_orders(order.expected_orders + 1, self._clock())
            return
        given.patience_s = UNANSWERED_PATIENCE_S
        if outcome is OrderOutcome.ALREADY_HOLDS:
            weights = order.weights
            status.note_answered(weights.model, weights.version, self._clock())
        elif outcome is OrderOutcome.BUSY:
            # It carries out another order, or accepted another number of them.
            report = self.ask(order.weights.model, status, given)
            if report is not None and not report.is_busy:
                has_other_count = status.orders_accepted != order.expected_orders
                self._note_refused(order, status, given, has_other_count)
        elif outcome is OrderOutcome.FENCED:
            self._lease.give_up()
        elif outcome is OrderOutcome.UNREACHED:
            given.patience_s = 0.0
            self._directory.note_broken(status, "order not delivered")
        elif outcome is not OrderOutcome.UNANSWERED:
            self._note_refused(order, status, given, False)

    def _note_refused(
        self,
        order: WeightsOrder,
        status: UpstreamStatus,
        given: _Order,
        has_other_count: bool,
    ) -> None:
        """Note that an engine refused an order and carries none out.

        It takes no place among those that load, and work again.

        :param given: the order, as long as no other was given since.
        :param has_other_count: what it refused is known: the number of orders.
        """
        incarnation_id = status.upstream.incarnation_id
        if self._given.get(incarnation_id) is given:
            del self._given[incarnation_id]
        refusal = self._refused.get(incarnation_id)
        if refusal is None or refusal.weights != order.weights:
            refusal = self._refused[incarnation_id] = _Refusal(order.weights)
        refusal.in_row += 1
        if has_other_count and refusal.in_row == 1:
            return
        pause_s = REFUSED_PAUSE_S * 2 ** (refusal.in_row - 1)
        refusal.until_s = self._clock() + min(MAX_REFUSED_PAUSE_S, pause_s)


def _log_report(status: UpstreamStatus, order: _Order, report: EngineReport) -> None:
    """Log what an engine says of itself, unless it said the same before."""
    heard = attrs.evolve(report, waiting=0, running=0)
    if heard == order.heard:
        return
    order.heard = heard
    _log.bind(
        upstream=status.upstream.incarnation_id,
        ordered_version=order.weights.version,
        weights={named.model: named.version for named in report.weights},
        is_busy=report.is_busy,
        orders_accepted=report.orders_accepted,
        known_orders=status.orders_accepted,
        waiting=report.waiting,
        running=report.running,
    ).debug("Engine reported.")


def _has(status: UpstreamStatus, weights: WeightsNamed) -> bool:
    known = status.version_of(weights.model)
    return known is not None and known >= weights.version
