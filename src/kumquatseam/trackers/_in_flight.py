"""The requests in flight on the upstreams that this instance tracks."""

import collections
import heapq
import time
from collections.abc import Callable

import attrs

from kumquatseam.trackers._messages import WorkBegan

_PartKey = tuple[str, str]


@attrs.define
class _HolderTotals:
    """Totals of the requests in flight on one upstream.

    :param running: number of requests.
    :param pending_tokens: prompt tokens that remain to be prefilled for them.
    :param own_tokens: memory they use in addition to shared parts.
    :param part_uses: number of requests that use each shared part.
    :param part_tokens: memory of the shared parts in use.
    """

    running: int = 0
    pending_tokens: int = 0
    own_tokens: int = 0
    part_uses: collections.Counter[_PartKey] = attrs.Factory(collections.Counter)
    part_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Memory used by the requests; shared parts count once."""
        return self.own_tokens + self.part_tokens


class InFlightTable:
    """Requests in flight on upstreams, as reported by the instances.

    An instance that dies does not report the end of its requests, and a datagram may
    be lost, so each request expires after the time that its caller had left.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._work_by_id: dict[str, WorkBegan] = {}
        self._not_prefilled: set[str] = set()
        self._totals_by_holder: dict[str, _HolderTotals] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._work_by_id)

    def begin(self, work: WorkBegan) -> None:
        """Add a request; duplicate reports are ignored."""
        if work.work_id in self._work_by_id:
            return
        self._work_by_id[work.work_id] = work
        self._not_prefilled.add(work.work_id)
        expires_s = self._clock() + work.lasts_ms / 1000.0
        heapq.heappush(self._expiries, (expires_s, work.work_id))
        totals = self._totals_by_holder.setdefault(work.holder, _HolderTotals())
        totals.running += 1
        totals.pending_tokens += work.pending_tokens
        totals.own_tokens += work.own_tokens
        for part in work.parts:
            key = (work.salt, part.part_id)
            if not totals.part_uses[key]:
                totals.part_tokens += part.tokens
            totals.part_uses[key] += 1

    def note_prefilled(self, work_id: str) -> None:
        """Record that a request's prompt was prefilled."""
        if work_id in self._not_prefilled:
            self._not_prefilled.discard(work_id)
            work = self._work_by_id[work_id]
            self._totals_by_holder[work.holder].pending_tokens -= work.pending_tokens

    def end(self, work_id: str) -> None:
        """Remove a request that ended or expired."""
        work = self._work_by_id.get(work_id)
        if work is None:
            return
        self.note_prefilled(work_id)
        del self._work_by_id[work_id]
        totals = self._totals_by_holder[work.holder]
        totals.running -= 1
        totals.own_tokens -= work.own_tokens
        for part in work.parts:
            key = (work.salt, part.part_id)
            totals.part_uses[key] -= 1
            if not totals.part_uses[key]:
                del totals.part_uses[key]
                totals.part_tokens -= part.tokens
        if not totals.running:
            del self._totals_by_holder[work.holder]

    def totals_on(self, holder: str) -> _HolderTotals:
        """Return the totals of the requests on an upstream."""
        self._expire()
        return self._totals_by_holder.get(holder) or _HolderTotals()

    def _expire(self) -> None:
        now_s = self._clock()
        while self._expiries and self._expiries[0][0] <= now_s:
            _, work_id = heapq.heappop(self._expiries)
            self.end(work_id)
