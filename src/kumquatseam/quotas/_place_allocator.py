"""Granting places at the brittle upstreams that this instance owns."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    QuotaUsageUpdate,
)

if TYPE_CHECKING:
    from kumquatseam.quotas._place_shard import PlaceShard

#: the places of an upstream are forgotten if nobody asks for this long.
IDLE_EXPIRY_S = 30.0


class PlaceAllocator:
    """Grants places from the shards owned by this instance.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._shards: dict[str, PlaceShard] = {}

    def __len__(self) -> int:
        return len(self._shards)

    def decide(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        """Grant or refuse a place."""
        if request.places is None:
            return QuotaLeaseReply(request.number, request.needed)
        return self._shard(request.shard).decide(request, self._clock())

    def note_count(self, update: QuotaUsageUpdate) -> None:
        """Count the places that an instance holds."""
        if update.places is not None:
            self._shard(update.shard).note_count(update.places, self._clock())

    def full_s(self, incarnation_id: str) -> float:
        """Return the time until an upstream is expected to have a free place.

        :returns: 0 if it has one, as far as this instance knows.
        """
        owned = self._shards.get(incarnation_id)
        return owned.full_s(self._clock()) if owned is not None else 0.0

    def _shard(self, shard: QuotaShard) -> "PlaceShard":
        owned = self._shards.get(shard.subject)
        if owned is None:
            from kumquatseam.quotas._place_shard import PlaceShard

            now_s = self._clock()
            self._drop_idle(now_s)
            owned = self._shards[shard.subject] = PlaceShard(now_s)
        return owned

    def _drop_idle(self, now_s: float) -> None:
        for name, owned in list(self._shards.items()):
            if now_s - owned.last_request_s > IDLE_EXPIRY_S:
                del self._shards[name]
