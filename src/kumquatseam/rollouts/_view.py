"""Applying the rollout notices that the holder of the lease broadcasts."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.peers import PeerBus, RolloutNotice
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    Unavailability,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

_log = part_logger("rollout")

#: a notice is valid for this long. While engines load the holder repeats it more
#: often, so it expires only if the holder is gone.
NOTICE_TTL_S = 1.0


class RolloutView:
    """Applies notices: keeps new requests away from engines that load or drain.

    :param directory: the engines.
    :param targets: the weights named.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        targets: WeightsTargets,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._targets = targets
        self._clock = clock
        self._newest_number = (-1, -1)
        self._last_progress: dict[str, RolloutNotice] = {}
        self._affected: dict[str, set[str]] = {}

    def apply_notice(self, notice: RolloutNotice) -> bool:
        """Apply a notice if it is newer than all before; return whether it was."""
        number = (notice.fence, notice.sequence)
        if number <= self._newest_number:
            return False
        self._newest_number = number
        age_s = UNKNOWN_AGE_S if notice.named_age_s is None else notice.named_age_s
        weights = WeightsVersion(notice.model, notice.version)
        self._targets.add_from_peer(weights, age_s, notice.replaced)
        progress = attrs.evolve(notice, named_age_s=None, sequence=0, orders=())
        if progress != self._last_progress.get(notice.model):
            self._last_progress[notice.model] = progress
            _log.bind(
                holder=notice.sender,
                fence=notice.fence,
                model=notice.model,
                version=notice.version,
                loading=notice.loading,
                closing=notice.closing,
                ready=len(notice.ready),
                destinations=notice.destinations,
            ).info("Rollout moved on.")
        self._apply(notice)
        known = dict.fromkeys(notice.ready, notice.version)
        # Instances of an earlier build do not tell the versions of destinations.
        known |= dict(
            zip(notice.destinations, notice.destination_versions, strict=False)
        )
        for incarnation_id, version in known.items():
            status = self._directory.status(incarnation_id)
            if status is not None:
                status.record_peer_version(notice.model, version, self._clock())
        for count in notice.orders:
            status = self._directory.status(count.incarnation_id)
            if status is not None:
                status.note_inferred_orders(count.accepted, self._clock())
        return True

    def failed_tries(self, weights: WeightsVersion) -> int:
        """Return how many attempts to load weights failed, by the last notice."""
        last = self._last_progress.get(weights.model)
        if last is None or last.version != weights.version:
            return 0
        return last.failed_tries

    def _apply(self, notice: RolloutNotice) -> None:
        """Block the engines that load, and unblock those that no longer do.

        Only engines named in this model's previous notice are unblocked: others may
        be loading another model.
        """
        until_s = self._clock() + NOTICE_TTL_S
        loading, closing = set(notice.loading), set(notice.closing)
        before = self._affected.get(notice.model, set())
        self._affected[notice.model] = loading | closing
        for incarnation_id in before | loading | closing:
            status = self._directory.status(incarnation_id)
            if status is None:
                continue
            is_loading = incarnation_id in loading
            if is_loading:
                status.availability.set(Unavailability.LOADING, NOTICE_TTL_S)
            else:
                status.availability.end(Unavailability.LOADING)
            status.closing_until_s = until_s if incarnation_id in closing else 0.0
            moves_runs = is_loading and incarnation_id not in notice.keep_runs
            status.move_runs(notice.destinations if moves_runs else ())


class NoticeRelay:
    """Applies received notices, and rebroadcasts them if this instance is a leader.

    In a large fleet the holder's broadcasts may reach the leaders only.

    :param bus: receives and sends notices.
    :param view: applies them.
    """

    def __init__(self, bus: PeerBus, view: RolloutView) -> None:
        self._bus = bus
        self._view = view
        bus.on_message(RolloutNotice, self.apply_notice)

    def apply_notice(self, notice: RolloutNotice) -> None:
        """Apply a notice, and rebroadcast it if it was new and this is a leader."""
        if self._view.apply_notice(notice) and self._bus.view().is_leader:
            self._bus.publish(notice)
