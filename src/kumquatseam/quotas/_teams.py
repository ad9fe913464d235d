"""Acquiring quota for requests."""

from typing import TYPE_CHECKING

import attrs

from kumquatseam.quotas._messages import VersionedLimit
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.routes import TeamTraits

if TYPE_CHECKING:
    from kumquatseam.quotas._team_leases import TeamLeases

#: interval at which expired leases are returned.
SWEEP_INTERVAL_S = 0.25


@attrs.frozen
class QuotaGrant:
    """The quota acquired for a request.

    :param team: the team.
    :param amount: the amount, in requests or tokens.
    :param is_over: whether it exceeds the quota: the request may run only if it
        delays no other request.
    """

    team: str
    amount: int
    is_over: bool = False


class TeamQuotas:
    """Acquires quota for requests, from a lease held here or in one round trip.

    :param owners: the owners of quotas.
    """

    def __init__(self, owners: ShardOwners) -> None:
        self._owners = owners
        self._leases: TeamLeases | None = None

    @property
    def refused(self) -> int:
        """The number of requests for which no quota was left."""
        return self._leases.refused if self._leases is not None else 0

    @property
    def decided_locally(self) -> int:
        """The number of requests decided on while no owner replied."""
        return self._leases.decided_locally if self._leases is not None else 0

    def acquire(
        self, team: TeamTraits, tokens: int | None, version: int, request_id: str
    ) -> QuotaGrant | None:
        """Deduct a request's cost from its team's quota.

        :param tokens: the request's declared number of tokens, if any.
        :param version: the configuration version that ``team`` is from.
        :returns: ``None`` if the team has no quota, or the request costs nothing.
        :raises QuotaExceededError: if no quota is left.
        """
        quota = team.quota
        cost = quota.cost(tokens) if quota is not None else 0
        if cost <= 0:
            return None
        if self._leases is None:
            # Loaded with the first team that has a quota.
            from kumquatseam.quotas._team_leases import TeamLeases

            self._leases = TeamLeases(self._owners)
        limit = VersionedLimit(version, quota.rate_per_s, quota.burst)
        return self._leases.take(team.name, limit, cost, request_id)

    def refund(self, grant: QuotaGrant) -> None:
        """Return the quota of a request that did not run."""
        if self._leases is not None:
            self._leases.refund(grant)

    def sweep(self) -> None:
        """Return the unused amounts of expired leases."""
        if self._leases is not None:
            self._leases.sweep()
