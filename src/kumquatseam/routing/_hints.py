"""Where openings were placed lately, by this router and by its peers.

Engines' cache events come late. A placement is known at once: this router's
own, and its peers' through the summaries they send. A hint says an engine
was just given a prompt with an opening, so it probably holds it already.
Hints expire, and a peer that is suspected loses all of its own at once.
"""

from collections.abc import Iterable

from kumquatseam.fleet import Placement

#: who a hint of this router itself comes from.
OWN = ""


class PlacementHints:
    """Recent placements by source.

    :param ttl_s: a hint not renewed for this long is forgotten.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._seen_s: dict[str, dict[Placement, float]] = {}
        self._fresh: dict[Placement, None] = {}

    def note_own(self, opening: int, engine: str, now_s: float) -> None:
        """Note a placement this router made, for its peers."""
        placement = Placement(opening, engine)
        own = self._seen_s.setdefault(OWN, {})
        if placement not in own or now_s - own[placement] > self._ttl_s / 2:
            own[placement] = now_s
            self._fresh[placement] = None

    def take_fresh(self, limit: int) -> tuple[Placement, ...]:
        """Return up to ``limit`` own placements not yet told, newest first."""
        taken = []
        while self._fresh and len(taken) < max(0, limit):
            taken.append(self._fresh.popitem()[0])
        self._fresh.clear()
        return tuple(taken)

    def note_peer(
        self, peer: str, placements: Iterable[Placement], now_s: float
    ) -> None:
        """Take in placements ``peer`` made."""
        known = self._seen_s.setdefault(peer, {})
        for placement in placements:
            known[placement] = now_s

    def forget_peer(self, peer: str) -> None:
        """Stop counting on everything ``peer`` said."""
        self._seen_s.pop(peer, None)

    def names(self, opening: int, engine: str, now_s: float) -> bool:
        """Return whether a peer placed ``opening`` on ``engine`` lately."""
        if not opening:
            return False
        placement = Placement(opening, engine)
        for source, known in self._seen_s.items():
            if source == OWN:
                continue
            seen_s = known.get(placement)
            if seen_s is not None and now_s - seen_s < self._ttl_s:
                return True
        return False

    def sweep(self, now_s: float) -> None:
        """Forget expired hints."""
        for known in self._seen_s.values():
            for placement in [p for p, s in known.items() if now_s - s >= self._ttl_s]:
                del known[placement]
