"""A request beyond its team's quota."""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class QuotaExceededError(KumquatseamError):
    """A team has used up its quota for now.

    :param team: the team.
    :param cost: what the request needs, in requests or tokens.
    :param rate_per_s: the team's quota a second.
    :param retry_after_s: when to come back.
    :param decided_by: the instance that keeps the quota.
    """

    team: str
    cost: int
    rate_per_s: float
    retry_after_s: float
    decided_by: str

    def __str__(self) -> str:
        return (
            f"quota: team {self.team!r} is over {self.rate_per_s:.0f} a second; "
            f"the request needs {self.cost}; kept by {self.decided_by}"
        )
