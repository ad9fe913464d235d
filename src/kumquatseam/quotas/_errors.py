"""The errors for requests that exceed a quota or the limit of an upstream."""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class QuotaExceededError(KumquatseamError):
    """A team has no quota left for a request.

    :param team: the team.
    :param cost: what the request needs, in requests or tokens.
    :param rate_per_s: the team's rate limit.
    :param retry_after_s: when the caller may retry.
    :param decided_by: the instance that refused the request.
    """

    team: str
    cost: int
    rate_per_s: float
    retry_after_s: float
    decided_by: str

    def __str__(self) -> str:
        return (
            f"quota: team {self.team!r} exceeds its quota of {self.rate_per_s:.0f} per "
            f"second; the request needs {self.cost}; refused by instance "
            f"{self.decided_by}"
        )


@attrs.define(frozen=True, eq=False)
class UpstreamLimitError(KumquatseamError):
    """The limit that an upstream announced has no room for a request.

    :param upstream: the upstream's incarnation.
    :param rate_per_s: its limit.
    :param retry_after_s: when there will be room.
    :param is_reserved: whether a place is reserved for the request then.
    :param decided_by: the instance that refused the request.
    """

    upstream: str
    rate_per_s: float
    retry_after_s: float
    is_reserved: bool
    decided_by: str

    def __str__(self) -> str:
        return (
            f"quota: upstream {self.upstream!r} accepts {self.rate_per_s:g} requests a "
            f"second; refused by instance {self.decided_by}"
        )


@attrs.define(frozen=True, eq=False)
class UpstreamFullError(KumquatseamError):
    """A brittle upstream has no place for a request.

    :param upstream: the upstream's incarnation.
    :param retry_after_s: when a place is expected to be free.
    :param is_waiting: whether the request has its turn then.
    :param decided_by: the instance that refused the place.
    """

    upstream: str
    retry_after_s: float
    is_waiting: bool
    decided_by: str

    def __str__(self) -> str:
        return (
            f"quota: brittle upstream {self.upstream!r} runs as many requests as it "
            f"bears; refused by instance {self.decided_by}"
        )
