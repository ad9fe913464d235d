"""Remembering and finding the origins of streams in the whole fleet."""

import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs
import gevent.event

from kumquatseam.origins._messages import OriginNotice, OriginQuery, OriginReply
from kumquatseam.origins._table import OriginTable
from kumquatseam.peers import (
    DatagramCalls,
    DatagramLink,
    InstanceRecord,
    KeyOwners,
    RendezvousOrder,
    UnresponsivePeers,
)
from kumquatseam.upstreams import ServiceVersion

if TYPE_CHECKING:
    from kumquatseam.origins.search import OriginSearch

#: interval at which outdated origins are dropped.
SWEEP_INTERVAL_S = 2.0
#: groups of streams with the same owners. Selecting owners takes longer in a larger
#: fleet, so they are selected once for each group.
OWNER_GROUPS = 1024


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
        self.name = parts.name
        self.clock = parts.clock
        self.are_instances_known = parts.are_instances_known
        self.table = OriginTable(parts.clock)
        self.owners = KeyOwners(
            parts.name,
            RendezvousOrder(parts.list_instances, spreads_zones=True),
            parts.link,
            DatagramCalls(
                parts.link, (OriginReply,), parts.clock, parts.wait, parts.unresponsive
            ),
        )
        self.owners.on_notice(OriginNotice, self._keep)
        self.owners.on_request(OriginQuery, self._reply)
        self.searches = 0
        self.unknown = 0

    def note(self, key: bytes, origin: ServiceVersion, keep_s: float) -> None:
        """Keep the origin of a stream, and tell its owners.

        :param keep_s: how long its caller may take it up.
        """
        self.table.put(key, origin, keep_s)
        self.owners.notify_all(
            _owner_key(key),
            OriginNotice(
                key, origin.service, origin.software_version, int(keep_s * 1000)
            ),
        )

    def find(self, key: bytes) -> "OriginSearch":
        """Search for the origin of a stream; takes a round trip to its owners."""
        # Loaded with the first stream that a caller takes up.
        from kumquatseam.origins.search import find_origin

        self.searches += 1
        found = find_origin(self, key, _owner_key(key))
        self.unknown += found.origin is None
        return found

    def owners_of(self, key: bytes) -> Sequence[InstanceRecord]:
        """Return the instances that keep the origin of a stream for all others."""
        return self.owners.of(_owner_key(key))

    def sweep(self) -> None:
        """Drop outdated origins."""
        self.table.drop_outdated()

    def _keep(self, notice: OriginNotice) -> None:
        origin = ServiceVersion(notice.service, notice.software_version)
        self.table.put(notice.key, origin, notice.keep_ms / 1000.0)

    def _reply(self, query: OriginQuery) -> OriginReply:
        kept = self.table.get(query.key)
        if kept is None:
            return OriginReply(query.number, is_known=False)
        now_s = self.clock()
        origin = kept.origin or ServiceVersion("", "")
        return OriginReply(
            query.number,
            True,
            origin.service,
            origin.software_version,
            int((now_s - kept.since_s) * 1000),
            int((kept.until_s - now_s) * 1000),
        )


def _owner_key(key: bytes) -> str:
    """Return the key that selects the owners of a stream's origin."""
    return f"origins/{int.from_bytes(key[:2], 'big') % OWNER_GROUPS}"
