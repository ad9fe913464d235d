"""Summaries of their own work that routers send each other, bounded in bytes.

A summary carries the sender's requests in flight per engine and the prompt
prefixes it placed since its previous summary. Load reports and cache events
carry the same facts later; a summary is at most one heartbeat old. When a peer
is suspected of having failed, everything received from it is dropped.
"""

import time
from collections.abc import Callable

from kumquatseam.fleet import ALIVE, Heartbeat, RouterSummary, engine_id
from kumquatseam.routing._router import Router
from kumquatseam.settings import FleetSettings

#: encoded size of a placement: a 64-bit key and a small number.
PLACEMENT_BYTES = 10
#: encoded size of a load: a 32-bit id and the counts of two ranks.
LOAD_BYTES = 10


class PeerSummaries:
    """Exchanges summaries between this router and its peers.

    :param router: provides this router's work and stores that of its peers.
    :param settings: the byte budget and the heartbeat interval.
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
        self._last_received_s: dict[str, float] = {}

    def build_summary(self, targets: int) -> RouterSummary:
        """Return the summary to send now to each of ``targets`` peers.

        Loads come first, those of the busiest engines before the others;
        placements fill the rest of the byte budget.
        """
        interval_s = self._settings.heartbeat_interval_s
        budget = self._settings.summary_bytes_per_s * interval_s / max(1, targets)
        loads = {}
        in_flight = self._router.fleet.in_flight()
        busiest = sorted(in_flight, key=lambda e: -sum(in_flight[e].values()))
        for engine in busiest[: int(budget / LOAD_BYTES)]:
            loads[engine] = in_flight[engine]
            budget -= LOAD_BYTES
        placements = self._router.hints.pop_unsent_placements(
            int(budget / PLACEMENT_BYTES)
        )
        return RouterSummary.of(loads, placements)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Store the summary in a peer's heartbeat."""
        now_s = self._clock()
        self._last_received_s[heartbeat.sender] = now_s
        summary = heartbeat.summary
        names = {engine_id(name): name for name in self._router.fleet.names()}
        self._router.fleet.set_peer_load(heartbeat.sender, summary.loads(names))
        placements = summary.placements(names)
        self._router.hints.note_peer(heartbeat.sender, placements, now_s)

    def on_peer_state(self, peer: str, state: str) -> None:
        """Drop the data of a peer that is no longer alive."""
        if state != ALIVE:
            self._forget(peer)

    def sweep(self) -> None:
        """Drop the data of peers without a heartbeat for ``suspect_after_s``."""
        oldest_s = self._clock() - self._settings.suspect_after_s
        for peer in [p for p, s in self._last_received_s.items() if s < oldest_s]:
            self._forget(peer)

    def _forget(self, peer: str) -> None:
        self._last_received_s.pop(peer, None)
        self._router.fleet.set_peer_load(peer, {})
        self._router.hints.forget_peer(peer)
