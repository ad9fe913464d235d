"""Applying what the holder of the duty tells every instance."""

import time
from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.peers import RolloutNotice
from kumquatseam.upstreams import UpstreamDirectory

_log = part_logger("rollout")

#: a notice counts for this long; the holder repeats it more often while
#: engines load, so it lapses only if the holder is gone.
NOTICE_TTL_S = 1.0


class RolloutView:
    """Keeps work away from engines that load.

    :param directory: the engines.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._fence = -1
        self._last: RolloutNotice | None = None

    def take(self, notice: RolloutNotice) -> None:
        """Take in a notice; one with an older token is ignored."""
        if notice.fence < self._fence:
            return
        self._fence = notice.fence
        if notice != self._last:
            self._last = notice
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
        until_s = self._clock() + NOTICE_TTL_S
        loading, closing = set(notice.loading), set(notice.closing)
        for status in self._directory.all():
            upstream_id = status.upstream.upstream_id
            status.blocked_until_s = until_s if upstream_id in loading else 0.0
            status.closing_until_s = until_s if upstream_id in closing else 0.0
            is_loading = upstream_id in loading
            status.move_runs_to = notice.destinations if is_loading else ()
        for upstream_id in notice.ready:
            status = self._directory.status(upstream_id)
            if status is not None:
                seen = status.version_seen.get(notice.model, 0)
                status.version_seen[notice.model] = max(seen, notice.version)
