"""Claim records and the table they fold into."""

import collections

import attrs

from kumquatseam.codec import MessageCodec


@attrs.frozen
class Claim:
    """A request's claim on a key.

    :param key: digest of the team and the caller's key.
    :param claim_id: unique; a claim appended twice counts once.
    :param request_id: the request it is for.
    """

    key: str
    claim_id: str
    request_id: str


@attrs.frozen
class Release:
    """A claim given up: its request provably never ran and never will.

    :param key: the claim's key.
    :param claim_id: the claim given up.
    """

    key: str
    claim_id: str


CLAIM_CODEC = MessageCodec("claim record", {"claim": Claim, "release": Release})


class ClaimTable:
    """Which claim holds each key: the first not given up, in log order.

    A release counts wherever it stands, so a claim whose append takes effect
    late, after it was given up, never holds its key.

    :param capacity: keys remembered; the oldest go first.
    """

    def __init__(self, capacity: int = 100_000) -> None:
        self._capacity = capacity
        self._claims: collections.OrderedDict[str, list[Claim]] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[str, None] = collections.OrderedDict()

    def apply(self, record: Claim | Release) -> None:
        """Take in the next record in log order."""
        if isinstance(record, Release):
            self._released[record.claim_id] = None
            self._trim(self._released)
            return
        claims = self._claims.setdefault(record.key, [])
        if all(claim.claim_id != record.claim_id for claim in claims):
            claims.append(record)
        self._trim(self._claims)

    def holder(self, key: str) -> Claim | None:
        """Return the claim that holds ``key``, if any."""
        for claim in self._claims.get(key, ()):
            if claim.claim_id not in self._released:
                return claim
        return None

    def _trim(self, table: collections.OrderedDict) -> None:
        while len(table) > self._capacity:
            table.popitem(last=False)
