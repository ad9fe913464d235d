"""Messages to the instance that owns a request."""

import random
from collections.abc import Callable

import attrs
import gevent.event

from kumquatseam.logs import part_logger
from kumquatseam.peers import DatagramLink, InstanceRecord, RendezvousOrder
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._messages import (
    Acknowledgement,
    CrashReport,
    RunEnded,
    TrialAnswer,
    TrialQuestion,
)

_log = part_logger("quarantine")

#: timeout of one call; a busy instance still answers within it. A request waits for
#: at most three of these in a row.
ANSWER_TIMEOUT_S = 0.06
_Message = CrashReport | TrialQuestion | RunEnded
_Answer = Acknowledgement | TrialAnswer


@attrs.define
class _PendingCall:
    """A message that waits for its answer.

    :param answer: the answer, once received.
    :param is_answered: set when the answer was received.
    """

    answer: _Answer | None = None
    is_answered: gevent.event.Event = attrs.Factory(gevent.event.Event)


class OwnerClient:
    """Sends messages about a request to the instance that owns it.

    :param name: name of this instance.
    :param order: returns the candidate owners of a request, by preference.
    :param link: sends and receives the messages.
    :param handle: handles a message if this instance is the owner.
    :param add_crashes: stores the crashes of a request that another instance knows.
    :param wait: waits for an event, with a timeout in seconds.
    """

    def __init__(
        self,
        name: str,
        order: RendezvousOrder,
        link: DatagramLink,
        handle: Callable[[_Message], _Answer],
        add_crashes: Callable[[str, Crashes], object],
        wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait,
    ) -> None:
        self._name = name
        self._order = order
        self._link = link
        self._handle = handle
        self._add_crashes = add_crashes
        self._wait = wait
        self._number = random.getrandbits(48)
        self._pending: dict[int, _PendingCall] = {}
        for kind in (CrashReport, TrialQuestion, RunEnded):
            link.on_message(kind, self.receive)
        for kind in (Acknowledgement, TrialAnswer):
            link.on_message(kind, self._on_answer)

    def next_number(self) -> int:
        """Return the id for a new message."""
        self._number += 1
        return self._number

    def candidates(self, fingerprint: str) -> tuple[InstanceRecord, ...]:
        """Return the instances that may own a request, by preference."""
        return self._order.owners_of(fingerprint)

    def may_own(self, fingerprint: str) -> bool:
        """Return whether this instance is a candidate owner of a request."""
        return self._name in {record.name for record in self.candidates(fingerprint)}

    def call(self, message: _Message) -> tuple[_Answer, InstanceRecord] | None:
        """Send a message to the owner of its request, with failover.

        The candidates are tried by preference until one answers.

        :returns: the answer and the instance that gave it; ``None`` if none answered.
        """
        for record in self.candidates(message.fingerprint):
            answer = self._call_instance(record, message)
            if answer is not None:
                return answer, record
        _log.bind(fingerprint=message.fingerprint).warning(
            "No owner candidate answered."
        )
        return None

    def send_to(self, record: InstanceRecord, message: object) -> None:
        """Send a message to one instance, without acknowledgement or retry."""
        if record.name != self._name:
            self._link.send(record.address, message)

    def _call_instance(
        self, record: InstanceRecord, message: _Message
    ) -> _Answer | None:
        if record.name == self._name:
            return self._handle(message)
        pending = self._pending[message.number] = _PendingCall()
        try:
            self._link.send(record.address, message)
            self._wait(pending.is_answered, ANSWER_TIMEOUT_S)
            return pending.answer
        finally:
            del self._pending[message.number]

    def receive(self, message: _Message, sender: str) -> None:
        """Handle and answer a message to an owner."""
        self._link.send(sender, self._handle(message))

    def _on_answer(self, answer: _Answer, _: str) -> None:
        if isinstance(answer, Acknowledgement):
            # Brings an instance up to date that cannot read the log service.
            self._add_crashes(answer.fingerprint, answer.crashes)
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.answer = answer
            pending.is_answered.set()
