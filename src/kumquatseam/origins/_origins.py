"""Remembering and finding the origins of streams in the whole fleet."""

import time
from collections.abc import Callable, Sequence

import attrs
import gevent.event

from kumquatseam.origins._messages import OriginNotice, OriginQuery, OriginReply
from kumquatseam.origins._table import KeptOrigin, OriginTable
from kumquatseam.peers import (
    DatagramCalls,
    DatagramLink,
    InstanceRecord,
    KeyOwners,
    RendezvousOrder,
    UnresponsivePeers,
)
from kumquatseam.upstreams import ServiceVersion

#: interval at which outdated origins are dropped.
SWEEP_INTERVAL_S = 2.0
#: groups of streams with the same owners. Selecting owners takes longer in a larger
#: fleet, so they are selected once for each group.
OWNER_GROUPS = 1024
#: times that owners are asked, if some of them do not reply.
MAX_ROUNDS = 2


@attrs.frozen
class OriginSearch:
    """The result of a search for a stream's origin.

    :param origin: the origin, if it is known.
    :param source: who knew it: this instance by its name, or ``"owner"``.
    :param age_s: how long it has been known there.
    :param asked: the instances that were asked.
    :param is_complete: whether all of them replied.
    """

    origin: ServiceVersion | None = None
    source: str = ""
    age_s: float = 0.0
    asked: tuple[str, ...] = ()
    is_complete: bool = True


@attrs.frozen
class OriginParts:
    """The dependencies of :class:`StreamOrigins`.

    :param name: this instance.
    :param list_instances: returns every known instance.
    :param link: carries messages between two instances.
    :param are_instances_known: whether the list of instances has been read.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param unresponsive: the instances that are not waited for; shared with other users
        of the link.
    """

    name: str
    list_instances: Callable[[], Sequence[InstanceRecord]]
    link: DatagramLink
    are_instances_known: Callable[[], bool] = lambda: True
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait
    unresponsive: UnresponsivePeers | None = None


class StreamOrigins:
    """Origins of streams, each kept by this instance and by three owners.

    The owners are told before the first event is passed on, without waiting for them:
    what was sent arrives even if this process ends now. They are told again while the
    stream lasts, which makes up for lost messages and for owners that started since.
    An origin that nobody knows is never inferred from the replicas that are listed.

    :param parts: the dependencies.
    """

    def __init__(self, parts: OriginParts) -> None:
        self._name = parts.name
        self._clock = parts.clock
        self._are_known = parts.are_instances_known
        self.table = OriginTable(parts.clock)
        self._owners = KeyOwners(
            parts.name,
            RendezvousOrder(parts.list_instances, spreads_zones=True),
            parts.link,
            DatagramCalls(
                parts.link, (OriginReply,), parts.clock, parts.wait, parts.unresponsive
            ),
        )
        self._owners.on_notice(OriginNotice, self._keep)
        self._owners.on_request(OriginQuery, self._reply)
        self.searches = 0
        self.unknown = 0

    def note(self, key: bytes, origin: ServiceVersion, keep_s: float) -> None:
        """Keep the origin of a stream, and tell its owners.

        :param keep_s: how long its caller may take it up.
        """
        self.table.put(key, origin, keep_s)
        self._owners.notify_all(
            _owner_key(key),
            OriginNotice(
                key, origin.service, origin.software_version, int(keep_s * 1000)
            ),
        )

    def find(self, key: bytes) -> OriginSearch:
        """Search for the origin of a stream; takes a round trip to its owners."""
        self.searches += 1
        kept = self.table.get(key)
        if kept is not None:
            return self._from_table(kept)
        found = self._ask_owners(key) if self._are_known() else _NOT_SEARCHED
        self.unknown += found.origin is None
        return found

    def owners_of(self, key: bytes) -> Sequence[InstanceRecord]:
        """Return the instances that keep the origin of a stream for all others."""
        return self._owners.of(_owner_key(key))

    def sweep(self) -> None:
        """Drop outdated origins."""
        self.table.drop_outdated()

    def _from_table(self, kept: KeptOrigin) -> OriginSearch:
        age_s = self._clock() - kept.since_s
        self.unknown += kept.origin is None
        return OriginSearch(kept.origin, self._name, age_s)

    def _ask_owners(self, key: bytes) -> OriginSearch:
        owner_key = _owner_key(key)
        owners = self._owners.of(owner_key)
        asked = tuple(record.name for record in owners)
        replies: list[OriginReply] = []
        for _ in range(MAX_ROUNDS):
            query = OriginQuery(self._owners.calls.next_number(), key)
            replies = self._owners.call_all(owner_key, query, _is_known)
            known = next(filter(_is_known, replies), None)
            if known is not None:
                return self._from_reply(key, known, asked)
            if len(replies) == len(owners):
                break
        return OriginSearch(asked=asked, is_complete=len(replies) == len(owners))

    def _from_reply(
        self, key: bytes, reply: OriginReply, asked: tuple[str, ...]
    ) -> OriginSearch:
        origin = None
        if reply.service:
            origin = ServiceVersion(reply.service, reply.software_version)
        self.table.put(key, origin, reply.keep_ms / 1000.0)
        return OriginSearch(origin, "owner", reply.age_ms / 1000.0, asked)

    def _keep(self, notice: OriginNotice) -> None:
        origin = ServiceVersion(notice.service, notice.software_version)
        self.table.put(notice.key, origin, notice.keep_ms / 1000.0)

    def _reply(self, query: OriginQuery) -> OriginReply:
        kept = self.table.get(query.key)
        if kept is None:
            return OriginReply(query.number, is_known=False)
        now_s = self._clock()
        origin = kept.origin or ServiceVersion("", "")
        return OriginReply(
            query.number,
            True,
            origin.service,
            origin.software_version,
            int((now_s - kept.since_s) * 1000),
            int((kept.until_s - now_s) * 1000),
        )


#: what is known before the list of instances was read.
_NOT_SEARCHED = OriginSearch(is_complete=False)


def _is_known(reply: OriginReply) -> bool:
    return reply.is_known


def _owner_key(key: bytes) -> str:
    """Return the key that selects the owners of a stream's origin."""
    return f"origins/{int.from_bytes(key[:2], 'big') % OWNER_GROUPS}"
