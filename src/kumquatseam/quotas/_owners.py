"""Finding and calling the owners of a shard."""

import functools
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs
import gevent.event
import xxhash

from kumquatseam.clocks import elapsed_s
from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.peers import (
    DatagramCalls,
    DatagramLink,
    InstanceRecord,
    KeyOwners,
    RendezvousOrder,
)
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaTolerance,
    QuotaUsageUpdate,
    RetryHistory,
    RetryHistoryRequest,
)
from kumquatseam.quotas._retry_allocator import RetryAllocator
from kumquatseam.routes import RouteTable
from kumquatseam.upstreams import AnnouncedLimits, LimitReport

if TYPE_CHECKING:
    from kumquatseam.quotas._allocator import QuotaAllocator
    from kumquatseam.quotas._place_allocator import PlaceAllocator

#: instances that one owner serves at most. A larger fleet splits each team's quota into
#: shards, so that an owner's load does not grow with the fleet.
INSTANCES_PER_SHARD = 200
#: shortest time between two requests for the history of a retry budget.
HISTORY_INTERVAL_S = 0.2
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
    :param retries: the retry budget of each service.
    :param retry_clock: clock of the retry budgets, which also counts the time in which
        this process is suspended.
    :param is_first_start: whether the whole fleet starts for the first time.
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
    retries: RetrySettings = RetrySettings()
    retry_clock: Callable[[], float] = elapsed_s
    is_first_start: bool = False


@attrs.define
class _HistoryQuery:
    """A query for the history of a retry budget.

    :param asked_s: when it was sent.
    :param addresses: the owners that it was sent to.
    :param histories: the replies, by address.
    """

    asked_s: float
    addresses: frozenset[str]
    histories: dict[str, RetryHistory] = attrs.Factory(dict)


class ShardOwners:
    """Calls the owners of shards, of which this instance may be one.

    :param parts: the dependencies.
    """

    def __init__(self, parts: QuotaParts) -> None:
        self.name = parts.name
        self.clock = parts.clock
        self.limits = parts.limits
        self.are_known = parts.are_instances_known
        self.retry_clock = parts.retry_clock
        self.is_first_start = parts.is_first_start
        self._list_instances = parts.list_instances
        self._link = parts.link
        self._owners = KeyOwners(
            parts.name,
            RendezvousOrder(parts.list_instances),
            parts.link,
            DatagramCalls(parts.link, (QuotaLeaseReply,), parts.clock, parts.wait),
        )
        self.calls = self._owners.calls
        self._parts = parts
        self._started_s = parts.clock()
        self.retry_allocator = RetryAllocator(
            parts.retries, parts.retry_clock, parts.is_first_start
        )
        self._shard_count: int | None = None
        self._resharded_s = float("-inf")
        self._history_queries: dict[QuotaShard, _HistoryQuery] = {}
        self._owners.on_request(QuotaLeaseRequest, self._decide)
        self._owners.on_notice(QuotaUsageUpdate, self._apply_usage)
        self._owners.on_notice(
            QuotaLeaseReturn, lambda notice: self.allocator.apply_return(notice)
        )
        parts.link.on_message(RetryHistoryRequest, self._send_history)
        parts.link.on_message(RetryHistory, self._collect_history)
        parts.link.on_message(LimitReport, lambda m, _: parts.limits.merge_report(m))

    @functools.cached_property
    def allocator(self) -> "QuotaAllocator":
        """Grants leases; loaded when an instance asks for the first one."""
        from kumquatseam.quotas._allocator import QuotaAllocator

        parts = self._parts
        return QuotaAllocator(
            parts.name,
            parts.current_table,
            parts.tolerance,
            parts.limits,
            self._started_s,
            parts.clock,
        )

    @property
    def owned_quotas(self) -> int:
        """The number of quotas and limits that this instance keeps for the fleet."""
        return len(self.allocator) if "allocator" in vars(self) else 0

    @functools.cached_property
    def place_allocator(self) -> "PlaceAllocator":
        """Grants places; loaded when an instance asks for the first one."""
        from kumquatseam.quotas._place_allocator import PlaceAllocator

        return PlaceAllocator(self.clock)

    @property
    def retry_settings(self) -> RetrySettings:
        """The retry budget of each service."""
        return self.retry_allocator.settings

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

    def preferred_number(self, subject: str, count: int) -> int:
        """Return the number of the shard that this instance tries first."""
        digest = xxhash.xxh3_64_intdigest(f"{subject}/{self.name}".encode())
        return digest % count

    def of(self, shard: QuotaShard) -> Sequence[InstanceRecord]:
        """Return the owners of a shard, the preferred one first."""
        return self._owners.of(shard.key)

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
        return self._owners.call(record, request)

    def send(self, record: InstanceRecord, message: object) -> None:
        """Send a message to another instance; it may get lost."""
        self._link.send(record.address, message)

    def give_back(self, record: InstanceRecord, returned: QuotaLeaseReturn) -> None:
        """Return an unused amount to an owner."""
        self._owners.notify(record, returned)

    def note_usage(self, record: InstanceRecord, update: QuotaUsageUpdate) -> None:
        """Tell an owner what the others granted."""
        self._owners.notify(record, update)

    def _decide(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        """Decide on a lease request as an owner of its shard."""
        if request.shard.is_retry_budget:
            self.retry_allocator.note_owners(request.shard, self.of(request.shard))
            reply = self.retry_allocator.decide(request)
            self._ask_for_history(request.shard)
            return attrs.evolve(reply, keeper=self.name)
        if request.shard.is_places:
            return self._decide_on_place(request)
        if request.shard.is_upstream:
            return self.allocator.decide(request)
        self.count_shards()
        is_resharding = self.clock() - self._resharded_s < RESHARDING_S
        charge_factor = RESHARDING_CHARGE_FACTOR if is_resharding else 1
        reply = self.allocator.decide(request, charge_factor)
        self._replicate_usage(request, reply)
        return reply

    def _decide_on_place(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        """Decide on a place, and tell what this instance knows of the service."""
        reply = self.place_allocator.decide(request)
        if request.report is not None:
            self.limits.merge_report(request.report)
            report = self.limits.report_of(request.report.incarnation_id)
            reply = attrs.evolve(reply, report=report)
        return attrs.evolve(reply, keeper=self.name)

    def used_up_s(self, incarnation_id: str) -> float:
        """Return the time until an upstream has room for a request.

        :returns: 0 if it has, as far as this instance knows.
        """
        used_up_s = full_s = 0.0
        # What nobody asked for is not loaded for this.
        if "allocator" in vars(self):
            used_up_s = self.allocator.used_up_s(incarnation_id)
        if "place_allocator" in vars(self):
            full_s = self.place_allocator.full_s(incarnation_id)
        return max(used_up_s, full_s)

    def _apply_usage(self, update: QuotaUsageUpdate) -> None:
        if update.shard.is_retry_budget:
            self.retry_allocator.note_owners(update.shard, self.of(update.shard))
            self.retry_allocator.apply_usage_update(update)
            self._ask_for_history(update.shard)
        elif update.shard.is_places:
            if update.report is not None:
                self.limits.merge_report(update.report)
            self.place_allocator.note_count(update)
        else:
            self.allocator.apply_usage_update(update)

    def _ask_for_history(self, shard: QuotaShard) -> None:
        """Ask the other owners of a retry budget, while this one is not sure of it."""
        if self.retry_allocator.is_sure(shard):
            self._history_queries.pop(shard, None)
            return
        now_s = self.retry_clock()
        query = self._history_queries.get(shard)
        if query is not None and now_s - query.asked_s < HISTORY_INTERVAL_S:
            return
        others = [record for record in self.of(shard) if record.name != self.name]
        addresses = frozenset(record.address for record in others)
        self._history_queries[shard] = _HistoryQuery(now_s, addresses)
        for record in others:
            self.send(record, RetryHistoryRequest(shard))

    def _collect_history(self, history: RetryHistory, sender: str) -> None:
        """Adopt the history of a budget once all its other owners sent theirs."""
        query = self._history_queries.get(history.shard)
        if query is None or sender not in query.addresses:
            return
        query.histories[sender] = history
        if len(query.histories) == len(query.addresses):
            del self._history_queries[history.shard]
            histories = tuple(query.histories.values())
            self.retry_allocator.adopt(history.shard, histories)

    def _send_history(self, request: RetryHistoryRequest, sender: str) -> None:
        """Send the history of a budget to another owner of it.

        An instance that owns it only by its own, different list of the instances must
        not grant from it a second time.
        """
        if all(record.address != sender for record in self.of(request.shard)):
            return
        history = self.retry_allocator.history(request.shard)
        if history is not None:
            self._link.send(sender, history)

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
