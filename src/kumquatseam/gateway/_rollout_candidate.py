"""Wiring of the rollouts that an instance runs if it holds the lease."""

from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent

from kumquatseam.gatewayfile import RolloutSettings
from kumquatseam.leases import DutyLease
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import PeerBus
from kumquatseam.relays import DirectPath
from kumquatseam.rollouts import OrderClient, RolloutView
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

#: seconds between checks whether this instance may hold the lease.
RANK_CHECK_S = 0.1


@attrs.frozen
class RolloutParts:
    """The dependencies of a :class:`RolloutCandidate`.

    :param settings: time limits of rollouts.
    :param lease: the lease on the rollout duty.
    :param lease_rank: returns this instance's rank among those that may hold it.
    :param targets: the weights that operators named.
    :param live: the routes, with the services that run each model.
    :param directory: the engines.
    :param orders: sends orders.
    :param bus: broadcasts notices to the other instances.
    :param view: applies notices at this instance.
    :param running_on: returns how many requests engines have.
    :param path: whether this instance reaches the engines.
    """

    settings: RolloutSettings
    lease: DutyLease
    lease_rank: Callable[[], int | None]
    targets: WeightsTargets
    live: LiveRouteTable
    directory: UpstreamDirectory
    orders: OrderClient
    bus: PeerBus
    view: RolloutView
    running_on: Callable[[Sequence[str]], Mapping[str, int]]
    path: DirectPath


class RolloutCandidate(BackgroundTask):
    """Loads and runs the rollout duty once this instance may hold its lease.

    :param parts: the dependencies.
    """

    def __init__(self, parts: RolloutParts) -> None:
        super().__init__()
        self._parts = parts
        self._duty: BackgroundTask | None = None

    def close(self) -> None:
        super().close()
        if self._duty is not None:
            self._duty.close()

    def _run(self) -> None:
        while self._parts.lease_rank() is None:
            gevent.sleep(RANK_CHECK_S)
        self._duty = self._build_duty()
        self._duty.start()

    def _build_duty(self) -> BackgroundTask:
        from kumquatseam.rollouts.duty import RolloutBounds, RolloutDuty

        parts = self._parts
        return RolloutDuty(
            parts.lease,
            parts.targets,
            parts.live,
            parts.directory,
            parts.orders,
            parts.bus,
            parts.view,
            parts.running_on,
            may_act=lambda: not parts.path.is_lost,
            bounds=RolloutBounds(
                parts.settings.replaced_weights_grace_s,
                parts.settings.complete_s,
            ),
        )
