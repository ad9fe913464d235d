"""Sharing the requests that instances have on upstreams."""

import time
from collections.abc import Callable

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import LoadSummary, UpstreamLoad
from kumquatseam.upstreams import UpstreamDirectory

#: a summary older than this no longer counts: its sender is away.
STALE_AFTER_S = 1.0


class LoadExchange:
    """Publishes own loads and adds up those of others.

    :param bus: carries the summaries.
    :param directory: knows this instance's own requests.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        bus: PeerBus,
        directory: UpstreamDirectory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._clock = clock
        self._heard: dict[str, tuple[float, dict[str, int]]] = {}
        bus.on_message(LoadSummary, self.take)

    def step(self) -> None:
        """Publish this instance's loads."""
        loads = tuple(
            UpstreamLoad(status.upstream.upstream_id, status.running)
            for status in self._directory.all()
            if status.running
        )
        self._bus.publish(LoadSummary(self._bus.name, loads))

    def take(self, summary: LoadSummary) -> None:
        """Take in another instance's loads."""
        loads = {load.upstream_id: load.running for load in summary.loads}
        self._heard[summary.sender] = (self._clock(), loads)

    def running(self, upstream_id: str) -> int:
        """Return the requests others have on an upstream."""
        oldest_s = self._clock() - STALE_AFTER_S
        return sum(
            loads.get(upstream_id, 0)
            for heard_s, loads in self._heard.values()
            if heard_s >= oldest_s
        )
