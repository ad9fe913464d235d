"""The requests on the upstreams that are tracked here."""

import collections
import heapq
import time
from collections.abc import Callable

import attrs

from kumquatseam.trackers._messages import WorkBegan

_PartKey = tuple[str, str]


@attrs.define
class _HolderWork:
    """Requests on one upstream, added up.

    :param running: how many.
    :param pending_tokens: prompt tokens still to be read for them.
    :param own_tokens: memory they take beyond shared parts.
    :param part_uses: how many of them use each shared part.
    :param part_tokens: memory that the shared parts in use take.
    """

    running: int = 0
    pending_tokens: int = 0
    own_tokens: int = 0
    part_uses: collections.Counter[_PartKey] = attrs.Factory(collections.Counter)
    part_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Memory that the requests take; parts they share count once."""
        return self.own_tokens + self.part_tokens


class WorkBook:
    """Requests on upstreams, as instances tell of them.

    An instance that dies tells no ends, and a datagram may be lost, so each
    request ends by itself after the time its caller had left.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._works: dict[str, WorkBegan] = {}
        self._unread: set[str] = set()
        self._by_holder: dict[str, _HolderWork] = {}
        self._ends: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._works)

    def begin(self, work: WorkBegan) -> None:
        """Count a request; one that was told before is not counted again."""
        if work.work_id in self._works:
            return
        self._works[work.work_id] = work
        self._unread.add(work.work_id)
        end_s = self._clock() + work.lasts_ms / 1000.0
        heapq.heappush(self._ends, (end_s, work.work_id))
        holder = self._by_holder.setdefault(work.holder, _HolderWork())
        holder.running += 1
        holder.pending_tokens += work.pending_tokens
        holder.own_tokens += work.own_tokens
        for part in work.parts:
            key = (work.salt, part.part_id)
            if not holder.part_uses[key]:
                holder.part_tokens += part.tokens
            holder.part_uses[key] += 1

    def read(self, work_id: str) -> None:
        """Note that a request's prompt was read."""
        if work_id in self._unread:
            self._unread.discard(work_id)
            work = self._works[work_id]
            self._by_holder[work.holder].pending_tokens -= work.pending_tokens

    def end(self, work_id: str) -> None:
        """Count a request no longer."""
        work = self._works.get(work_id)
        if work is None:
            return
        self.read(work_id)
        del self._works[work_id]
        holder = self._by_holder[work.holder]
        holder.running -= 1
        holder.own_tokens -= work.own_tokens
        for part in work.parts:
            key = (work.salt, part.part_id)
            holder.part_uses[key] -= 1
            if not holder.part_uses[key]:
                del holder.part_uses[key]
                holder.part_tokens -= part.tokens
        if not holder.running:
            del self._by_holder[work.holder]

    def on(self, holder: str) -> _HolderWork:
        """Return the requests on an upstream, added up."""
        self._expire()
        return self._by_holder.get(holder) or _HolderWork()

    def _expire(self) -> None:
        now_s = self._clock()
        while self._ends and self._ends[0][0] <= now_s:
            _, work_id = heapq.heappop(self._ends)
            self.end(work_id)
