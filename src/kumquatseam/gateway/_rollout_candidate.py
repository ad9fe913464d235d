"""Wiring of the rollouts that an instance runs if it holds the lease."""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

import attrs
import gevent

from kumquatseam.gatewayfile import RolloutSettings
from kumquatseam.logservice import LogService
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import LeaseHeartbeat, PeerBus
from kumquatseam.relays import DirectPath
from kumquatseam.rollouts import NoticeRelay, OrderClient, RolloutView
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

if TYPE_CHECKING:
    from kumquatseam.leases import DutyLease

#: name of the lease whose holder rolls out weights.
ROLLOUT_LEASE = "weights"
#: seconds between checks whether this instance may hold the lease.
RANK_CHECK_S = 0.1


@attrs.frozen
class RolloutParts:
    """The dependencies of a :class:`RolloutCandidate`.

    :param settings: time limits of rollouts.
    :param log_service: keeps the lease on the rollout duty.
    :param lease_rank: returns this instance's rank among those that may hold it.
    :param targets: the weights that operators named.
    :param live: the routes, with the services that run each model.
    :param directory: the engines.
    :param orders: sends orders.
    :param bus: broadcasts notices to the other instances.
    :param running_on: returns how many requests engines have.
    :param path: whether this instance reaches the engines.
    """

    settings: RolloutSettings
    log_service: LogService
    lease_rank: Callable[[], int | None]
    targets: WeightsTargets
    live: LiveRouteTable
    directory: UpstreamDirectory
    orders: OrderClient
    bus: PeerBus
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
        self._lease: DutyLease | None = None
        #: token of another holder that was heard from before the lease was loaded.
        self._heard_fence: int | None = None
        parts.bus.on_message(LeaseHeartbeat, self._note_other_holder)
        # Every instance applies the holder's notices, and relays them.
        self._view = RolloutView(parts.directory, parts.targets)
        NoticeRelay(parts.bus, self._view)

    def close(self) -> None:
        super().close()
        if self._duty is not None:
            self._duty.close()

    def _run(self) -> None:
        while self._parts.lease_rank() is None:
            gevent.sleep(RANK_CHECK_S)
        from kumquatseam.gateway._rollout_duty import build_duty, build_lease

        self._lease = build_lease(self._parts)
        if self._heard_fence is not None:
            self._lease.note_other_holder(self._heard_fence)
        self._duty = build_duty(self._parts, self._lease, self._view)
        self._duty.start()

    def _note_other_holder(self, held: LeaseHeartbeat) -> None:
        if self._lease is None:
            self._heard_fence = held.fence
        else:
            self._lease.note_other_holder(held.fence)
