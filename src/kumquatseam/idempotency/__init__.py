"""At-most-once: claims on idempotency keys, kept in the log service.

:class:`ClaimLedger` records a claim before a request that must not be
repeated is sent anywhere; the first claim in log order wins.
"""

from kumquatseam.idempotency._ledger import CLAIM_TOPIC, ClaimLedger
from kumquatseam.idempotency._records import Claim, ClaimTable, Release

__all__ = ["CLAIM_TOPIC", "Claim", "ClaimLedger", "ClaimTable", "Release"]
