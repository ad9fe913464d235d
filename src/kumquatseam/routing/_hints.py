"""Recent placements of prompt prefixes, by this router and by its peers.

Engines' cache events arrive late. A placement is known earlier: this router's
own at once, its peers' from the summaries they send. A hint records that a
prompt with a given prefix was just sent to an engine, which therefore probably
caches that prefix already. Hints expire, and all hints of a peer are dropped
as soon as it is suspected of having failed.
"""

from collections.abc import Iterable

from kumquatseam.fleet import Placement

#: source under which this router's own hints are stored.
OWN = ""


class PlacementHints:
    """Recent placements by source.

    :param ttl_s: time after which a hint that was not renewed expires.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._seen_s: dict[str, dict[Placement, float]] = {}
        #: own placements not yet sent to peers, and when they were made.
        self._unsent: dict[Placement, float] = {}

    def note_own(self, prefix_key: int, engine: str, now_s: float) -> None:
        """Record a placement by this router and queue it for its peers."""
        placement = Placement(prefix_key, engine)
        own = self._seen_s.setdefault(OWN, {})
        if placement not in own or now_s - own[placement] > self._ttl_s / 2:
            own[placement] = now_s
            self._unsent.pop(placement, None)
            self._unsent[placement] = now_s

    def pop_unsent_placements(self, limit: int) -> tuple[Placement, ...]:
        """Return and remove up to ``limit`` own unsent placements, newest first."""
        popped = []
        while self._unsent and len(popped) < max(0, limit):
            popped.append(self._unsent.popitem()[0])
        return tuple(popped)

    def note_peer(
        self, peer: str, placements: Iterable[Placement], now_s: float
    ) -> None:
        """Record placements made by ``peer``."""
        known = self._seen_s.setdefault(peer, {})
        for placement in placements:
            known[placement] = now_s

    def forget_peer(self, peer: str) -> None:
        """Drop all hints from ``peer``."""
        self._seen_s.pop(peer, None)

    def was_placed_by_peer(self, prefix_key: int, engine: str, now_s: float) -> bool:
        """Return whether a peer recently sent a prompt with this prefix to ``engine``.

        :param prefix_key: block key of the prefix, ``0`` for a prompt without one.
        """
        if not prefix_key:
            return False
        placement = Placement(prefix_key, engine)
        for source, known in self._seen_s.items():
            if source == OWN:
                continue
            seen_s = known.get(placement)
            if seen_s is not None and now_s - seen_s < self._ttl_s:
                return True
        return False

    def sweep(self, now_s: float) -> None:
        """Drop expired hints, and unsent ones that peers would keep for too long."""
        max_unsent_age_s = self._ttl_s / 2
        for placement, made_s in list(self._unsent.items()):
            if now_s - made_s >= max_unsent_age_s:
                del self._unsent[placement]
        for known in self._seen_s.values():
            for placement in [p for p, s in known.items() if now_s - s >= self._ttl_s]:
                del known[placement]
