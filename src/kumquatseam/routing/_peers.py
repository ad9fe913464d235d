"""What routers tell each other about their own work, bounded in bytes.

A summary carries the sender's requests in flight per engine and the openings
it placed since the last one. Load reports and cache events say the same, but
late; a summary is at most one heartbeat old. When a peer is suspected, all
that it said is dropped.
"""

import time
from collections.abc import Callable

from kumquatseam.fleet import ALIVE, EngineLoad, Heartbeat, RouterSummary
from kumquatseam.routing._router import Router
from kumquatseam.settings import FleetSettings

#: estimated wire size of one load or placement (a 64-bit key and a name).
ENTRY_BYTES = 36


class PeerSummaries:
    """Exchanges summaries between this router and its peers.

    :param router: whose work is told and whose view takes in what is heard.
    :param settings: the budget and the heartbeat interval.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        router: Router,
        settings: FleetSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._router = router
        self._settings = settings
        self._clock = clock
        self._heard_s: dict[str, float] = {}

    def take(self, targets: int) -> RouterSummary:
        """Return the summary to send now to each of ``targets`` peers."""
        budget = self._settings.summary_bytes_per_s
        interval_s = self._settings.heartbeat_interval_s
        entries = int(budget * interval_s / max(1, targets) / ENTRY_BYTES)
        in_flight = self._router.fleet.in_flight()
        busiest = sorted(in_flight.items(), key=lambda item: -item[1])
        loads = tuple(EngineLoad(n, count) for n, count in busiest[: entries // 2])
        placements = self._router.hints.take_fresh(entries - len(loads))
        return RouterSummary(loads, placements)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Take in a peer's summary."""
        now_s = self._clock()
        self._heard_s[heartbeat.sender] = now_s
        loads = {load.engine: load.requests for load in heartbeat.summary.loads}
        self._router.fleet.set_peer_load(heartbeat.sender, loads)
        placements = heartbeat.summary.placements
        self._router.hints.note_peer(heartbeat.sender, placements, now_s)

    def on_state(self, peer: str, state: str) -> None:
        """Stop counting on a peer that is no longer alive."""
        if state != ALIVE:
            self._forget(peer)

    def sweep(self) -> None:
        """Forget what peers said that no longer tell us anything."""
        oldest_s = self._clock() - self._settings.suspect_after_s
        for peer in [p for p, s in self._heard_s.items() if s < oldest_s]:
            self._forget(peer)

    def _forget(self, peer: str) -> None:
        self._heard_s.pop(peer, None)
        self._router.fleet.set_peer_load(peer, {})
        self._router.hints.forget_peer(peer)
