"""Roll out the weights, adapters and roles given in the configuration.

One router holds the rollout lease. It compares each engine's load reports
with the configuration and sends orders, a few at a time because the weight
store is rate-limited. Progress is judged by the engines' reports only. The
reply to an order proves nothing: an engine that ignores fencing tokens may
later carry out a delayed order of a router that was paused. Such an engine
then reports the wrong weights and receives another order.
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

#: most engines loading weights at once; the weight store slows down beyond three.
MAX_LOADS = 3
#: an order is sent again if its effect is not reported within this time.
ORDER_TIMEOUT_S = 5.0


class EngineReports(abc.ABC):
    """The newest load reports of the engines."""

    @abc.abstractmethod
    def epoch(self, engine: str) -> str | None:
        """Return the engine's last reported epoch, which changes on a restart."""

    @abc.abstractmethod
    def reported_model(self, engine: str, model: str) -> ModelVersion | None:
        """Return the version of ``model`` the engine last reported running."""

    @abc.abstractmethod
    def role(self, engine: str) -> str:
        """Return the engine's last reported role."""


@attrs.frozen
class _RequiredOrder:
    """An order needed to bring an engine to its configured state.

    :param engine: the engine's name.
    :param weights: the weights to load, or ``None`` for an order to change roles.
    :param role: the role to take, or ``""`` for an order to load weights.
    """

    engine: str
    weights: ModelVersion | None = None
    role: str = ""


class WeightsRollout:
    """Sends orders to engines whose weights or role differ from the configuration.

    :param live: the configuration in force.
    :param lease: the rollout lease, which this router may hold.
    :param orders: sends the orders.
    :param reports: the engines' newest reports.
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
        self._sent_s: dict[_RequiredOrder, float] = {}

    def step(self) -> None:
        """Send the orders required now, if this router holds the lease."""
        if self._lease.fence is None:
            self._sent_s.clear()
            return
        required = list(self._required_orders())
        now_s = self._clock()
        self._sent_s = {o: s for o, s in self._sent_s.items() if o in required}
        pending = {o for o, s in self._sent_s.items() if now_s - s < ORDER_TIMEOUT_S}
        # Least recently sent first: an engine that accepts orders without carrying
        # them out must not keep the others from loading.
        required.sort(key=lambda order: self._sent_s.get(order, -math.inf))
        for order in required:
            if len(pending) >= MAX_LOADS:
                return
            if order not in pending and self._send(order):
                self._sent_s[order] = self._clock()
                pending.add(order)

    def _required_orders(self) -> Iterator[_RequiredOrder]:
        """Yield an order per difference between the configuration and the reports."""
        configuration = self._live.current
        for upstream in configuration.upstreams:
            name = upstream.name
            if self._reports.role(name) != upstream.role:
                yield _RequiredOrder(name, role=upstream.role)
            for model in upstream.models:
                reported = self._reports.reported_model(name, model)
                desired = ModelVersion(
                    model,
                    configuration.desired_version(upstream, model),
                    configuration.model(model).adapters,
                )
                if reported is not None and reported != desired:
                    yield _RequiredOrder(name, desired)

    def _send(self, required: _RequiredOrder) -> bool:
        """Send an order; return ``False`` if it was not sent or was refused."""
        fence = self._lease.fence
        upstream = self._live.current.upstream(required.engine)
        if fence is None:
            return False
        order = self._build_order(required, fence)
        _log.info("Sending an order to engine={}: {}.", required.engine, order)
        try:
            self._orders.send(EngineTarget(upstream.name, upstream.url), order)
        except OrderRefusedError as error:
            _log.info("{}.", error)
            return False
        except OrderUnansweredError as error:
            _log.warning("{}.", error)
        return True

    def _build_order(self, required: _RequiredOrder, fence: int) -> EngineOrder:
        epoch = self._reports.epoch(required.engine)
        if required.weights is None:
            return RoleOrder(required.role, self._holder, fence, epoch)
        weights = required.weights
        return LoadOrder(
            weights.model, weights.version, weights.adapters, self._holder, fence, epoch
        )
