"""Deciding what is lent of the quotas kept by this instance."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.admission import TokenBucket
from kumquatseam.quotas._messages import (
    LimitInForce,
    QuotaAnswer,
    QuotaQuestion,
    QuotaReturned,
    QuotaShard,
    QuotaSpent,
    QuotaTolerance,
)
from kumquatseam.routes import RouteTable

#: share of its burst that a bucket holds at a keeper's start. One that starts again
#: must neither lend a whole burst once more nor stop its team.
UNKNOWN_PAST_SHARE = 0.5
#: share of the slack that is added to the burst: requests reach a keeper in another
#: order and at other times than they came.
MARGIN_SHARE = 0.15
#: share of what the fleet may exceed a quota by that is lent to requests nobody has
#: to wait for; the rest is for keepers that start again or disagree for a moment.
BEYOND_SHARE = 0.35
#: share of what is left that may be lent ahead of need to one instance.
AHEAD_SHARE = 0.25
#: how long an instance may keep what it did not need at once, and the longest
#: time; it grows with the number of questions, so that these stay few.
LEASE_S = 0.25
MAX_LEASE_S = 1.0
#: questions a second about one quota from which on leases grow.
MANY_QUESTIONS_PER_S = 100.0
#: time over which questions are counted.
COUNTED_S = 1.0
#: a quota that nobody asked for this long is forgotten; its bucket is full by then.
KEEP_S = 60.0
#: quotas kept before the idle ones are looked for.
SWEEP_ABOVE = 256


@attrs.define
class _Kept:
    """A quota that is kept here.

    :param bucket: what is left of it.
    :param beyond: what is left with what it may be exceeded by.
    :param version: the configuration that the bucket's size is from.
    :param since_s: since when it is kept here.
    :param questions: asked within the time counted, decaying.
    :param asked_s: when it was last asked for.
    """

    bucket: TokenBucket
    beyond: TokenBucket
    version: int
    since_s: float
    questions: float = 0.0
    asked_s: float = 0.0

    def spend(self, amount: float, now_s: float) -> None:
        """Count what was let through, here or elsewhere."""
        self.bucket.spend(amount, now_s)
        self.beyond.spend(amount, now_s)


class QuotaKeeper:
    """Keeps the buckets of teams.

    :param name: this instance.
    :param current_table: returns the configuration in force here, if any.
    :param tolerance: by how much all instances together may exceed a quota.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        current_table: Callable[[], RouteTable | None],
        tolerance: QuotaTolerance,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._current_table = current_table
        self._tolerance = tolerance
        self._clock = clock
        self._started_s = clock()
        self._kept: dict[QuotaShard, _Kept] = {}
        self.refused = 0

    def __len__(self) -> int:
        return len(self._kept)

    def decide(self, question: QuotaQuestion, times: int = 1) -> QuotaAnswer:
        """Return what is lent to an instance.

        :param times: how often it counts; several times while others may still lend
            of the same quota under another division.
        """
        limit = self._newest(question.shard.team, question.limit)
        number, needed = question.number, question.needed
        if limit is None:
            return QuotaAnswer(number, needed, keeper=self._name)
        now_s = self._clock()
        kept = self._find(question.shard, limit, times > 1)
        self._note_asked(kept, now_s)
        if question.unpaid:
            kept.spend(question.unpaid, now_s)
        if not kept.bucket.take(needed * times, now_s):
            if self._may_exceed(kept, times, now_s) and kept.beyond.take(needed, now_s):
                return QuotaAnswer(number, needed, keeper=self._name, is_over=True)
            self.refused += 1
            wait_ms = int(kept.bucket.refuse(needed, now_s) * 1000)
            return QuotaAnswer(number, 0, wait_ms=wait_ms, keeper=self._name)
        kept.beyond.spend(needed * times, now_s)
        left = max(0.0, kept.bucket.level(now_s))
        ahead = int(min(question.wanted, left * AHEAD_SHARE))
        kept.spend(ahead * times, now_s)
        lease_ms = int(self._lease_s(kept) * 1000)
        return QuotaAnswer(number, needed + ahead, lease_ms, keeper=self._name)

    def note_spent(self, spent: QuotaSpent) -> None:
        """Take in what another keeper of a quota lent."""
        limit = self._newest(spent.shard.team, spent.limit)
        if limit is not None:
            kept = self._find(spent.shard, limit)
            kept.asked_s = self._clock()
            now_s = self._clock()
            kept.beyond.spend(spent.amount, now_s)
            if not spent.is_over:
                kept.bucket.spend(spent.amount, now_s)

    def note_returned(self, returned: QuotaReturned) -> None:
        """Take in what was lent and not used."""
        kept = self._kept.get(returned.shard)
        if kept is not None:
            kept.bucket.give_back(returned.amount, self._clock())
            kept.beyond.give_back(returned.amount, self._clock())

    def _may_exceed(self, kept: _Kept, times: int, now_s: float) -> bool:
        """Return whether it is known for a whole window what was let through."""
        return times == 1 and now_s - kept.since_s >= self._tolerance.window_s

    def _newest(self, team: str, asked: LimitInForce) -> LimitInForce | None:
        """Return the newer of two limits; ``None`` if it is none any more.

        Whoever asks may be behind, and so may this instance.
        """
        table = self._current_table()
        if table is None or table.version <= asked.version:
            return asked
        quota = table.quota_of(team)
        if quota is None:
            return None
        return LimitInForce(table.version, quota.rate_per_s, quota.burst)

    def _find(
        self, shard: QuotaShard, limit: LimitInForce, is_dividing: bool = False
    ) -> _Kept:
        now_s = self._clock()
        margin = self._tolerance.slack * MARGIN_SHARE
        rate_per_s = limit.rate_per_s / shard.count
        burst = (limit.burst + margin) / shard.count
        beyond_per_s = self._tolerance.rate_beyond(limit) * BEYOND_SHARE / shard.count
        kept = self._kept.get(shard)
        if kept is None:
            self._forget_idle(now_s)
            # Nobody asked for it here since the start; if it has just been divided,
            # others were asked.
            up_s = now_s - self._started_s
            level = burst * UNKNOWN_PAST_SHARE + rate_per_s * up_s
            level = 0.0 if is_dividing else level
            kept = self._kept[shard] = _Kept(
                TokenBucket(rate_per_s, burst, level, now_s),
                TokenBucket(rate_per_s + beyond_per_s, burst, level, now_s),
                limit.version,
                now_s,
            )
        elif limit.version > kept.version:
            kept.version = limit.version
            kept.bucket.resize(rate_per_s, burst, now_s)
            kept.beyond.resize(rate_per_s + beyond_per_s, burst, now_s)
        return kept

    def _note_asked(self, kept: _Kept, now_s: float) -> None:
        left_share = max(0.0, 1.0 - (now_s - kept.asked_s) / COUNTED_S)
        kept.questions = kept.questions * left_share + 1
        kept.asked_s = now_s

    @staticmethod
    def _lease_s(kept: _Kept) -> float:
        # A sum that decays linearly between questions settles near their rate.
        factor = kept.questions / COUNTED_S / MANY_QUESTIONS_PER_S
        return min(MAX_LEASE_S, LEASE_S * max(1.0, factor))

    def _forget_idle(self, now_s: float) -> None:
        if len(self._kept) < SWEEP_ABOVE:
            return
        for shard, kept in list(self._kept.items()):
            if now_s - kept.asked_s > KEEP_S:
                del self._kept[shard]
