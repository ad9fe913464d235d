"""Giving the orders of a rollout while this instance holds the lease."""

import time
from collections.abc import Callable, Mapping, Sequence

import gevent
import gevent.event

from kumquatseam.leases import DutyLease
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import OrderCount, PeerBus, RolloutNotice
from kumquatseam.rollouts._load_trials import LoadTrials
from kumquatseam.rollouts._open_orders import OpenOrders, has_weights
from kumquatseam.rollouts._orders import LoadMode, OrderClient, WeightsOrder
from kumquatseam.rollouts._plan import (
    EngineState,
    LoadPlan,
    RolloutBounds,
    plan_loads,
)
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
#: seconds between two notices while engines load.
NOTICE_PAUSE_S = 0.25
#: steps of the duty while engines load, while there is nothing to do, and while
#: another instance holds it: a tenth of the shortest usual lease.
ACTIVE_PAUSE_S = 0.03
IDLE_PAUSE_S = 0.1
STANDBY_PAUSE_S = 0.3


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
    :param bounds: what is allowed after weights were named.
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
        bounds: RolloutBounds | None = None,
    ) -> None:
        super().__init__()
        self._bounds = bounds or RolloutBounds()
        self._lease = lease
        self._targets = targets
        self._live = live
        self._directory = directory
        self._trials = LoadTrials(clock)
        #: the orders given and not yet done.
        self.orders = OpenOrders(
            orders, directory, lease.step_down, self._trials.note_outcome, clock
        )
        self._bus = bus
        self._view = view
        self._running_on = running_on
        self._clock = clock
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
        return ACTIVE_PAUSE_S if self.orders else IDLE_PAUSE_S

    def step(self) -> None:
        """Do what is due, if this instance holds the duty."""
        self._lease.step()
        if self._lease.fence is None:
            self.orders.clear()
            self._trials.stand_by()
            return
        for weights in self._targets.all():
            self._step_model(weights)

    def _step_model(self, weights: WeightsNamed) -> None:
        statuses = self._engines_of(weights.model)
        self.orders.drop_done(weights, statuses)
        self._follow_trials(weights, statuses)
        self.orders.ask_due(weights, statuses)
        running = self._running(weights, statuses)
        states = [self._state(weights, status, running) for status in statuses]
        plan = plan_loads(
            states,
            self._bounds,
            self._trials.most_loading(weights),
            self.orders.expected_s(),
        )
        modes = {
            incarnation_id: self.orders.mode_of(
                weights, incarnation_id, incarnation_id in plan.at_once
            )
            for incarnation_id in plan.order_now
        }
        self._tell(weights, states, plan, modes)
        if plan.order_now:
            gevent.sleep(NOTICE_LEAD_S)
            for incarnation_id, mode in modes.items():
                status = self._directory.status(incarnation_id)
                self._begin_order(weights, status, mode)

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

    def _follow_trials(
        self, weights: WeightsNamed, statuses: list[UpstreamStatus]
    ) -> None:
        """Learn from what became of the engines that were ordered to load."""
        trials = self._trials
        trials.hear(weights, self._view.failed_tries(weights))
        if any(has_weights(status, weights) for status in statuses):
            trials.note_loaded(weights)
        listed = [status.upstream.incarnation_id for status in statuses]
        for incarnation_id in trials.look(weights, listed):
            if self._directory.status(incarnation_id) is not None:
                trials.forget(weights, incarnation_id)
            elif trials.note_ended(weights, incarnation_id):
                _log.bind(
                    upstream=incarnation_id,
                    model=weights.model,
                    version=weights.version,
                    failed_tries=trials.failed_tries(weights),
                ).warning("Engine ended after it was ordered to load.")

    def _running(
        self, weights: WeightsNamed, statuses: list[UpstreamStatus]
    ) -> Mapping[str, int]:
        """Return the requests on the engines that still have to load."""
        waiting = [
            status.upstream.incarnation_id
            for status in statuses
            if not has_weights(status, weights)
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
            has_weights(status, weights),
            self.orders.is_open(incarnation_id),
            running.get(incarnation_id, status.running),
            status.upstream.slots,
            status.upstream.availability_zone,
            status.held_out_until_s <= self._clock(),
            self.orders.may_give(weights, incarnation_id),
            self._replaced_s(weights.model, status),
        )

    def _replaced_s(self, model: str, status: UpstreamStatus) -> float:
        """Return how long ago an engine's weights were replaced."""
        version = status.version_of(model)
        if version is None:
            return self._targets.age_s(model)
        return self._targets.replaced_age_s(model, version)

    def _tell(
        self,
        weights: WeightsNamed,
        states: Sequence[EngineState],
        plan: LoadPlan,
        modes: Mapping[str, LoadMode],
    ) -> None:
        """Tell every instance, when something changed and now and then."""
        now_s = self._clock()
        ready = tuple(s.incarnation_id for s in states if s.has_target)
        at_work = [s.incarnation_id for s in states if s.is_loading]
        loading = tuple(sorted([*at_work, *plan.order_now]))
        closing = tuple(sorted(plan.closing))
        destinations = tuple(sorted(plan.destinations)) if loading else ()
        keep_runs = [i for i in at_work if self.orders.keeps_runs(i)]
        keep_runs += [i for i, mode in modes.items() if mode is LoadMode.IN_PLACE]
        kept = tuple(sorted(keep_runs))
        failed_tries = self._trials.failed_tries(weights)
        key = (weights, loading, closing, ready, destinations, failed_tries, kept)
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
            kept,
        )
        self._view.apply_notice(notice)
        self._bus.publish(notice)

    def _order_counts(self, model: str) -> tuple[OrderCount, ...]:
        """Return how many orders each engine accepted, for a successor."""
        return tuple(
            OrderCount(status.upstream.incarnation_id, status.orders_accepted)
            for status in self._engines_of(model)
            if status.orders_accepted
        )

    def _begin_order(
        self, weights: WeightsNamed, status: UpstreamStatus | None, mode: LoadMode
    ) -> None:
        """Give an order without waiting for its answer."""
        fence = self._lease.fence
        if fence is None or status is None:
            return
        self._trials.note_ordered(weights, status.upstream.incarnation_id)
        order = WeightsOrder(
            weights,
            self._bus.name,
            fence,
            self.orders.expected_orders(weights, status),
            mode,
        )
        self.orders.give(order, status)
