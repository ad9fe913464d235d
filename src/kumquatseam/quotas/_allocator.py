"""Granting leases from the shards owned by this instance."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaTolerance,
    QuotaUsageUpdate,
    VersionedLimit,
)
from kumquatseam.quotas._owned_shard import OwnedShard
from kumquatseam.routes import RouteTable
from kumquatseam.upstreams import AnnouncedLimits, LimitReport

if TYPE_CHECKING:
    from kumquatseam.quotas._team_shard import TeamShard
    from kumquatseam.quotas._upstream_shard import UpstreamShard

#: fill of a bucket when its owner starts. A restarted owner does not know past
#: usage: a full bucket would grant the burst twice, an empty one would block the team.
INITIAL_FILL_RATIO = 0.5
#: a shard without requests for this long is dropped; its bucket is full by then.
IDLE_EXPIRY_S = 60.0
#: number of shards at which idle ones are dropped.
EXPIRY_MIN_SHARDS = 256


class QuotaAllocator:
    """Grants leases from the shards owned by this instance.

    :param name: this instance.
    :param current_table: returns the configuration in force here, if any.
    :param tolerance: how far the fleet may exceed a quota.
    :param limits: the limits that upstreams announced.
    :param started_s: when this instance started, by the clock.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        current_table: Callable[[], RouteTable | None],
        tolerance: QuotaTolerance,
        limits: AnnouncedLimits,
        started_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._current_table = current_table
        self._tolerance = tolerance
        self._limits = limits
        self._clock = clock
        self._started_s = started_s
        self._shards: dict[QuotaShard, OwnedShard] = {}

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
        if request.shard.is_upstream:
            return self._decide_for_upstream(request)
        limit = self._newer_limit(request.shard.subject, request.limit)
        if limit is None:
            return QuotaLeaseReply(request.number, request.needed, keeper=self._name)
        owned = self._team_shard(request.shard, limit, charge_factor > 1)
        reply = owned.decide(request, self._clock(), charge_factor)
        return attrs.evolve(reply, keeper=self._name)

    def used_up_s(self, incarnation_id: str) -> float:
        """Return the time until an upstream's limit has room for a request.

        :returns: 0 if it has room, as far as this instance knows.
        """
        owned = self._shards.get(QuotaShard(incarnation_id, is_upstream=True))
        return owned.used_up_s(self._clock()) if owned is not None else 0.0

    def apply_usage_update(self, update: QuotaUsageUpdate) -> None:
        """Deduct what other owners of a shard granted."""
        if update.shard.is_upstream:
            owned = self._upstream_shard(update.shard, update.report)
            if owned is not None:
                owned.note_usage(update.amount, self._clock())
            return
        limit = self._newer_limit(update.shard.subject, update.limit)
        if limit is not None:
            owned = self._team_shard(update.shard, limit)
            owned.note_usage(update.amount, update.is_over, self._clock())

    def apply_return(self, returned: QuotaLeaseReturn) -> None:
        """Refill a shard with the unused part of a lease."""
        owned = self._shards.get(returned.shard)
        if owned is not None:
            owned.refund(returned.amount, self._clock())

    def _decide_for_upstream(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        owned = self._upstream_shard(request.shard, request.report)
        if owned is None:
            reply = QuotaLeaseReply(request.number, request.needed)
        else:
            reply = owned.decide(request, self._clock())
        report = self._limits.report_of(request.shard.subject)
        return attrs.evolve(reply, keeper=self._name, report=report)

    def _upstream_shard(
        self, shard: QuotaShard, report: LimitReport | None
    ) -> "UpstreamShard | None":
        """Return the state of an upstream's limit; ``None`` if it has no limit.

        :param report: the limit as another instance knows it.
        """
        if report is not None:
            self._limits.merge_report(report)
        known = self._limits.of(shard.subject)
        if not known.is_limited:
            self._shards.pop(shard, None)
            return None
        now_s = self._clock()
        owned = self._shards.get(shard)
        if owned is None:
            from kumquatseam.quotas._upstream_shard import UpstreamShard

            self._drop_idle(now_s)
            owned = self._shards[shard] = UpstreamShard(known.rate_per_s, now_s)
        owned.set_rate(known.rate_per_s, now_s)
        return owned

    def _newer_limit(
        self, team: str, requested: VersionedLimit | None
    ) -> VersionedLimit | None:
        """Return the newer of the limits known to the requesting and this instance.

        Either instance may have an outdated configuration.

        :returns: ``None`` if the newer configuration sets no quota.
        """
        table = self._current_table()
        if table is None or requested is None or table.version <= requested.version:
            return requested
        quota = table.quota_of(team)
        if quota is None:
            return None
        return VersionedLimit(table.version, quota.rate_per_s, quota.burst)

    def _team_shard(
        self, shard: QuotaShard, limit: VersionedLimit, is_resharding: bool = False
    ) -> "TeamShard":
        """Return the state of a shard of a team's quota; create it at its first use."""
        from kumquatseam.quotas._team_shard import ShardSize, TeamShard

        now_s = self._clock()
        size = ShardSize.of(shard, limit, self._tolerance)
        owned = self._shards.get(shard)
        if owned is None:
            self._drop_idle(now_s)
            # This instance has granted nothing of the shard since its start. During
            # a change of the shard count, other owners have.
            up_s = now_s - self._started_s
            level = size.burst * INITIAL_FILL_RATIO + size.rate_per_s * up_s
            level = 0.0 if is_resharding else level
            window_s = self._tolerance.window_s
            owned = TeamShard(size, level, limit.version, window_s, now_s)
            self._shards[shard] = owned
        elif limit.version > owned.version:
            owned.resize(size, limit.version, now_s)
        return owned

    def _drop_idle(self, now_s: float) -> None:
        if len(self._shards) < EXPIRY_MIN_SHARDS:
            return
        for shard, owned in list(self._shards.items()):
            if now_s - owned.last_request_s > IDLE_EXPIRY_S:
                del self._shards[shard]
