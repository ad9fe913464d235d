"""Keeping teams within their quotas over all instances.

A quota holds for the whole fleet, and an instance of a large one sees about one
request of a team a second. So each team has a keeper: the instance that comes
first for it by rendezvous hashing keeps its bucket, and the others ask for what
their requests need, with some more ahead where they see many. What is lent lapses
soon and goes back. The next instance in order is told what was lent, and goes on
from there if the keeper dies.

- :class:`TeamQuotas` takes what requests need, and gives back what did not run.
- :class:`QuotaKeeper` decides what is lent of the quotas kept here.
- :class:`QuotaExceededError` tells when to come back.
"""

from kumquatseam.quotas._errors import QuotaExceededError
from kumquatseam.quotas._keeper import QuotaKeeper
from kumquatseam.quotas._messages import (
    DATAGRAM_KINDS,
    LimitInForce,
    QuotaAnswer,
    QuotaQuestion,
    QuotaReturned,
    QuotaShard,
    QuotaSpent,
    QuotaTolerance,
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
    "LimitInForce",
    "QuotaAnswer",
    "QuotaExceededError",
    "QuotaGrant",
    "QuotaKeeper",
    "QuotaParts",
    "QuotaQuestion",
    "QuotaReturned",
    "QuotaShard",
    "QuotaSpent",
    "QuotaTolerance",
    "TeamQuotas",
]
