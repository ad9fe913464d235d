"""Applying what the holder of the duty tells every instance."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.peers import PeerBus, RolloutNotice
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    UpstreamDirectory,
    WeightsNamed,
    WeightsTargets,
)

_log = part_logger("rollout")

#: a notice counts for this long; the holder repeats it more often while
#: engines load, so it lapses only if the holder is gone.
NOTICE_TTL_S = 1.0


class RolloutView:
    """Keeps work away from engines that load.

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
        self._newest = (-1, -1)
        self._last: dict[str, RolloutNotice] = {}
        self._concerned: dict[str, set[str]] = {}

    def take(self, notice: RolloutNotice) -> bool:
        """Take in a notice; return whether it was newer than those before."""
        number = (notice.fence, notice.sequence)
        if number <= self._newest:
            return False
        self._newest = number
        age_s = UNKNOWN_AGE_S if notice.named_age_s is None else notice.named_age_s
        weights = WeightsNamed(notice.model, notice.version)
        self._targets.hear(weights, age_s, notice.replaced)
        progress = attrs.evolve(notice, named_age_s=None, sequence=0, orders=())
        if progress != self._last.get(notice.model):
            self._last[notice.model] = progress
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
        for incarnation_id in notice.ready:
            status = self._directory.status(incarnation_id)
            if status is not None:
                status.hear_version(notice.model, notice.version, self._clock())
        for count in notice.orders:
            status = self._directory.status(count.incarnation_id)
            if status is not None:
                status.note_orders(count.accepted, self._clock())
        return True

    def failed_tries(self, weights: WeightsNamed) -> int:
        """Return how many tries to load some weights failed, as was told."""
        last = self._last.get(weights.model)
        if last is None or last.version != weights.version:
            return 0
        return last.failed_tries

    def _apply(self, notice: RolloutNotice) -> None:
        """Close the engines that load, and reopen those that no longer do.

        Only engines that this model's last notice concerned are reopened:
        others may be loading another model.
        """
        until_s = self._clock() + NOTICE_TTL_S
        loading, closing = set(notice.loading), set(notice.closing)
        before = self._concerned.get(notice.model, set())
        self._concerned[notice.model] = loading | closing
        for incarnation_id in before | loading | closing:
            status = self._directory.status(incarnation_id)
            if status is None:
                continue
            is_loading = incarnation_id in loading
            status.blocked_until_s = until_s if is_loading else 0.0
            status.closing_until_s = until_s if incarnation_id in closing else 0.0
            moves_runs = is_loading and incarnation_id not in notice.keep_runs
            status.move_runs_to = notice.destinations if moves_runs else ()


class NoticeRelay:
    """Takes in notices, and hands them on if this instance leads a large fleet.

    The holder of the duty may be an instance that only the leaders listen to.

    :param bus: where notices come from and go to.
    :param view: applies them.
    """

    def __init__(self, bus: PeerBus, view: RolloutView) -> None:
        self._bus = bus
        self._view = view
        bus.on_message(RolloutNotice, self.take)

    def take(self, notice: RolloutNotice) -> None:
        """Take in a notice."""
        if self._view.apply_notice(notice) and self._bus.view().is_leader:
            self._bus.publish(notice)
