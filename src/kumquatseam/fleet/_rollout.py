"""Bringing engines to the weights, adapters and role the configuration names.

One router holds the duty. It compares what each engine names in its load
reports with what it is to have and gives orders, a few at a time since the
weight store is rate-limited. Only what an engine says of itself counts: an
order's answer proves nothing, because a paused router's late order may be
carried out after it by an engine that ignores fencing tokens. Such an engine
then names the wrong weights and is ordered again.
"""

import abc
import math
import time
from collections.abc import Callable, Iterator

import attrs

from kumquatseam.engines import (
    EngineOrder,
    EngineOrderClient,
    EngineTarget,
    LoadOrder,
    ModelVersion,
    OrderRefusedError,
    OrderUnansweredError,
    RoleOrder,
)
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.leases import DutyLease
from kumquatseam.logs import part_logger

_log = part_logger("rollout")

#: engines loading weights at once; the weight store slows down past three.
MAX_LOADS = 3
#: an order whose weights have not appeared after this long is given again.
ORDER_PATIENCE_S = 5.0


class EngineReports(abc.ABC):
    """What engines last said of themselves."""

    @abc.abstractmethod
    def epoch(self, engine: str) -> str | None:
        """Return the engine's life as last heard."""

    @abc.abstractmethod
    def reported_model(self, engine: str, model: str) -> ModelVersion | None:
        """Return what the engine last said it runs of ``model``."""

    @abc.abstractmethod
    def role(self, engine: str) -> str:
        """Return the role the engine last named."""


@attrs.frozen
class _Due:
    """An order that is due; the same one is not given again too soon.

    :param engine: the engine's name.
    :param named: the weights it is to run, or ``None`` for a role.
    :param role: the role it is to have, or ``""`` for weights.
    """

    engine: str
    named: ModelVersion | None = None
    role: str = ""


class WeightsRollout:
    """Orders engines to what they are to run and be.

    :param live: the configuration in force.
    :param lease: this router's part in the duty.
    :param orders: gives the orders.
    :param reports: what engines say of themselves.
    :param holder: this router's name.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        lease: DutyLease,
        orders: EngineOrderClient,
        reports: EngineReports,
        holder: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live = live
        self._lease = lease
        self._orders = orders
        self._reports = reports
        self._holder = holder
        self._clock = clock
        self._ordered_s: dict[_Due, float] = {}

    def step(self) -> None:
        """Give the orders that are due now, if this router holds the duty."""
        if self._lease.fence is None:
            self._ordered_s.clear()
            return
        due = list(self._due())
        now_s = self._clock()
        self._ordered_s = {d: s for d, s in self._ordered_s.items() if d in due}
        pending = {
            d for d, s in self._ordered_s.items() if now_s - s < ORDER_PATIENCE_S
        }
        # Engines that accept and show nothing must not keep the others from loading.
        due.sort(key=lambda order: self._ordered_s.get(order, -math.inf))
        for order in due:
            if len(pending) >= MAX_LOADS:
                return
            if order not in pending and self._give(order):
                self._ordered_s[order] = self._clock()
                pending.add(order)

    def _due(self) -> Iterator[_Due]:
        """Yield what engines are to run or be but do not say they do."""
        configuration = self._live.current
        for upstream in configuration.upstreams:
            name = upstream.name
            if self._reports.role(name) != upstream.role:
                yield _Due(name, role=upstream.role)
            for model in upstream.models:
                named = self._reports.reported_model(name, model)
                desired = ModelVersion(
                    model,
                    configuration.desired_version(upstream, model),
                    configuration.model(model).adapters,
                )
                if named is not None and named != desired:
                    yield _Due(name, desired)

    def _give(self, due: _Due) -> bool:
        fence = self._lease.fence
        upstream = self._live.current.upstream(due.engine)
        if fence is None:
            return False
        order = self._order(due, fence)
        _log.info("Ordering engine={} {}.", due.engine, order)
        try:
            self._orders.send(EngineTarget(upstream.name, upstream.url), order)
        except OrderRefusedError as error:
            _log.info("{}.", error)
            return False
        except OrderUnansweredError as error:
            _log.warning("{}.", error)
        return True

    def _order(self, due: _Due, fence: int) -> EngineOrder:
        epoch = self._reports.epoch(due.engine)
        if due.named is None:
            return RoleOrder(due.role, self._holder, fence, epoch)
        named = due.named
        return LoadOrder(
            named.model, named.version, named.adapters, self._holder, fence, epoch
        )
