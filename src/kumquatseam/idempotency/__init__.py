"""At-most-once execution by claims on idempotency keys, stored in the log service.

:class:`ClaimLedger` records a claim before a request that must not run twice is sent
anywhere. The first claim in log order wins.
"""

from kumquatseam.idempotency._ledger import CLAIM_TOPIC, ClaimLedger
from kumquatseam.idempotency._records import Claim, ClaimTable, Release

__all__ = ["CLAIM_TOPIC", "Claim", "ClaimLedger", "ClaimTable", "Release"]
