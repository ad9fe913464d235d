"""Asking one instance something over datagrams, and waiting for its answer."""

import random
import time
from collections.abc import Callable

import attrs
import gevent.event

from kumquatseam.logs import part_logger
from kumquatseam.peers._datagrams import DatagramLink
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.peers._round_trip import RoundTripEstimate
from kumquatseam.peers._silences import UnresponsivePeers

_log = part_logger("datagrams")


@attrs.define
class _Pending:
    """A question that waits for its answer.

    :param asked_s: when it was sent.
    :param answer: what came back.
    :param is_answered: set when it came.
    """

    asked_s: float
    answer: object | None = None
    is_answered: gevent.event.Event = attrs.Factory(gevent.event.Event)


class DatagramCalls:
    """Asks instances over datagrams, one message and one answer each.

    PeerQueries and answers are classes with a ``number``; the answer repeats that
    of its question. Instances that did not answer lately are not asked.

    :param link: carries the messages.
    :param answer_kind: the class of the answers.
    :param clock: monotonic clock in seconds.
    :param wait: waits until an event is set, for so many seconds at most.
    """

    def __init__(
        self,
        link: DatagramLink,
        answer_kind: type,
        clock: Callable[[], float] = time.monotonic,
        wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait,
    ) -> None:
        self._link = link
        self._clock = clock
        self._wait = wait
        self._round_trip = RoundTripEstimate()
        self._pending: dict[int, _Pending] = {}
        self._number = random.getrandbits(48)
        self.unresponsive = UnresponsivePeers(clock)
        self.asked = 0
        self.unanswered = 0
        link.on_message(answer_kind, self._take_answer)

    def next_number(self) -> int:
        """Return a number for a question."""
        self._number += 1
        return self._number

    def ask(self, record: InstanceRecord, question) -> object | None:
        """Return the answer of an instance; ``None`` if it gives none in time."""
        if self.unresponsive.is_skipped(record.name):
            return None
        pending = self._pending[question.number] = _Pending(self._clock())
        self.asked += 1
        try:
            self._link.send(record.address, question)
            self._wait(pending.is_answered, self._round_trip.timeout_s)
        finally:
            self._pending.pop(question.number, None)
        if pending.answer is None:
            self._note_silent(record)
            return None
        self.unresponsive.note_reply(record.name)
        return pending.answer

    def _take_answer(self, answer, _: str) -> None:
        pending = self._pending.pop(answer.number, None)
        if pending is None:
            return
        self._round_trip.observe(self._clock() - pending.asked_s)
        pending.answer = answer
        pending.is_answered.set()

    def _note_silent(self, record: InstanceRecord) -> None:
        self.unanswered += 1
        pause_s = self.unresponsive.note_timeout(record.name)
        _log.bind(peer=record.name, for_s=pause_s).debug("Instance silent.")
