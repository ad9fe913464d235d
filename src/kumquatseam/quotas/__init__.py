"""Enforcing quotas of teams and limits of upstreams across all instances.

A quota applies to the whole fleet, while an instance of a large fleet sees about
one request of a team per second. So each quota has an owner, the first instance for
it in rendezvous-hash order, which holds its token bucket. The other instances
request short leases from the owner, larger than one request needs if they see many.
The unused part of a lease is returned when it expires. The owner reports what it
leased to the next instance in the order, which takes over if the owner fails. Where
a message, log line or metric says ``keeper``, it means the owner.

The limit that an upstream announces has owners and leases as well. It must not be
exceeded even when instances cannot reach each other, so a lease is for one request
and takes the consent of two of the three owners.

The retry budget of a service has three owners as well, for the same reason: a
retry takes the consent of two of them. So does a place at a brittle upstream, which
ends if it has to refuse too many requests.

- :class:`ShardOwners` finds and calls the owners.
- :class:`TeamQuotas` acquires quota for requests and refunds what did not run.
- :class:`UpstreamLimits` acquires grants for requests to upstreams with a limit.
- :class:`UpstreamPlaces` acquires places at brittle upstreams.
- :class:`RetryBudgets` acquires grants for retries of requests for a service.
- :class:`QuotaExceededError`, :class:`UpstreamLimitError` and
  :class:`UpstreamFullError` say when to retry.
"""

from kumquatseam.quotas._errors import (
    QuotaExceededError,
    UpstreamFullError,
    UpstreamLimitError,
)
from kumquatseam.quotas._messages import (
    DATAGRAM_KINDS,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaTolerance,
    QuotaUsageUpdate,
    VersionedLimit,
)
from kumquatseam.quotas._owners import QuotaParts, ShardOwners
from kumquatseam.quotas._place_grant import PlaceGrant
from kumquatseam.quotas._places import UpstreamPlaces
from kumquatseam.quotas._retries import RetryBudgets, RetryGrant
from kumquatseam.quotas._teams import SWEEP_INTERVAL_S, QuotaGrant, TeamQuotas
from kumquatseam.quotas._upstreams import CallerRetry, LimitGrant, UpstreamLimits

__all__ = [
    "DATAGRAM_KINDS",
    "SWEEP_INTERVAL_S",
    "CallerRetry",
    "LimitGrant",
    "PlaceGrant",
    "QuotaExceededError",
    "QuotaGrant",
    "QuotaLeaseReply",
    "QuotaLeaseRequest",
    "QuotaLeaseReturn",
    "QuotaParts",
    "QuotaShard",
    "QuotaTolerance",
    "QuotaUsageUpdate",
    "RetryBudgets",
    "RetryGrant",
    "ShardOwners",
    "TeamQuotas",
    "UpstreamFullError",
    "UpstreamLimitError",
    "UpstreamLimits",
    "UpstreamPlaces",
    "VersionedLimit",
]
