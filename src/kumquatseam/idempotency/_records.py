"""Claim records and the table that is built from them."""

import collections

import attrs

from kumquatseam.codec import MessageCodec


@attrs.frozen
class Claim:
    """A request's claim on an idempotency key.

    :param key: digest of the team and the caller's key.
    :param claim_id: unique ID, by which repeated appends of a claim are deduplicated.
    :param request_id: the request that made the claim.
    """

    key: str
    claim_id: str
    request_id: str


@attrs.frozen
class Release:
    """Releases a claim whose request has not run and never will.

    :param key: the claim's key.
    :param claim_id: the released claim.
    """

    key: str
    claim_id: str


CLAIM_CODEC = MessageCodec("claim record", {"claim": Claim, "release": Release})


class ClaimTable:
    """The holder of each key: the first claim in log order that is not released.

    A release counts at any position in the log, even before its claim. So a claim
    whose append takes effect only after its release never holds the key.

    :param capacity: number of keys and of releases retained; the oldest are evicted.
    """

    def __init__(self, capacity: int = 100_000) -> None:
        self._capacity = capacity
        self._claims: collections.OrderedDict[str, list[Claim]] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[str, None] = collections.OrderedDict()

    def apply(self, record: Claim | Release) -> None:
        """Apply the next record in log order."""
        if isinstance(record, Release):
            self._released[record.claim_id] = None
            self._evict_oldest(self._released)
            return
        claims = self._claims.setdefault(record.key, [])
        if all(claim.claim_id != record.claim_id for claim in claims):
            claims.append(record)
        self._evict_oldest(self._claims)

    def holder(self, key: str) -> Claim | None:
        """Return the claim that holds ``key``, if any."""
        for claim in self._claims.get(key, ()):
            if claim.claim_id not in self._released:
                return claim
        return None

    def _evict_oldest(self, table: collections.OrderedDict) -> None:
        while len(table) > self._capacity:
            table.popitem(last=False)
