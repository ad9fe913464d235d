"""Granting leases from the quotas owned by this instance."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.admission import TokenBucket
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaTolerance,
    QuotaUsageUpdate,
    VersionedLimit,
)
from kumquatseam.routes import RouteTable

#: fill of a bucket when its owner starts. A restarted owner does not know past
#: usage: a full bucket would grant the burst twice, an empty one would block the team.
INITIAL_FILL_RATIO = 0.5
#: share of the slack added to the burst, since requests reach the owner later and in
#: another order than they arrived in.
BURST_MARGIN_RATIO = 0.15
#: share of the tolerated excess granted to requests that run only if they delay no
#: other; the rest covers owners that restart and two instances that both act as owner.
GRANTED_EXCESS_RATIO = 0.35
#: share of the remaining quota that one lease may prefetch.
PREFETCH_RATIO = 0.25
#: shortest and longest duration of a lease. It grows with the rate of lease requests,
#: to limit that rate.
MIN_LEASE_S = 0.25
MAX_LEASE_S = 1.0
#: rate of lease requests for one shard above which leases grow.
BUSY_REQUESTS_PER_S = 100.0
#: time over which lease requests are counted.
RATE_WINDOW_S = 1.0
#: a shard without requests for this long is dropped; its bucket is full by then.
IDLE_EXPIRY_S = 60.0
#: number of shards at which idle ones are dropped.
EXPIRY_MIN_SHARDS = 256


@attrs.define
class _OwnedShard:
    """The state of a shard owned by this instance.

    :param bucket: what is left of the quota.
    :param excess_bucket: what is left of the quota and the grantable excess.
    :param version: the configuration version that sized the buckets.
    :param owned_since_s: since when this instance has tracked the shard's usage.
    :param recent_requests: decaying count of lease requests.
    :param last_request_s: time of the last lease request or usage update.
    """

    bucket: TokenBucket
    excess_bucket: TokenBucket
    version: int
    owned_since_s: float
    recent_requests: float = 0.0
    last_request_s: float = 0.0

    def charge(self, amount: float, now_s: float) -> None:
        """Deduct an amount, however much is left."""
        self.bucket.force_consume(amount, now_s)
        self.excess_bucket.force_consume(amount, now_s)


class QuotaAllocator:
    """Grants leases from the buckets of owned shards.

    :param name: this instance.
    :param current_table: returns the configuration in force here, if any.
    :param tolerance: how far the fleet may exceed a quota.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        current_table: Callable[[], RouteTable | None],
        tolerance: QuotaTolerance,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._current_table = current_table
        self._tolerance = tolerance
        self._clock = clock
        self._started_s = clock()
        self._shards: dict[QuotaShard, _OwnedShard] = {}
        self.refused = 0

    def __len__(self) -> int:
        return len(self._shards)

    def decide(
        self, request: QuotaLeaseRequest, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        """Grant or refuse a lease.

        :param charge_factor: how often a granted amount is deducted; above 1 during
            a change of the shard count, when the owners of the previous shards may
            still grant from the same quota.
        """
        limit = self._newer_limit(request.shard.team, request.limit)
        number, needed = request.number, request.needed
        if limit is None:
            return QuotaLeaseReply(number, needed, keeper=self._name)
        now_s = self._clock()
        owned = self._get_or_create(request.shard, limit, charge_factor > 1)
        self._count_request(owned, now_s)
        if request.unpaid:
            owned.charge(request.unpaid, now_s)
        if not owned.bucket.try_consume(needed * charge_factor, now_s):
            if self._may_exceed(
                owned, charge_factor, now_s
            ) and owned.excess_bucket.try_consume(needed, now_s):
                return QuotaLeaseReply(number, needed, keeper=self._name, is_over=True)
            self.refused += 1
            wait_ms = int(owned.bucket.schedule_retry(needed, now_s) * 1000)
            return QuotaLeaseReply(number, 0, wait_ms=wait_ms, keeper=self._name)
        owned.excess_bucket.force_consume(needed * charge_factor, now_s)
        remaining = max(0.0, owned.bucket.level(now_s))
        prefetched = int(min(request.wanted, remaining * PREFETCH_RATIO))
        owned.charge(prefetched * charge_factor, now_s)
        lease_ms = int(self._lease_s(owned) * 1000)
        return QuotaLeaseReply(number, needed + prefetched, lease_ms, keeper=self._name)

    def apply_usage_update(self, update: QuotaUsageUpdate) -> None:
        """Deduct what another owner of a shard granted."""
        limit = self._newer_limit(update.shard.team, update.limit)
        if limit is not None:
            owned = self._get_or_create(update.shard, limit)
            owned.last_request_s = self._clock()
            now_s = self._clock()
            owned.excess_bucket.force_consume(update.amount, now_s)
            if not update.is_over:
                owned.bucket.force_consume(update.amount, now_s)

    def apply_return(self, returned: QuotaLeaseReturn) -> None:
        """Refill a shard with the unused part of a lease."""
        owned = self._shards.get(returned.shard)
        if owned is not None:
            owned.bucket.refund(returned.amount, self._clock())
            owned.excess_bucket.refund(returned.amount, self._clock())

    def _may_exceed(self, owned: _OwnedShard, charge_factor: int, now_s: float) -> bool:
        """Return whether to grant beyond the quota.

        This requires that the usage of a whole window is known.
        """
        return (
            charge_factor == 1
            and now_s - owned.owned_since_s >= self._tolerance.window_s
        )

    def _newer_limit(
        self, team: str, requested: VersionedLimit
    ) -> VersionedLimit | None:
        """Return the newer of the limits known to the requesting and this instance.

        Either instance may have an outdated configuration.

        :returns: ``None`` if the newer configuration sets no quota.
        """
        table = self._current_table()
        if table is None or table.version <= requested.version:
            return requested
        quota = table.quota_of(team)
        if quota is None:
            return None
        return VersionedLimit(table.version, quota.rate_per_s, quota.burst)

    def _get_or_create(
        self, shard: QuotaShard, limit: VersionedLimit, is_resharding: bool = False
    ) -> _OwnedShard:
        now_s = self._clock()
        margin = self._tolerance.slack * BURST_MARGIN_RATIO
        rate_per_s = limit.rate_per_s / shard.count
        burst = (limit.burst + margin) / shard.count
        excess_per_s = (
            self._tolerance.excess_per_s(limit) * GRANTED_EXCESS_RATIO / shard.count
        )
        owned = self._shards.get(shard)
        if owned is None:
            self._drop_idle(now_s)
            # This instance has granted nothing of the shard since its start. During
            # a change of the shard count, other owners have.
            up_s = now_s - self._started_s
            level = burst * INITIAL_FILL_RATIO + rate_per_s * up_s
            level = 0.0 if is_resharding else level
            owned = self._shards[shard] = _OwnedShard(
                TokenBucket(rate_per_s, burst, level, now_s),
                TokenBucket(rate_per_s + excess_per_s, burst, level, now_s),
                limit.version,
                now_s,
            )
        elif limit.version > owned.version:
            owned.version = limit.version
            owned.bucket.resize(rate_per_s, burst, now_s)
            owned.excess_bucket.resize(rate_per_s + excess_per_s, burst, now_s)
        return owned

    def _count_request(self, owned: _OwnedShard, now_s: float) -> None:
        decay = max(0.0, 1.0 - (now_s - owned.last_request_s) / RATE_WINDOW_S)
        owned.recent_requests = owned.recent_requests * decay + 1
        owned.last_request_s = now_s

    @staticmethod
    def _lease_s(owned: _OwnedShard) -> float:
        # A count that decays linearly between requests converges to about their rate.
        factor = owned.recent_requests / RATE_WINDOW_S / BUSY_REQUESTS_PER_S
        return min(MAX_LEASE_S, MIN_LEASE_S * max(1.0, factor))

    def _drop_idle(self, now_s: float) -> None:
        if len(self._shards) < EXPIRY_MIN_SHARDS:
            return
        for shard, owned in list(self._shards.items()):
            if now_s - owned.last_request_s > IDLE_EXPIRY_S:
                del self._shards[shard]
