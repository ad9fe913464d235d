"""Finding and calling the owners of a shard."""

import time
from collections.abc import Callable, Sequence

import attrs
import gevent.event

from kumquatseam.peers import (
    DatagramCalls,
    DatagramLink,
    InstanceRecord,
    RendezvousOrder,
)
from kumquatseam.quotas._allocator import QuotaAllocator
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaTolerance,
    QuotaUsageUpdate,
)
from kumquatseam.routes import RouteTable
from kumquatseam.upstreams import AnnouncedLimits, LimitReport

#: instances that one owner serves at most. A larger fleet splits each team's quota into
#: shards, so that an owner's load does not grow with the fleet.
INSTANCES_PER_SHARD = 200
#: after the shard count changed, instances that do not know of it use the owners of
#: the previous shards for up to this long. Meanwhile each grant is deducted
#: ``RESHARDING_CHARGE_FACTOR`` times.
RESHARDING_S = 3.0
RESHARDING_CHARGE_FACTOR = 4


@attrs.frozen
class QuotaParts:
    """The dependencies of :class:`ShardOwners`.

    :param name: this instance.
    :param list_instances: returns every known instance.
    :param link: carries messages between two instances.
    :param current_table: returns the configuration in force, if any.
    :param tolerance: how far the fleet may exceed a quota.
    :param are_instances_known: whether the list of instances has been read. Before
        that, each instance would choose itself as the owner of every quota.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param limits: the limits that upstreams announced.
    """

    name: str
    list_instances: Callable[[], Sequence[InstanceRecord]]
    link: DatagramLink
    current_table: Callable[[], RouteTable | None] = lambda: None
    tolerance: QuotaTolerance = QuotaTolerance()
    are_instances_known: Callable[[], bool] = lambda: True
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait
    limits: AnnouncedLimits = attrs.Factory(AnnouncedLimits)


class ShardOwners:
    """Calls the owners of shards, of which this instance may be one.

    :param parts: the dependencies.
    """

    def __init__(self, parts: QuotaParts) -> None:
        self.name = parts.name
        self.clock = parts.clock
        self.limits = parts.limits
        self.are_known = parts.are_instances_known
        self._list_instances = parts.list_instances
        self._order = RendezvousOrder(parts.list_instances)
        self._link = parts.link
        self.allocator = QuotaAllocator(
            parts.name, parts.current_table, parts.tolerance, parts.limits, parts.clock
        )
        self.calls = DatagramCalls(parts.link, QuotaLeaseReply, parts.clock, parts.wait)
        self._shard_count: int | None = None
        self._resharded_s = float("-inf")
        allocator = self.allocator
        parts.link.on_message(QuotaLeaseRequest, self._reply_to_request)
        parts.link.on_message(
            QuotaUsageUpdate, lambda m, _: allocator.apply_usage_update(m)
        )
        parts.link.on_message(QuotaLeaseReturn, lambda m, _: allocator.apply_return(m))
        parts.link.on_message(LimitReport, lambda m, _: parts.limits.merge_report(m))

    def count_instances(self) -> int:
        """Return the number of known instances."""
        return len(self._list_instances())

    def count_shards(self) -> int:
        """Return the number of shards per team quota."""
        count = -(-self.count_instances() // INSTANCES_PER_SHARD)
        if count != self._shard_count and self.are_known():
            if self._shard_count is not None:
                self._resharded_s = self.clock()
            self._shard_count = count
        return count

    def of(self, shard: QuotaShard) -> Sequence[InstanceRecord]:
        """Return the owners of a shard, the preferred one first."""
        return self._order.owners_of(shard.key)

    def responsive_owner(self, shard: QuotaShard) -> InstanceRecord | None:
        """Return the first owner of a shard that is not unresponsive."""
        for record in self.of(shard):
            if not self.calls.unresponsive.is_skipped(record.name):
                return record
        return None

    def call(
        self, record: InstanceRecord, request: QuotaLeaseRequest
    ) -> QuotaLeaseReply | None:
        """Return an owner's reply to a lease request; ``None`` without one in time."""
        if record.name == self.name:
            return self._decide(request)
        return self.calls.call(record, request)

    def send(self, record: InstanceRecord, message: object) -> None:
        """Send a message to another instance; it may get lost."""
        self._link.send(record.address, message)

    def give_back(self, record: InstanceRecord, returned: QuotaLeaseReturn) -> None:
        """Return an unused amount to an owner."""
        if record.name == self.name:
            self.allocator.apply_return(returned)
        else:
            self.send(record, returned)

    def note_usage(self, record: InstanceRecord, update: QuotaUsageUpdate) -> None:
        """Tell an owner what the others granted."""
        if record.name == self.name:
            self.allocator.apply_usage_update(update)
        else:
            self.send(record, update)

    def _reply_to_request(self, request: QuotaLeaseRequest, sender: str) -> None:
        self._link.send(sender, self._decide(request))

    def _decide(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        """Decide on a lease request as an owner of its shard."""
        if request.shard.is_upstream:
            return self.allocator.decide(request)
        self.count_shards()
        is_resharding = self.clock() - self._resharded_s < RESHARDING_S
        charge_factor = RESHARDING_CHARGE_FACTOR if is_resharding else 1
        reply = self.allocator.decide(request, charge_factor)
        self._replicate_usage(request, reply)
        return reply

    def _replicate_usage(
        self, request: QuotaLeaseRequest, reply: QuotaLeaseReply
    ) -> None:
        """Report the usage to the next owner, which takes over if this one fails."""
        amount = reply.lent + request.unpaid
        if not amount:
            return
        update = QuotaUsageUpdate(request.shard, request.limit, amount, reply.is_over)
        for record in self.of(request.shard)[:2]:
            if record.name != self.name:
                self.send(record, update)
                break
