"""A shard of a team's quota."""

import attrs

from kumquatseam.admission.token_bucket import TokenBucket
from kumquatseam.quotas._messages import (
    MIN_LEASE_S,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    QuotaTolerance,
    VersionedLimit,
)
from kumquatseam.quotas._owned_shard import OwnedShard

#: share of the slack added to the burst, since requests reach the owner later and in
#: another order than they arrived in.
BURST_MARGIN_RATIO = 0.15
#: share of the tolerated excess granted to requests that run only if they delay no
#: other; the rest covers owners that restart and two instances that both act as owner.
GRANTED_EXCESS_RATIO = 0.35
#: share of the remaining quota that one lease may prefetch.
PREFETCH_RATIO = 0.25
#: longest duration of a lease. It grows with the rate of lease requests, to limit that
#: rate.
MAX_LEASE_S = 1.0
#: rate of lease requests for one shard above which leases grow.
BUSY_REQUESTS_PER_S = 100.0
#: time over which lease requests are counted.
RATE_WINDOW_S = 1.0


@attrs.frozen
class ShardSize:
    """Rate and burst of a shard.

    :param rate_per_s: its part of the team's rate.
    :param burst: its part of the team's burst.
    :param excess_per_s: its part of the grantable excess.
    """

    rate_per_s: float
    burst: float
    excess_per_s: float

    @classmethod
    def of(
        cls, shard: QuotaShard, limit: VersionedLimit, tolerance: QuotaTolerance
    ) -> "ShardSize":
        """Return the size of a shard of a quota."""
        margin = tolerance.slack * BURST_MARGIN_RATIO
        excess_per_s = tolerance.excess_per_s(limit) * GRANTED_EXCESS_RATIO
        return cls(
            limit.rate_per_s / shard.count,
            (limit.burst + margin) / shard.count,
            excess_per_s / shard.count,
        )


class TeamShard(OwnedShard):
    """Grants leases from a shard of a team's quota.

    :param size: its rate and burst.
    :param level: what is left of it at first.
    :param version: the configuration version that the size is from.
    :param window_s: the window in which the tolerance applies.
    :param now_s: the current time.
    """

    def __init__(
        self,
        size: ShardSize,
        level: float,
        version: int,
        window_s: float,
        now_s: float,
    ) -> None:
        super().__init__(now_s)
        self.bucket = TokenBucket(size.rate_per_s, size.burst, level, now_s)
        self.excess_bucket = TokenBucket(
            size.rate_per_s + size.excess_per_s, size.burst, level, now_s
        )
        self.version = version
        self._window_s = window_s
        self._owned_since_s = now_s
        self._recent_requests = 0.0

    def decide(
        self, request: QuotaLeaseRequest, now_s: float, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        number, needed = request.number, request.needed
        self._count_request(now_s)
        if request.unpaid:
            self._charge(request.unpaid, now_s)
        if not self.bucket.try_consume(needed * charge_factor, now_s):
            if self._may_exceed(
                charge_factor, now_s
            ) and self.excess_bucket.try_consume(needed, now_s):
                return QuotaLeaseReply(number, needed, is_over=True)
            wait_ms = int(self.bucket.schedule_retry(needed, now_s) * 1000)
            return QuotaLeaseReply(number, 0, wait_ms=wait_ms)
        self.excess_bucket.force_consume(needed * charge_factor, now_s)
        remaining = max(0.0, self.bucket.level(now_s))
        prefetched = int(min(request.wanted, remaining * PREFETCH_RATIO))
        self._charge(prefetched * charge_factor, now_s)
        return QuotaLeaseReply(number, needed + prefetched, int(self._lease_s() * 1000))

    def refund(self, amount: float, now_s: float) -> None:
        self.bucket.refund(amount, now_s)
        self.excess_bucket.refund(amount, now_s)

    def resize(self, size: ShardSize, version: int, now_s: float) -> None:
        """Apply the size of a newer configuration version."""
        self.version = version
        self.bucket.resize(size.rate_per_s, size.burst, now_s)
        self.excess_bucket.resize(
            size.rate_per_s + size.excess_per_s, size.burst, now_s
        )

    def note_usage(self, amount: float, is_over: bool, now_s: float) -> None:
        """Deduct what another owner of the shard granted."""
        self.last_request_s = now_s
        self.excess_bucket.force_consume(amount, now_s)
        if not is_over:
            self.bucket.force_consume(amount, now_s)

    def _charge(self, amount: float, now_s: float) -> None:
        """Deduct an amount, however much is left."""
        self.bucket.force_consume(amount, now_s)
        self.excess_bucket.force_consume(amount, now_s)

    def _may_exceed(self, charge_factor: int, now_s: float) -> bool:
        """Return whether to grant beyond the quota.

        This requires that the usage of a whole window is known.
        """
        return charge_factor == 1 and now_s - self._owned_since_s >= self._window_s

    def _count_request(self, now_s: float) -> None:
        decay = max(0.0, 1.0 - (now_s - self.last_request_s) / RATE_WINDOW_S)
        self._recent_requests = self._recent_requests * decay + 1
        self.last_request_s = now_s

    def _lease_s(self) -> float:
        # A count that decays linearly between requests converges to about their rate.
        factor = self._recent_requests / RATE_WINDOW_S / BUSY_REQUESTS_PER_S
        return min(MAX_LEASE_S, MIN_LEASE_S * max(1.0, factor))
