"""Asking trackers, and telling them what is sent to upstreams."""

import collections
import random
import time
from collections.abc import Callable, Sequence

import attrs
import gevent.event

from kumquatseam.logs import part_logger
from kumquatseam.peers import (
    DatagramLink,
    InstanceRecord,
    RendezvousOrder,
    RoundTripEstimate,
    Silences,
)
from kumquatseam.placement import HolderScope
from kumquatseam.prompts import PromptPart
from kumquatseam.trackers._messages import LoadAnswer, LoadQuestion, TrackedLoad
from kumquatseam.trackers._tracker import LoadTracker

_log = part_logger("trackers")

#: holders asked about in one datagram; more would not fit into one packet.
MAX_HOLDERS = 12


@attrs.define
class _Question:
    """A question that waits for answers.

    :param asked_s: when it was sent.
    :param waiting: the trackers asked, by the numbers of the datagrams.
    :param loads: what came back.
    :param is_complete: set once every tracker answered.
    """

    asked_s: float
    waiting: dict[int, InstanceRecord] = attrs.Factory(dict)
    loads: list[TrackedLoad] = attrs.Factory(list)
    is_complete: gevent.event.Event = attrs.Factory(gevent.event.Event)


class TrackerClient:
    """Asks the trackers of upstreams, and tells them of work.

    :param name: this instance.
    :param order: which instance tracks an upstream.
    :param link: carries the messages.
    :param tracker: what this instance tracks itself.
    :param clock: monotonic clock in seconds.
    :param wait: waits until an event is set, for so many seconds at most.
    """

    def __init__(
        self,
        name: str,
        order: RendezvousOrder,
        link: DatagramLink,
        tracker: LoadTracker,
        clock: Callable[[], float] = time.monotonic,
        wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait,
    ) -> None:
        self._name = name
        self._order = order
        self._link = link
        self._tracker = tracker
        self._clock = clock
        self._wait = wait
        self._round_trip = RoundTripEstimate()
        self._silences = Silences(clock)
        self._questions: dict[int, _Question] = {}
        self._number = random.getrandbits(48)
        self.asked = 0
        self.unanswered = 0
        link.on_message(LoadQuestion, self._take_question)
        link.on_message(LoadAnswer, self._take_answer)
        for kind in tracker.news:
            link.on_message(kind, lambda message, _: tracker.take(message))

    def tracker_of(self, holder: str) -> InstanceRecord | None:
        """Return the first instance that may track ``holder`` and is not silent.

        :returns: ``None`` if all of them are silent.
        """
        for record in self._order.of(holder):
            if not self._silences.is_silent(record.name):
                return record
        return None

    def ask(
        self, scopes: Sequence[HolderScope], parts: tuple[PromptPart, ...] = ()
    ) -> list[TrackedLoad]:
        """Return what trackers know of some holders; waits for a few ms.

        Holders whose trackers are silent are missing in what comes back.
        """
        question = _Question(self._clock())
        for record, asked in self._by_tracker(scopes):
            self._send(question, record, asked, parts)
        if question.waiting:
            self._wait(question.is_complete, self._round_trip.timeout_s)
            for number, record in question.waiting.items():
                del self._questions[number]
                self._note_silent(record)
        return question.loads

    def tell(self, holder: str, message: object) -> None:
        """Tell the tracker of ``holder`` something; it may get lost."""
        record = self.tracker_of(holder)
        if record is not None:
            self.tell_instance(record, message)

    def tell_instance(self, record: InstanceRecord, message: object) -> None:
        """Tell one instance something; it may get lost."""
        if record.name == self._name:
            self._tracker.take(message)
        else:
            self._link.send(record.address, message)

    def _by_tracker(
        self, scopes: Sequence[HolderScope]
    ) -> list[tuple[InstanceRecord, list[HolderScope]]]:
        """Return the scopes by whom to ask about them, in datagrams' sizes."""
        grouped: dict[str, list[HolderScope]] = collections.defaultdict(list)
        records: dict[str, InstanceRecord] = {}
        for scope in scopes:
            record = self.tracker_of(scope.holder)
            if record is not None:
                records[record.name] = record
                grouped[record.name].append(scope)
        return [
            (records[name], asked[start : start + MAX_HOLDERS])
            for name, asked in grouped.items()
            for start in range(0, len(asked), MAX_HOLDERS)
        ]

    def _send(
        self,
        question: _Question,
        record: InstanceRecord,
        scopes: list[HolderScope],
        parts: tuple[PromptPart, ...],
    ) -> None:
        self._number += 1
        holders = tuple(scope.holder for scope in scopes)
        salts = tuple(scope.salt for scope in scopes)
        message = LoadQuestion(self._number, holders, salts, parts)
        if record.name == self._name:
            question.loads.extend(self._tracker.answer(message).loads)
            return
        self.asked += 1
        question.waiting[self._number] = record
        self._questions[self._number] = question
        self._link.send(record.address, message)

    def _take_question(self, question: LoadQuestion, sender: str) -> None:
        self._link.send(sender, self._tracker.answer(question))

    def _take_answer(self, answer: LoadAnswer, _: str) -> None:
        self._silences.note_heard(answer.sender)
        question = self._questions.pop(answer.number, None)
        if question is None:
            return
        self._round_trip.note(self._clock() - question.asked_s)
        del question.waiting[answer.number]
        question.loads.extend(answer.loads)
        if not question.waiting:
            question.is_complete.set()

    def _note_silent(self, record: InstanceRecord) -> None:
        self.unanswered += 1
        pause_s = self._silences.note_silent(record.name)
        _log.bind(
            peer=record.name,
            for_s=pause_s,
            timeout_s=round(self._round_trip.timeout_s, 4),
        ).debug("Tracker silent.")
