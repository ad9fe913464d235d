"""Tracks the load of the upstreams assigned to this instance."""

import math
import time
from collections.abc import Callable, Mapping

from kumquatseam.prompts import PromptIndex, PromptPrefill
from kumquatseam.trackers._in_flight import InFlightTable
from kumquatseam.trackers._messages import (
    LoadQuery,
    LoadReply,
    PartsSent,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkPrefilled,
)
from kumquatseam.upstreams import AnnouncedLimits, LimitReport

#: a holder without queries or new requests for this long is tracked by another
#: instance by now; its cache events are no longer read here.
TRACKING_TTL_S = 5.0


class LoadTracker:
    """Records the requests sent to upstreams and answers queries about their load.

    An instance tracks every upstream it is queried about. Instances choose the same
    tracker by :class:`RendezvousOrder`; while their views differ, each tracker sees
    only some of the requests, which affects only the quality of placement.

    :param name: name of this instance.
    :param index: the cached parts of the tracked holders.
    :param clock: monotonic clock in seconds.
    :param limits: the limits that upstreams announced.
    :param used_up_s: returns the time until an upstream has room for a request.
    :param brittle_of: returns what an upstream bears, if it is brittle.
    """

    def __init__(
        self,
        name: str,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
        limits: AnnouncedLimits | None = None,
        used_up_s: Callable[[str], float] = lambda holder: 0.0,
        brittle_of: Callable[[str], LimitReport | None] = lambda holder: None,
    ) -> None:
        self._name = name
        self._index = index
        self._clock = clock
        self._limits = limits or AnnouncedLimits()
        self._used_up_s = used_up_s
        self._brittle_of = brittle_of
        self._in_flight = InFlightTable(clock)
        self._last_used_s: dict[str, float] = {}
        #: the handler of each class of notification.
        self.handlers: Mapping[type, Callable[[object], None]] = {
            WorkBegan: self._apply_began,
            WorkPrefilled: lambda prefilled: self._in_flight.note_prefilled(
                prefilled.work_id
            ),
            WorkEnded: lambda ended: self._in_flight.end(ended.work_id),
            PartsSent: self._apply_parts_sent,
        }

    def tracked_holders(self) -> set[str]:
        """Return the holders whose cache events this instance should read."""
        oldest_s = self._clock() - TRACKING_TTL_S
        for holder, used_s in list(self._last_used_s.items()):
            if used_s < oldest_s:
                del self._last_used_s[holder]
        return set(self._last_used_s)

    def answer(self, query: LoadQuery) -> LoadReply:
        """Return the reply to a query."""
        salts = query.salts or ("",) * len(query.holders)
        loads = tuple(
            self._load(holder, salt, query)
            for holder, salt in zip(query.holders, salts, strict=False)
        )
        return LoadReply(query.number, self._name, loads)

    def apply(self, message: object) -> None:
        """Process a notification of a class in :attr:`handlers`."""
        self.handlers[type(message)](message)

    def _apply_began(self, work: WorkBegan) -> None:
        self._last_used_s[work.holder] = self._clock()
        self._in_flight.begin(work)
        if work.parts:
            prefill = PromptPrefill(work.holder, work.salt, work.parts)
            self._index.note_peer_prefill(prefill)

    def _apply_parts_sent(self, sent: PartsSent) -> None:
        self._last_used_s[sent.holder] = self._clock()
        self._index.note_peer_prefill(PromptPrefill(sent.holder, sent.salt, sent.parts))

    def _load(self, holder: str, salt: str, query: LoadQuery) -> TrackedLoad:
        self._last_used_s[holder] = self._clock()
        totals = self._in_flight.totals_on(holder)
        holders = self._index.look_up_parts(salt, query.parts)
        return TrackedLoad(
            holder,
            salt,
            totals.running,
            totals.pending_tokens,
            totals.memory_tokens,
            holders.held_tokens(holder),
            holders.settled_tokens(holder),
            self._index.kept_s(holder),
            self._limit(holder),
            math.ceil(self._used_up_s(holder) * 1000),
            self._brittle_of(holder),
        )

    def _limit(self, holder: str) -> LimitReport | None:
        if not self._limits.of(holder).is_limited:
            return None
        return self._limits.report_of(holder)
