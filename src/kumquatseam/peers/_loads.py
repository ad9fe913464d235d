"""Sharing the requests that instances have on upstreams."""

import time
from collections.abc import Callable

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import LoadSummary, UpstreamLoad
from kumquatseam.prompts import PromptIndex
from kumquatseam.upstreams import UpstreamDirectory

#: a summary older than this no longer counts: its sender is away.
STALE_AFTER_S = 1.0
#: seconds between two summaries while nothing changes.
HEARTBEAT_S = 0.25
#: seconds between two summaries while requests come, and what each instance
#: that listens adds to them, so that hearing all costs the same at any size:
#: 300 messages a second at most.
MIN_PAUSE_S = 0.02
PAUSE_PER_PEER_S = 0.0033
#: prompts told in one summary at most, 60 bytes each; more are new only in a
#: burst, and then the oldest are told first.
MAX_READS = 32


class LoadExchange:
    """Publishes own loads and adds up those of others.

    :param bus: carries the summaries.
    :param directory: knows this instance's own requests.
    :param index: knows what upstreams read, and is told what peers gave them.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        bus: PeerBus,
        directory: UpstreamDirectory,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._index = index
        self._clock = clock
        self._heard: dict[str, tuple[float, dict[str, UpstreamLoad]]] = {}
        self._published_s = float("-inf")
        self._published_changes = -1
        bus.on_message(LoadSummary, self.take)

    def step(self) -> None:
        """Publish this instance's loads if it is time to."""
        now_s = self._clock()
        if self._directory.changes == self._published_changes:
            pause_s = HEARTBEAT_S
        else:
            pause_s = max(MIN_PAUSE_S, PAUSE_PER_PEER_S * len(self._bus.alive()))
        if now_s - self._published_s < pause_s:
            return
        self._published_s = now_s
        self._published_changes = self._directory.changes
        loads = tuple(
            UpstreamLoad(s.upstream.upstream_id, s.running, s.pending_tokens)
            for s in self._directory.all()
            if s.running
        )
        reads = tuple(self._index.take_fresh(MAX_READS))
        self._bus.publish(LoadSummary(self._bus.name, loads, reads))

    def take(self, summary: LoadSummary) -> None:
        """Take in another instance's loads."""
        loads = {load.upstream_id: load for load in summary.loads}
        self._heard[summary.sender] = (self._clock(), loads)
        for read in summary.reads:
            self._index.note_peer_read(read)

    def on_upstream(self, upstream_id: str) -> UpstreamLoad:
        """Return what others have on an upstream, added up."""
        oldest_s = self._clock() - STALE_AFTER_S
        found = [
            loads[upstream_id]
            for heard_s, loads in self._heard.values()
            if heard_s >= oldest_s and upstream_id in loads
        ]
        return UpstreamLoad(
            upstream_id,
            sum(load.running for load in found),
            sum(load.pending_tokens for load in found),
        )
