"""Enforcing team quotas across all instances.

A quota applies to the whole fleet, while an instance of a large fleet sees about
one request of a team per second. So each quota has an owner, the first instance for
it in rendezvous-hash order, which holds its token bucket. The other instances
request short leases from the owner, larger than one request needs if they see many.
The unused part of a lease is returned when it expires. The owner reports what it
leased to the next instance in the order, which takes over if the owner fails. Where
a message, log line or metric says ``keeper``, it means the owner.

- :class:`TeamQuotas` acquires quota for requests and refunds what did not run.
- :class:`QuotaAllocator` grants leases from the quotas owned by this instance.
- :class:`QuotaExceededError` says when to retry.
"""

from kumquatseam.quotas._allocator import QuotaAllocator
from kumquatseam.quotas._errors import QuotaExceededError
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
from kumquatseam.quotas._teams import (
    SWEEP_INTERVAL_S,
    QuotaGrant,
    QuotaParts,
    TeamQuotas,
)

__all__ = [
    "DATAGRAM_KINDS",
    "SWEEP_INTERVAL_S",
    "QuotaAllocator",
    "QuotaExceededError",
    "QuotaGrant",
    "QuotaLeaseReply",
    "QuotaLeaseRequest",
    "QuotaLeaseReturn",
    "QuotaParts",
    "QuotaShard",
    "QuotaTolerance",
    "QuotaUsageUpdate",
    "TeamQuotas",
    "VersionedLimit",
]
