"""Knowing the work on the upstreams that this instance tracks."""

import time
from collections.abc import Callable, Mapping

from kumquatseam.prompts import PromptIndex, PromptPrefill
from kumquatseam.trackers._book import WorkBook
from kumquatseam.trackers._messages import (
    LoadAnswer,
    LoadQuestion,
    PartsGiven,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkRead,
)

#: a holder that nobody asked about or sent work to for this long is tracked
#: elsewhere by now; its cache events are no longer followed.
TRACKED_FOR_S = 5.0


class LoadTracker:
    """Answers what is on upstreams, and takes in what is sent to them.

    An instance tracks whatever it is asked about. That all ask the same one
    follows from :class:`RendezvousOrder`; where they disagree for a moment, each
    tracker knows a part, and nothing but the quality of choices hangs on it.

    :param name: this instance.
    :param index: what the tracked holders keep.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._index = index
        self._clock = clock
        self._book = WorkBook(clock)
        self._tracked_s: dict[str, float] = {}
        #: what takes in each class of news.
        self.news: Mapping[type, Callable[[object], None]] = {
            WorkBegan: self._take_began,
            WorkRead: lambda read: self._book.read(read.work_id),
            WorkEnded: lambda ended: self._book.end(ended.work_id),
            PartsGiven: self._take_given,
        }

    def tracked_holders(self) -> set[str]:
        """Return the holders tracked here, for following their cache events."""
        oldest_s = self._clock() - TRACKED_FOR_S
        for holder, at_s in list(self._tracked_s.items()):
            if at_s < oldest_s:
                del self._tracked_s[holder]
        return set(self._tracked_s)

    def answer(self, question: LoadQuestion) -> LoadAnswer:
        """Return what is known of the holders asked about."""
        salts = question.salts or ("",) * len(question.holders)
        loads = tuple(
            self._load(holder, salt, question)
            for holder, salt in zip(question.holders, salts, strict=False)
        )
        return LoadAnswer(question.number, self._name, loads)

    def take(self, message: object) -> None:
        """Take in news of a class in :attr:`news`."""
        self.news[type(message)](message)

    def _take_began(self, work: WorkBegan) -> None:
        self._tracked_s[work.holder] = self._clock()
        self._book.begin(work)
        if work.parts:
            read = PromptPrefill(work.holder, work.salt, work.parts)
            self._index.note_peer_prefill(read)

    def _take_given(self, given: PartsGiven) -> None:
        self._tracked_s[given.holder] = self._clock()
        self._index.note_peer_prefill(
            PromptPrefill(given.holder, given.salt, given.parts)
        )

    def _load(self, holder: str, salt: str, question: LoadQuestion) -> TrackedLoad:
        self._tracked_s[holder] = self._clock()
        work = self._book.on(holder)
        holders = self._index.look_up_parts(salt, question.parts)
        return TrackedLoad(
            holder,
            salt,
            work.running,
            work.pending_tokens,
            work.memory_tokens,
            holders.held_tokens(holder),
            holders.settled_tokens(holder),
            self._index.kept_s(holder),
        )
