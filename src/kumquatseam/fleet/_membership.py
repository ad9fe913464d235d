"""Which peers are alive: heartbeats, suspicion and news, with no agreement.

Each router heartbeats a few fixed peers: those at distance 1, 2, 4, ... on a
ring ordered by the hash of the names, so a fleet of n routers costs each one
about log2(n) heartbeats an interval and news reaches everyone in as many
steps. A peer that leaves a heartbeat unanswered is suspected, and after a
further time dead; the suspicion travels as news, and a router that hears it
is suspected refutes it under a higher incarnation. Suspicion, incarnations
and news carried on heartbeats follow SWIM (Das, Gupta and Motivala, 2002).

This module only decides; :mod:`kumquatseam.fleet._heartbeats` sends.
"""

import math
import time
from collections.abc import Callable, Iterable, Mapping

import attrs
import xxhash

from kumquatseam.fleet._messages import Heartbeat, MemberNews, RouterSummary
from kumquatseam.logs import part_logger
from kumquatseam.settings import FleetSettings

_log = part_logger("membership")

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2}
#: up to this many peers, each router heartbeats all of them.
FULL_MESH_PEERS = 8
#: pieces of news carried on one heartbeat at most.
NEWS_PER_HEARTBEAT = 8


@attrs.define
class Member:
    """A peer as this router sees it.

    :param name: its name.
    :param address: its control address.
    :param incarnation: its life as last heard.
    :param state: ``"alive"``, ``"suspect"`` or ``"dead"``.
    :param since_s: monotonic time it entered that state.
    :param next_offset: how much configuration is in force there.
    :param asked_s: when the oldest heartbeat it left unanswered went out;
        ``None`` if it left none.
    """

    name: str
    address: str
    incarnation: int = 0
    state: str = ALIVE
    since_s: float = 0.0
    next_offset: int = 0
    asked_s: float | None = None


@attrs.define
class _Rumour:
    news: MemberNews
    sends_left: int


StateHandler = Callable[[str, str], None]


class Membership:
    """This router's view of its peers.

    :param name: this router's name.
    :param address: its control address.
    :param incarnation: its life; must grow from one start to the next.
    :param settings: timeouts.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        settings: FleetSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self._settings = settings
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._rumours: dict[str, _Rumour] = {}
        self._handlers: list[StateHandler] = []

    def on_state(self, handler: StateHandler) -> None:
        """Call ``handler(name, state)`` whenever a peer's state changes."""
        self._handlers.append(handler)

    def members(self) -> list[Member]:
        """Return every known peer."""
        return list(self._members.values())

    def count_alive(self) -> int:
        """Return how many routers are not dead, this one included."""
        return 1 + sum(m.state != DEAD for m in self._members.values())

    def lease_rank(self, duty: str) -> int:
        """Return this router's place in the order in which routers take a duty."""
        names = [m.name for m in self._members.values() if m.state == ALIVE]
        ranked = sorted([*names, self.name], key=lambda n: _ring_place(f"{duty}:{n}"))
        return ranked.index(self.name)

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Take in the platform's list of routers, which lags.

        A peer that left the list is forgotten once it is also silent.

        :param addresses: control address by name.
        """
        for name, address in addresses.items():
            if name == self.name:
                continue
            member = self._members.get(name)
            if member is None:
                self._members[name] = Member(name, address, since_s=self._clock())
            else:
                member.address = address
        for name in [n for n in self._members if n not in addresses]:
            if self._members[name].state == DEAD:
                del self._members[name]

    def targets(self) -> list[Member]:
        """Return the peers to heartbeat.

        A small fleet heartbeats everyone; a larger one those at power-of-two
        distances on the ring.
        """
        ring = sorted(
            [m for m in self._members.values() if m.state != DEAD],
            key=lambda m: _ring_place(m.name),
        )
        own_place = _ring_place(self.name)
        start = sum(_ring_place(m.name) < own_place for m in ring)
        if len(ring) <= FULL_MESH_PEERS:
            return ring
        found = []
        distance = 1
        while distance <= len(ring):
            found.append(ring[(start + distance - 1) % len(ring)])
            distance *= 2
        return found

    def is_ring(self) -> bool:
        """Return whether the fleet is too large to heartbeat everyone."""
        return sum(m.state != DEAD for m in self._members.values()) > FULL_MESH_PEERS

    def heartbeat(self, next_offset: int, summary: RouterSummary) -> Heartbeat:
        """Return the next heartbeat, with news still worth telling."""
        return Heartbeat(
            self.name,
            self.address,
            self.incarnation,
            next_offset,
            self._take_news(),
            summary,
        )

    def note_heartbeat_sent(self, name: str) -> None:
        """Note that a heartbeat went out to ``name``."""
        member = self._members.get(name)
        if member is not None and member.asked_s is None:
            member.asked_s = self._clock()

    def receive(self, heartbeat: Heartbeat) -> None:
        """Take in a peer's heartbeat or its answer to ours."""
        if heartbeat.sender == self.name:
            return
        now_s = self._clock()
        member = self._members.get(heartbeat.sender)
        if member is None:
            member = Member(heartbeat.sender, heartbeat.address, since_s=now_s)
            self._members[heartbeat.sender] = member
        if heartbeat.incarnation < member.incarnation:
            return
        member.address = heartbeat.address
        member.asked_s = None
        member.next_offset = max(member.next_offset, heartbeat.next_offset)
        member.incarnation = heartbeat.incarnation
        # It speaks to us itself: silence was the only reason to doubt it.
        self._set_state(member, ALIVE)
        for news in heartbeat.news:
            self._hear(news)

    def tick(self) -> None:
        """Suspect peers that left us unanswered, bury suspects in time."""
        now_s = self._clock()
        for member in self._members.values():
            unanswered_s = now_s - member.asked_s if member.asked_s is not None else 0
            if member.state == ALIVE and unanswered_s >= self._settings.suspect_after_s:
                self._set_state(member, SUSPECT)
            elif (
                member.state == SUSPECT
                and now_s - member.since_s >= self._settings.dead_after_s
            ):
                self._set_state(member, DEAD)

    def _hear(self, news: MemberNews) -> None:
        if news.name == self.name:
            if news.state != ALIVE and news.incarnation >= self.incarnation:
                self.incarnation = news.incarnation + 1
                _log.info("Refuting: {} under {}.", news.state, self.incarnation)
                self._spread(MemberNews(self.name, self.incarnation, ALIVE))
            return
        member = self._members.get(news.name)
        if member is None or news.incarnation < member.incarnation:
            return
        newer = news.incarnation > member.incarnation
        if newer or _RANK[news.state] > _RANK[member.state]:
            member.incarnation = news.incarnation
            self._set_state(member, news.state)

    def _set_state(self, member: Member, state: str) -> None:
        if member.state == state:
            return
        _log.info(
            "Router {} is {} (was {}) incarnation={}.",
            member.name,
            state,
            member.state,
            member.incarnation,
        )
        member.state = state
        member.since_s = self._clock()
        if state == ALIVE:
            member.asked_s = None
        for handler in self._handlers:
            handler(member.name, state)
        self._spread(MemberNews(member.name, member.incarnation, state))

    def _spread(self, news: MemberNews) -> None:
        known = self._rumours.get(news.name)
        if known is not None and known.news == news:
            return
        count = max(2, len(self._members) + 1)
        self._rumours[news.name] = _Rumour(news, 3 * math.ceil(math.log2(count)))

    def _take_news(self) -> tuple[MemberNews, ...]:
        """Return the gravest and least told news and count this telling."""
        chosen = sorted(
            self._rumours.values(), key=lambda r: (-_RANK[r.news.state], -r.sends_left)
        )
        chosen = chosen[:NEWS_PER_HEARTBEAT]
        for rumour in chosen:
            rumour.sends_left -= 1
            if rumour.sends_left <= 0:
                del self._rumours[rumour.news.name]
        return tuple(rumour.news for rumour in chosen)


def next_incarnation() -> int:
    """Return an incarnation above those of earlier starts."""
    return int(time.time() * 1000)


def router_addresses(instances: Iterable) -> dict[str, str]:
    """Return the control address of every live router in the instance list."""
    return {i.name: i.address for i in instances if i.kind == "router"}


def _ring_place(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
