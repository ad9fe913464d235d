"""What routers tell each other about their own work, bounded in bytes.

A summary carries the sender's requests in flight per engine and the openings
it placed since the last one. Load reports and cache events say the same, but
late; a summary is at most one heartbeat old. When a peer is suspected, all
that it said is dropped.
"""

import time
from collections.abc import Callable

from kumquatseam.fleet import ALIVE, Heartbeat, RouterSummary, engine_id
from kumquatseam.routing._router import Router
from kumquatseam.settings import FleetSettings

#: wire size of a placement: a 64-bit key and a small number.
PLACEMENT_BYTES = 10
#: wire size of a load: a 32-bit id and two ranks' counts.
LOAD_BYTES = 10


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
        """Return the summary to send now to each of ``targets`` peers.

        Loads go first, the busiest engines before the others; placements
        get what is left of the budget.
        """
        interval_s = self._settings.heartbeat_interval_s
        budget = self._settings.summary_bytes_per_s * interval_s / max(1, targets)
        loads = {}
        in_flight = self._router.fleet.in_flight()
        busiest = sorted(in_flight, key=lambda e: -sum(in_flight[e].values()))
        for engine in busiest[: int(budget / LOAD_BYTES)]:
            loads[engine] = in_flight[engine]
            budget -= LOAD_BYTES
        placements = self._router.hints.take_fresh(int(budget / PLACEMENT_BYTES))
        return RouterSummary.of(loads, placements)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Take in a peer's summary."""
        now_s = self._clock()
        self._heard_s[heartbeat.sender] = now_s
        summary = heartbeat.summary
        names = {engine_id(name): name for name in self._router.fleet.names()}
        self._router.fleet.set_peer_load(heartbeat.sender, summary.loads(names))
        placements = summary.placements(names)
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
