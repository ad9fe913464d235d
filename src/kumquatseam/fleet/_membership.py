"""Failure detection between routers by heartbeats and gossip, without consensus.

Each router sends heartbeats to a few fixed peers: those at distance 1, 2, 4,
... on a ring ordered by the hash of the names. In a fleet of n routers each
sends about log2(n) heartbeats per interval, and an update reaches every
router in as many steps. A peer that does not answer a heartbeat becomes
suspect and, after a further timeout, dead. Suspicions are gossiped on
heartbeats; a router that receives a suspicion about itself refutes it with a
higher incarnation. Suspicion, incarnations and piggybacked updates follow
SWIM (Das, Gupta and Motivala, 2002).

This module holds the state; :mod:`kumquatseam.fleet._heartbeats` does the
sending.
"""

import math
import time
from collections.abc import Callable, Iterable, Mapping

import attrs
import xxhash

from kumquatseam.fleet._messages import Heartbeat, MembershipUpdate, RouterSummary
from kumquatseam.logs import part_logger
from kumquatseam.settings import FleetSettings

_log = part_logger("membership")

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
_SEVERITY = {ALIVE: 0, SUSPECT: 1, DEAD: 2}
#: up to this many peers, each router sends heartbeats to all of them.
MAX_FULL_MESH_PEERS = 8
#: most membership updates carried on one heartbeat.
UPDATES_PER_HEARTBEAT = 8


@attrs.define
class Member:
    """A peer's state as known to this router.

    :param name: its name.
    :param address: its control address.
    :param incarnation: its last known incarnation.
    :param state: ``"alive"``, ``"suspect"`` or ``"dead"``.
    :param since_s: monotonic time it entered that state.
    :param next_offset: offset up to which its configuration is in force.
    :param unanswered_since_s: monotonic time at which its oldest unanswered
        heartbeat was sent; ``None`` if all were answered.
    """

    name: str
    address: str
    incarnation: int = 0
    state: str = ALIVE
    since_s: float = 0.0
    next_offset: int = 0
    unanswered_since_s: float | None = None


@attrs.define
class _PendingUpdate:
    update: MembershipUpdate
    sends_left: int


StateHandler = Callable[[str, str], None]


class Membership:
    """This router's view of its peers.

    :param name: this router's name.
    :param address: its control address.
    :param incarnation: a number higher than at any earlier start.
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
        self._pending_updates: dict[str, _PendingUpdate] = {}
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
        """Return this router's rank among the routers that may acquire a lease.

        :param duty: name of the lease.
        """
        names = [m.name for m in self._members.values() if m.state == ALIVE]
        ranked = sorted(
            [*names, self.name], key=lambda n: _ring_position(f"{duty}:{n}")
        )
        return ranked.index(self.name)

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Update the peers from the platform's list of routers, which lags.

        A peer no longer listed is removed once it is also dead.

        :param addresses: control addresses by router name.
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
        """Return the peers to send heartbeats to.

        In a small fleet these are all peers, in a larger one those at
        power-of-two distances on the ring.
        """
        ring = sorted(
            [m for m in self._members.values() if m.state != DEAD],
            key=lambda m: _ring_position(m.name),
        )
        own_position = _ring_position(self.name)
        start = sum(_ring_position(m.name) < own_position for m in ring)
        if len(ring) <= MAX_FULL_MESH_PEERS:
            return ring
        found = []
        distance = 1
        while distance <= len(ring):
            found.append(ring[(start + distance - 1) % len(ring)])
            distance *= 2
        return found

    def is_ring_topology(self) -> bool:
        """Return whether the fleet is too large for a full mesh."""
        return (
            sum(m.state != DEAD for m in self._members.values()) > MAX_FULL_MESH_PEERS
        )

    def heartbeat(self, next_offset: int, summary: RouterSummary) -> Heartbeat:
        """Return the next heartbeat to send, with pending membership updates."""
        return Heartbeat(
            self.name,
            self.address,
            self.incarnation,
            next_offset,
            self._next_updates(),
            summary,
        )

    def note_heartbeat_sent(self, name: str) -> None:
        """Record that a heartbeat was sent to ``name``."""
        member = self._members.get(name)
        if member is not None and member.unanswered_since_s is None:
            member.unanswered_since_s = self._clock()

    def receive(self, heartbeat: Heartbeat) -> None:
        """Handle a peer's heartbeat, or its reply to one from this router."""
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
        member.unanswered_since_s = None
        member.next_offset = max(member.next_offset, heartbeat.next_offset)
        member.incarnation = heartbeat.incarnation
        # A direct message disproves any suspicion: those come from timeouts only.
        self._set_state(member, ALIVE)
        for update in heartbeat.news:
            self._apply_update(update)

    def tick(self) -> None:
        """Mark peers as suspect, and suspects as dead, after their timeouts."""
        now_s = self._clock()
        for member in self._members.values():
            unanswered_s = (
                now_s - member.unanswered_since_s
                if member.unanswered_since_s is not None
                else 0
            )
            if member.state == ALIVE and unanswered_s >= self._settings.suspect_after_s:
                self._set_state(member, SUSPECT)
            elif (
                member.state == SUSPECT
                and now_s - member.since_s >= self._settings.dead_after_s
            ):
                self._set_state(member, DEAD)

    def _apply_update(self, update: MembershipUpdate) -> None:
        if update.name == self.name:
            if update.state != ALIVE and update.incarnation >= self.incarnation:
                self.incarnation = update.incarnation + 1
                _log.info(
                    "Refuting own state {} with incarnation={}.",
                    update.state,
                    self.incarnation,
                )
                self._queue_update(MembershipUpdate(self.name, self.incarnation, ALIVE))
            return
        member = self._members.get(update.name)
        if member is None or update.incarnation < member.incarnation:
            return
        is_newer = update.incarnation > member.incarnation
        if is_newer or _SEVERITY[update.state] > _SEVERITY[member.state]:
            member.incarnation = update.incarnation
            self._set_state(member, update.state)

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
            member.unanswered_since_s = None
        for handler in self._handlers:
            handler(member.name, state)
        self._queue_update(MembershipUpdate(member.name, member.incarnation, state))

    def _queue_update(self, update: MembershipUpdate) -> None:
        known = self._pending_updates.get(update.name)
        if known is not None and known.update == update:
            return
        count = max(2, len(self._members) + 1)
        self._pending_updates[update.name] = _PendingUpdate(
            update, 3 * math.ceil(math.log2(count))
        )

    def _next_updates(self) -> tuple[MembershipUpdate, ...]:
        """Return the most severe and least sent updates and count this sending."""
        chosen = sorted(
            self._pending_updates.values(),
            key=lambda p: (-_SEVERITY[p.update.state], -p.sends_left),
        )
        chosen = chosen[:UPDATES_PER_HEARTBEAT]
        for pending in chosen:
            pending.sends_left -= 1
            if pending.sends_left <= 0:
                del self._pending_updates[pending.update.name]
        return tuple(pending.update for pending in chosen)


def next_incarnation() -> int:
    """Return an incarnation higher than that of any earlier start."""
    return int(time.time() * 1000)


def router_addresses(instances: Iterable) -> dict[str, str]:
    """Return the control address of every router in the instance list, by name."""
    return {i.name: i.address for i in instances if i.kind == "router"}


def _ring_position(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
