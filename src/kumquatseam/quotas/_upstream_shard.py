"""The limit of one upstream, as one of its owners keeps it."""

import collections
import math

import attrs

from kumquatseam.admission.token_bucket import TokenBucket
from kumquatseam.quotas._messages import (
    OwnerVote,
    QuotaLeaseReply,
    QuotaLeaseRequest,
)
from kumquatseam.quotas._owned_shard import OwnedShard

#: capacity of the token bucket, as a duration at the upstream's rate and as a minimum.
BURST_S = 0.25
MIN_BURST = 1.0
#: rate assumed for an upstream that announces a lower one, or that it accepts nothing:
#: only the response to a request can say that the limit ended.
MIN_RATE_PER_S = 0.2
#: a second owner that confirms a grant may be this far in debt: it deducts each grant a
#: moment later than the first owner.
CONFIRMATION_MARGIN = 1.0
#: share of the rate that is reserved for callers that were refused and told when to
#: retry; the rest remains for those that arrive for the first time.
RESERVED_SHARE = 0.5
#: a reservation may be used this long before and after its time.
EARLY_S = 0.05
LATE_S = 1.0


@attrs.frozen
class _Reservation:
    """A place kept for a refused request.

    :param key: the request.
    :param due_s: when its caller was told to retry.
    """

    key: str
    due_s: float


class _Reservations:
    """Places kept for refused requests, earliest first."""

    def __init__(self) -> None:
        self._queue: collections.deque[_Reservation] = collections.deque()
        self._last_due_s = -math.inf

    def claim(self, key: str, now_s: float) -> bool:
        """Use the reservation of a request, if it is due."""
        self._expire(now_s)
        found = self._find(key)
        if found is None or found.due_s - EARLY_S > now_s:
            return False
        self._queue.remove(found)
        return True

    def reserve(
        self, key: str, first_s: float, interval_s: float, latest_s: float
    ) -> tuple[float, bool]:
        """Reserve the next free place.

        :param first_s: earliest time of a place.
        :param interval_s: time between two places.
        :param latest_s: latest time that the caller will wait for.
        :returns: the time of the place, and whether it was reserved.
        """
        known = self._find(key)
        if known is not None:
            return known.due_s, True
        due_s = max(first_s, self._last_due_s + interval_s)
        if due_s > latest_s:
            return due_s, False
        self._last_due_s = due_s
        self._queue.append(_Reservation(key, due_s))
        return due_s, True

    def thin_out(self, interval_s: float) -> None:
        """Drop reservations that are less than ``interval_s`` after the one before."""
        kept: collections.deque[_Reservation] = collections.deque()
        for reservation in self._queue:
            if not kept or reservation.due_s >= kept[-1].due_s + interval_s:
                kept.append(reservation)
        self._queue = kept
        self._last_due_s = kept[-1].due_s if kept else -math.inf

    def _find(self, key: str) -> _Reservation | None:
        for reservation in self._queue:
            if reservation.key == key:
                return reservation
        return None

    def _expire(self, now_s: float) -> None:
        while self._queue and self._queue[0].due_s + LATE_S < now_s:
            self._queue.popleft()


class UpstreamShard(OwnedShard):
    """Grants requests to an upstream within the limit that it announced.

    A grant takes the consent of most owners, so that instances which cannot reach each
    other do not each grant the whole limit. The others are told of it. An owner that no
    other one can confirm grants only its part of the limit.

    :param rate_per_s: the limit.
    :param now_s: the current time.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        super().__init__(now_s)
        self._rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        # Nothing is known of the requests before, so the buckets start empty.
        self._bucket = TokenBucket(self._rate_per_s, self._burst, 0.0, now_s)
        self._alone_bucket = TokenBucket(self._rate_per_s, MIN_BURST, 0.0, now_s)
        self._reservations = _Reservations()

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Apply the limit announced last."""
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        if rate_per_s == self._rate_per_s:
            return
        if rate_per_s < self._rate_per_s:
            self._reservations.thin_out(1.0 / (rate_per_s * RESERVED_SHARE))
        self._rate_per_s = rate_per_s
        # The level stays: a bucket that a rise filled at once would grant a burst.
        level = self._bucket.level(now_s)
        self._bucket = TokenBucket(rate_per_s, self._burst, level, now_s)

    def used_up_s(self, now_s: float) -> float:
        """Return the time until a request can be granted; 0 if there is room."""
        level = self._bucket.level(now_s)
        return 0.0 if level > 0 else -level / self._rate_per_s

    def decide(
        self, request: QuotaLeaseRequest, now_s: float, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        self.last_request_s = now_s
        if request.vote is OwnerVote.ALONE:
            return self._decide_alone(request, now_s)
        if request.vote is OwnerVote.CONFIRMS:
            return self._confirm(request, now_s)
        return self._decide_first(request, now_s)

    def note_usage(self, amount: float, now_s: float) -> None:
        """Deduct what the other owners granted.

        An owner that stood still gets the usage of that time at once, which its bucket
        could not refill for meanwhile. So the usage of others leaves no deep debt.
        """
        self.last_request_s = now_s
        max_amount = self._bucket.level(now_s) + self._burst
        if max_amount > 0:
            self._bucket.force_consume(min(amount, max_amount), now_s)

    def refund(self, amount: float, now_s: float) -> None:
        self._bucket.refund(amount, now_s)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, self._rate_per_s * BURST_S)

    def _decide_first(
        self, request: QuotaLeaseRequest, now_s: float
    ) -> QuotaLeaseReply:
        number, needed = request.number, request.needed
        if self._reservations.claim(request.key, now_s):
            self._bucket.force_consume(needed, now_s)
            return QuotaLeaseReply(number, needed, is_reserved=True)
        if self._bucket.try_consume(needed, now_s):
            return QuotaLeaseReply(number, needed)
        return self._refuse(request, now_s)

    def _confirm(self, request: QuotaLeaseRequest, now_s: float) -> QuotaLeaseReply:
        number, needed = request.number, request.needed
        has_room = self._bucket.level(now_s) > -CONFIRMATION_MARGIN
        if not has_room and not request.is_reserved:
            return QuotaLeaseReply(number, 0, wait_ms=self._wait_ms(now_s))
        self._bucket.force_consume(needed, now_s)
        return QuotaLeaseReply(number, needed)

    def _decide_alone(
        self, request: QuotaLeaseRequest, now_s: float
    ) -> QuotaLeaseReply:
        """Decide on a request granted before that no other owner could confirm."""
        part_per_s = self._rate_per_s / request.owner_count
        if self._alone_bucket.rate_per_s != part_per_s:
            self._alone_bucket.resize(part_per_s, MIN_BURST, now_s)
        if self._alone_bucket.try_consume(request.needed, now_s):
            return QuotaLeaseReply(request.number, request.needed)
        self.refund(request.needed, now_s)
        wait_s = -self._alone_bucket.level(now_s) / part_per_s
        return QuotaLeaseReply(request.number, 0, wait_ms=_milliseconds(wait_s))

    def _refuse(self, request: QuotaLeaseRequest, now_s: float) -> QuotaLeaseReply:
        """Refuse a request, with a reservation if its caller will wait long enough."""
        if not request.max_wait_ms:
            return QuotaLeaseReply(request.number, 0, wait_ms=self._wait_ms(now_s))
        due_s, is_reserved = self._reservations.reserve(
            request.key,
            now_s + self.used_up_s(now_s),
            1.0 / (self._rate_per_s * RESERVED_SHARE),
            now_s + request.max_wait_ms / 1000.0,
        )
        wait_ms = _milliseconds(due_s - now_s)
        return QuotaLeaseReply(
            request.number, 0, wait_ms=wait_ms, is_reserved=is_reserved
        )

    def _wait_ms(self, now_s: float) -> int:
        return _milliseconds(self.used_up_s(now_s))


def _milliseconds(wait_s: float) -> int:
    """Round up, so that a caller that waits as long as told is not too early."""
    return max(1, int(wait_s * 1000) + 1)
