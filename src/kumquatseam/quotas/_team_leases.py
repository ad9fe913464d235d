"""Quota that this instance holds on lease; loaded with the first one."""

from typing import TYPE_CHECKING

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.quotas._errors import QuotaExceededError
from kumquatseam.quotas._messages import (
    MIN_LEASE_S,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    VersionedLimit,
)
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.quotas._teams import QuotaGrant

if TYPE_CHECKING:
    from kumquatseam.admission.token_bucket import TokenBucket

_log = part_logger("quota")

#: shards tried before a request is refused, since one shard may be used up while
#: others are not.
MAX_SHARDS_TRIED = 2
#: assumed number of instances while the list of instances is not known.
ASSUMED_INSTANCES = 64
#: time over which the use of a quota is averaged.
USAGE_WINDOW_S = 1.0


@attrs.define
class _LocalLease:
    """The quota of one team that this instance holds on lease.

    :param version: the configuration version that it was granted under.
    :param shard: the shard that it was granted from.
    :param amount: the unused amount.
    :param expires_s: when the unused amount must be returned.
    :param usage_per_s: recent usage by requests of this instance.
    :param usage_updated_s: when ``usage_per_s`` was updated.
    :param unreported: usage admitted while no owner replied, to be reported with the
        next lease request.
    :param fallback_bucket: limits the unreported usage.
    :param unreturned: unused amounts of earlier leases, by shard, whose owners could
        not be reached.
    """

    version: int
    shard: QuotaShard
    amount: int = 0
    expires_s: float = 0.0
    usage_per_s: float = 0.0
    usage_updated_s: float = 0.0
    unreported: int = 0
    fallback_bucket: "TokenBucket | None" = None
    unreturned: dict[QuotaShard, int] = attrs.Factory(dict)

    def record_usage(self, amount: int, now_s: float) -> None:
        """Add a request's cost to the recent usage."""
        decay = max(0.0, 1.0 - (now_s - self.usage_updated_s) / USAGE_WINDOW_S)
        self.usage_per_s = self.usage_per_s * decay + amount / USAGE_WINDOW_S
        self.usage_updated_s = now_s


class TeamLeases:
    """Takes quota for requests from leases, and extends these in one round trip.

    :param owners: the owners of quotas.
    """

    def __init__(self, owners: ShardOwners) -> None:
        self._owners = owners
        self._name = owners.name
        self._clock = owners.clock
        self._leases: dict[str, _LocalLease] = {}
        self.refused = 0
        self.decided_locally = 0

    def take(
        self, team: str, limit: VersionedLimit, cost: int, request_id: str
    ) -> QuotaGrant:
        """Deduct a request's cost from the lease on its team's quota.

        :raises QuotaExceededError: if no quota is left.
        """
        lease = self._lease_for(team, limit.version)
        now_s = self._clock()
        if lease.expires_s <= now_s:
            self._return(lease)
        lease.record_usage(cost, now_s)
        is_over = False
        if lease.amount < cost:
            is_over = self._extend(lease, limit, cost, request_id)
        lease.amount -= cost
        return QuotaGrant(team, cost, is_over)

    def refund(self, grant: QuotaGrant) -> None:
        """Return the quota of a request that did not run."""
        lease = self._leases.get(grant.team)
        if lease is None:
            return
        now_s = self._clock()
        if lease.expires_s <= now_s:
            lease.expires_s = now_s + MIN_LEASE_S
        lease.amount += grant.amount

    def sweep(self) -> None:
        """Return the unused amounts of expired leases."""
        now_s = self._clock()
        for lease in self._leases.values():
            if lease.amount > 0 and lease.expires_s <= now_s:
                self._return(lease)
            elif lease.unreturned:
                self._send_unreturned(lease)

    def _lease_for(self, team: str, version: int) -> _LocalLease:
        """Return the lease on a team's quota, granted under ``version`` or later."""
        count = self._owners.count_shards()
        lease = self._leases.get(team)
        if lease is None:
            shard = self._preferred_shard(team, count)
            lease = self._leases[team] = _LocalLease(version, shard)
        elif version > lease.version or lease.shard.count != count:
            self._return(lease)
            lease.version = max(version, lease.version)
            lease.shard = self._preferred_shard(team, count)
            lease.fallback_bucket = None
        return lease

    def _preferred_shard(self, team: str, count: int) -> QuotaShard:
        """Return the shard that this instance tries first."""
        return QuotaShard(team, self._owners.preferred_number(team, count), count)

    def _return(self, lease: _LocalLease) -> None:
        """Return the unused amount of a lease."""
        amount, lease.amount = lease.amount, 0
        if amount > 0:
            unreturned = lease.unreturned.get(lease.shard, 0)
            lease.unreturned[lease.shard] = unreturned + amount
        self._send_unreturned(lease)

    def _send_unreturned(self, lease: _LocalLease) -> None:
        """Send unused amounts to the owners that respond; keep the others."""
        for shard, unused in list(lease.unreturned.items()):
            record = self._owners.responsive_owner(shard)
            if record is not None:
                del lease.unreturned[shard]
                self._owners.give_back(record, QuotaLeaseReturn(shard, unused))

    def _extend(
        self, lease: _LocalLease, limit: VersionedLimit, cost: int, request_id: str
    ) -> bool:
        """Extend a lease by what a request needs.

        :returns: whether the amount exceeds the quota.
        :raises QuotaExceededError: if no quota is left.
        """
        shard = lease.shard
        reply = self._request_from_shards(lease, limit, cost)
        if reply is None:
            reply = self._decide_locally(lease, limit, cost)
        _log.bind(
            request=request_id,
            team=shard.subject,
            version=limit.version,
            rate_per_s=limit.rate_per_s,
            needed=cost,
            lent=reply.lent,
            is_over=reply.is_over,
            wait_s=reply.wait_ms / 1000.0,
            keeper=reply.keeper,
        ).debug("Quota asked for.")
        if not reply.lent:
            self.refused += 1
            raise QuotaExceededError(
                shard.subject,
                cost,
                limit.rate_per_s,
                reply.wait_ms / 1000.0,
                reply.keeper or self._name,
            )
        lease.amount += reply.lent
        lease.expires_s = self._clock() + reply.lease_ms / 1000.0
        return reply.is_over

    def _request_from_shards(
        self, lease: _LocalLease, limit: VersionedLimit, cost: int
    ) -> QuotaLeaseReply | None:
        """Request quota from the preferred shard, then from others if it is used up.

        :returns: ``None`` if no owner replies, or the owners are not known.
        """
        if not self._owners.are_known():
            return None
        shard = lease.shard
        reply = None
        for step in range(min(MAX_SHARDS_TRIED, shard.count)):
            number = (shard.number + step) % shard.count
            reply = self._request_from_shard(
                lease, attrs.evolve(shard, number=number), limit, cost
            )
            if reply is None or reply.lent:
                break
        return reply

    def _request_from_shard(
        self, lease: _LocalLease, shard: QuotaShard, limit: VersionedLimit, cost: int
    ) -> QuotaLeaseReply | None:
        """Return the reply of the first instance in the shard's order that replies."""
        prefetch = lease.usage_per_s * MIN_LEASE_S
        unreported, lease.unreported = lease.unreported, 0
        for record in self._owners.of(shard):
            request = QuotaLeaseRequest(
                self._owners.calls.next_number(),
                shard,
                limit,
                cost,
                # An expected usage below one request does not need a prefetch.
                int(prefetch) if prefetch > cost else 0,
                unreported,
            )
            reply = self._owners.call(record, request)
            if reply is not None:
                return reply
        lease.unreported += unreported
        return None

    def _decide_locally(
        self, lease: _LocalLease, limit: VersionedLimit, cost: int
    ) -> QuotaLeaseReply:
        """Limit requests to this instance's equal share while no owner replies.

        The admitted amount is reported to the owner later.
        """
        now_s = self._clock()
        if lease.fallback_bucket is None:
            instances = self._owners.count_instances()
            if not self._owners.are_known():
                instances = max(instances, ASSUMED_INSTANCES)
            burst = limit.burst / instances
            rate_per_s = limit.rate_per_s / instances
            # A level of 1 admits one request of any cost, which puts the bucket in
            # debt.
            # Loaded when first needed.
            from kumquatseam.admission.token_bucket import TokenBucket

            lease.fallback_bucket = TokenBucket(rate_per_s, burst, 1.0, now_s)
        self.decided_locally += 1
        if not lease.fallback_bucket.try_consume(cost, now_s):
            wait_ms = int(lease.fallback_bucket.schedule_retry(cost, now_s) * 1000)
            return QuotaLeaseReply(0, 0, wait_ms=wait_ms, keeper=self._name)
        lease.unreported += cost
        return QuotaLeaseReply(0, cost, keeper=self._name)
