"""Running a rollout while this instance holds the lease."""

import time
from collections.abc import Callable, Mapping, Sequence

import gevent
import gevent.event

from kumquatseam.leases import DutyLease
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import OrderCount, PeerBus, RolloutNotice
from kumquatseam.rollouts._drains import (
    MAX_DRAIN_S,
    SETTLE_S,
    DrainPhase,
    Drains,
)
from kumquatseam.rollouts._load_backoff import LoadBackoff
from kumquatseam.rollouts._orders import LoadMode, OrderClient, WeightsOrder
from kumquatseam.rollouts._pending_orders import PendingOrders, has_weights
from kumquatseam.rollouts._plan import (
    EngineState,
    LoadPlan,
    RolloutBounds,
    loads_in_place,
    plan_loads,
)
from kumquatseam.rollouts._view import RolloutView
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    UpstreamDirectory,
    UpstreamStatus,
    WeightsTargets,
    WeightsVersion,
)

_log = part_logger("rollout")

#: time between the notice of which engines load and the orders, so that no instance
#: sends a request that would be refused; ten times the latency of a message.
NOTICE_LEAD_S = 0.02
#: seconds between two notices while engines load.
NOTICE_INTERVAL_S = 0.25
#: interval between steps while engines load, while there is nothing to do, and while
#: another instance holds the lease; the last is a tenth of the shortest usual lease.
ACTIVE_INTERVAL_S = 0.03
IDLE_INTERVAL_S = 0.1
STANDBY_INTERVAL_S = 0.3


class RolloutDuty(BackgroundTask):
    """Orders engines to load the weights that operators named, a few at a time.

    Only the holder of the lease sends orders, and each carries the lease's fencing
    token. A notice of which engines load is broadcast before they are ordered. After
    ``close`` the lease expires without being released.

    :param lease: the lease on the rollout duty.
    :param targets: the weights named.
    :param live: the routes, with the services that run each model.
    :param directory: the engines.
    :param orders: sends orders.
    :param bus: broadcasts notices to the other instances.
    :param view: applies notices at this instance.
    :param running_on: returns how many requests each of the given engines has, by
        incarnation; engines without a known load are missing.
    :param clock: monotonic clock in seconds.
    :param bounds: time limits of a rollout.
    :param may_act: whether this instance can give orders to engines.
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
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self._may_act = may_act
        self._bounds = bounds or RolloutBounds()
        self._lease = lease
        self._targets = targets
        self._live = live
        self._directory = directory
        self._backoff = LoadBackoff(clock)
        #: the orders sent whose effect is not known yet.
        self.orders = PendingOrders(
            orders, directory, lease.step_down, self._backoff.note_outcome, clock
        )
        self._drains = Drains(clock)
        self._bus = bus
        self._view = view
        self._running_on = running_on
        self._clock = clock
        self._last_notices: dict[str, tuple[float, tuple]] = {}
        self._notice_count = 0
        self._wake = gevent.event.Event()
        targets.on_change(self._wake.set)

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:  # noqa: BLE001 - logged; the loop continues
                _log.exception("A step of the rollout failed.")
            self._wake.wait(self._interval_s())
            self._wake.clear()

    def _interval_s(self) -> float:
        if self._lease.fence is None:
            return STANDBY_INTERVAL_S
        is_active = self.orders or self._drains
        return ACTIVE_INTERVAL_S if is_active else IDLE_INTERVAL_S

    def step(self) -> None:
        """Renew or acquire the lease, and advance all rollouts while it is held."""
        if self._lease.fence is not None and not self._may_act():
            # Another instance takes over once the lease has expired.
            self._lease.step_down()
        self._lease.step()
        if self._lease.fence is None:
            self.orders.clear()
            self._drains.clear()
            self._backoff.on_standby()
            return
        for weights in self._targets.all():
            self._step_model(weights)

    def _step_model(self, weights: WeightsVersion) -> None:
        statuses = self._engines_of(weights.model)
        self.orders.drop_done(weights, statuses)
        self._update_backoff(weights, statuses)
        self.orders.poll_due(weights, statuses)
        running = self._running(weights, statuses)
        states = [self._state(weights, status, running) for status in statuses]
        plan = plan_loads(
            states,
            self._bounds,
            self._backoff.loading_limit(weights),
            self.orders.typical_duration_s(),
        )
        phases = self._drain(weights, states, plan)
        modes = self._due_modes(weights, states, plan, phases)
        self._broadcast_notice(weights, states, plan, phases)
        if modes:
            gevent.sleep(NOTICE_LEAD_S)
            for incarnation_id, mode in modes.items():
                self._drains.end(incarnation_id)
                status = self._directory.status(incarnation_id)
                self._send_order(weights, status, mode)

    def _drain(
        self, weights: WeightsVersion, states: Sequence[EngineState], plan: LoadPlan
    ) -> Mapping[str, DrainPhase]:
        """Let engines that are to load drain; return the phases of all that do."""
        for state in states:
            incarnation_id = state.incarnation_id
            if (
                incarnation_id in plan.order_now
                and incarnation_id not in plan.in_place
                # Some may be on their way to it.
                and state.running > 0
                # It may be executing an earlier order already.
                and not self.orders.was_ordered(weights, incarnation_id)
            ):
                self._drains.begin(weights, incarnation_id)
        running = {
            state.incarnation_id: state.running
            for state in states
            if state.is_reachable and not state.has_target
        }
        movable = [
            state.incarnation_id
            for state in states
            if plan.destinations and self._has_time_to_move(state)
        ]
        return self._drains.phases(weights.model, running, movable)

    def _has_time_to_move(self, state: EngineState) -> bool:
        """Return whether runs may move off an engine before it has to be ordered."""
        needed_s = MAX_DRAIN_S + SETTLE_S + self.orders.typical_duration_s()
        return state.replaced_s + needed_s < self._bounds.complete_s

    def _due_modes(
        self,
        weights: WeightsVersion,
        states: Sequence[EngineState],
        plan: LoadPlan,
        phases: Mapping[str, DrainPhase],
    ) -> dict[str, LoadMode]:
        """Return the engines to order now, with the modes of their orders."""
        others = [s for s in states if not s.is_loading]
        duration_s = self.orders.typical_duration_s()
        modes = {}
        for state in states:
            incarnation_id = state.incarnation_id
            phase = phases.get(incarnation_id)
            if phase is None and incarnation_id not in plan.order_now:
                continue
            if phase in (DrainPhase.MOVING, DrainPhase.SETTLING):
                continue
            is_in_place = incarnation_id in plan.in_place or (
                phase is not None
                and loads_in_place(state, others, self._bounds, duration_s)
            )
            modes[incarnation_id] = self.orders.mode_of(
                weights, incarnation_id, is_in_place
            )
        return modes

    def _engines_of(self, model: str) -> list[UpstreamStatus]:
        table = self._live.current
        if table is None:
            return []
        return [
            status
            for service in table.services
            if service.engine is not None and model in service.engine.models
            for status in self._directory.of_service(service.name)
            if not status.is_leaving
        ]

    def _update_backoff(
        self, weights: WeightsVersion, statuses: list[UpstreamStatus]
    ) -> None:
        """Update the backoff from the engines that loaded or ended."""
        backoff = self._backoff
        backoff.restore_failures(weights, self._view.failed_tries(weights))
        if any(has_weights(status, weights) for status in statuses):
            backoff.note_loaded(weights)
        listed = [status.upstream.incarnation_id for status in statuses]
        for incarnation_id in backoff.update_listed(weights, listed):
            if self._directory.status(incarnation_id) is not None:
                backoff.forget(weights, incarnation_id)
            elif backoff.note_ended(weights, incarnation_id):
                _log.bind(
                    upstream=incarnation_id,
                    model=weights.model,
                    version=weights.version,
                    failed_tries=backoff.failed_tries(weights),
                ).warning("Engine ended after it was ordered to load.")

    def _running(
        self, weights: WeightsVersion, statuses: list[UpstreamStatus]
    ) -> Mapping[str, int]:
        """Return the number of requests on each engine that still has to load."""
        waiting = [
            status.upstream.incarnation_id
            for status in statuses
            if not has_weights(status, weights)
        ]
        return self._running_on(waiting) if waiting else {}

    def _state(
        self,
        weights: WeightsVersion,
        status: UpstreamStatus,
        running: Mapping[str, int],
    ) -> EngineState:
        incarnation_id = status.upstream.incarnation_id
        return EngineState(
            incarnation_id,
            status.version_of(weights.model),
            has_weights(status, weights),
            self.orders.has_pending(incarnation_id) or self._drains.has(incarnation_id),
            running.get(incarnation_id, status.running),
            status.upstream.slots,
            status.upstream.availability_zone,
            not status.is_held_out,
            self.orders.may_send(weights, incarnation_id),
            self._replaced_s(weights.model, status),
        )

    def _replaced_s(self, model: str, status: UpstreamStatus) -> float:
        """Return how long ago an engine's weights were replaced."""
        version = status.version_of(model)
        if version is None:
            return self._targets.age_s(model)
        return self._targets.replaced_age_s(model, version)

    def _broadcast_notice(
        self,
        weights: WeightsVersion,
        states: Sequence[EngineState],
        plan: LoadPlan,
        phases: Mapping[str, DrainPhase],
    ) -> None:
        """Broadcast a notice if the plan changed, or if a repeat is due."""
        now_s = self._clock()
        ready = tuple(s.incarnation_id for s in states if s.has_target)
        already_loading = [s.incarnation_id for s in states if s.is_loading]
        loading = tuple(sorted({*already_loading, *plan.order_now}))
        closing = tuple(sorted(plan.closing))
        destinations = tuple(sorted(plan.destinations)) if loading else ()
        versions = {state.incarnation_id: state.version or 0 for state in states}
        kept = tuple(i for i in loading if phases.get(i) is not DrainPhase.MOVING)
        failed_tries = self._backoff.failed_tries(weights)
        key = (weights, loading, closing, ready, destinations, failed_tries, kept)
        fence = self._lease.fence
        noticed_s, noticed_key = self._last_notices.get(weights.model, (0.0, ()))
        is_due = now_s - noticed_s >= NOTICE_INTERVAL_S and (loading or closing)
        if fence is None or (key == noticed_key and not is_due):
            return
        self._last_notices[weights.model] = (now_s, key)
        age_s = self._targets.age_s(weights.model)
        self._notice_count += 1
        notice = RolloutNotice(
            self._bus.name,
            fence,
            self._notice_count,
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
            tuple(versions[incarnation_id] for incarnation_id in destinations),
        )
        self._view.apply_notice(notice)
        self._bus.publish(notice)

    def _order_counts(self, model: str) -> tuple[OrderCount, ...]:
        """Return how many orders each engine accepted, for the next holder."""
        return tuple(
            OrderCount(status.upstream.incarnation_id, status.orders_accepted)
            for status in self._engines_of(model)
            if status.orders_accepted
        )

    def _send_order(
        self, weights: WeightsVersion, status: UpstreamStatus | None, mode: LoadMode
    ) -> None:
        """Send an order without waiting for the answer."""
        fence = self._lease.fence
        if fence is None or status is None:
            return
        self._backoff.note_ordered(weights, status.upstream.incarnation_id)
        order = WeightsOrder(
            weights,
            self._bus.name,
            fence,
            self.orders.expected_orders(weights, status),
            mode,
        )
        self.orders.send(order, status)
