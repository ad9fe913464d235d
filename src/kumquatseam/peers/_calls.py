"""Calls to one instance over datagrams, with a timeout."""

import random
import time
from collections.abc import Callable, Sequence

import attrs
import gevent.event

from kumquatseam.logs import part_logger
from kumquatseam.peers._datagrams import DatagramLink
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.peers._round_trip import RoundTripEstimate
from kumquatseam.peers._unresponsive import UnresponsivePeers

_log = part_logger("datagrams")


@attrs.define
class _Pending:
    """A request that waits for its replies.

    :param sent_s: when the request was sent.
    :param awaited: the number of replies to wait for.
    :param is_conclusive: whether no further reply is needed after one.
    :param replies: the replies so far, by the sender's address.
    :param is_answered: set when no further reply is needed.
    """

    sent_s: float
    awaited: int = 1
    is_conclusive: Callable[[object], bool] = lambda reply: True
    replies: dict[str, object] = attrs.Factory(dict)
    is_answered: gevent.event.Event = attrs.Factory(gevent.event.Event)


class DatagramCalls:
    """Calls instances over datagrams: one request, and one reply of each instance.

    Requests and replies are classes with a ``number``; a reply carries the number
    of its request. Instances that recently timed out are skipped.

    :param link: carries the messages.
    :param reply_kinds: classes of the replies.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param unresponsive: the instances to skip; shared with other users of the link.
    """

    def __init__(
        self,
        link: DatagramLink,
        reply_kinds: tuple[type, ...],
        clock: Callable[[], float] = time.monotonic,
        wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait,
        unresponsive: UnresponsivePeers | None = None,
    ) -> None:
        self._link = link
        self._clock = clock
        self._wait = wait
        self._round_trip = RoundTripEstimate()
        self._pending: dict[int, _Pending] = {}
        self._last_number = random.getrandbits(48)
        self.unresponsive = unresponsive or UnresponsivePeers(clock)
        self.call_count = 0
        self.timeout_count = 0
        for kind in reply_kinds:
            link.on_message(kind, self._handle_reply)

    def next_number(self) -> int:
        """Return the number for the next request."""
        self._last_number += 1
        return self._last_number

    def call(self, record: InstanceRecord, request) -> object | None:
        """Return the reply of an instance; ``None`` if it is skipped or times out."""
        if self.unresponsive.is_skipped(record.name):
            return None
        replies = self._exchange([record], request, _Pending(self._clock()))
        if not replies:
            self._note_timeout(record)
            return None
        self.unresponsive.note_reply(record.name)
        return next(iter(replies.values()))

    def call_all(
        self,
        records: Sequence[InstanceRecord],
        request,
        is_conclusive: Callable[[object], bool],
    ) -> list:
        """Return the replies of several instances that are asked at once.

        Instances that recently timed out are asked, but not waited for.

        :param is_conclusive: whether no further reply is needed after this one.
        """
        awaited = sum(not self.unresponsive.is_skipped(r.name) for r in records)
        pending = _Pending(self._clock(), max(1, awaited), is_conclusive)
        replies = self._exchange(records, request, pending)
        for record in records:
            if record.address in replies:
                self.unresponsive.note_reply(record.name)
            elif not pending.is_answered.is_set():
                self._note_timeout(record)
        return list(replies.values())

    def _exchange(
        self, records: Sequence[InstanceRecord], request, pending: _Pending
    ) -> dict[str, object]:
        """Send a request, and return the replies by the sender's address."""
        self._pending[request.number] = pending
        self.call_count += len(records)
        try:
            for record in records:
                self._link.send(record.address, request)
            self._wait(pending.is_answered, self._round_trip.timeout_s)
        finally:
            self._pending.pop(request.number, None)
        return pending.replies

    def _handle_reply(self, reply, sender: str) -> None:
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if not pending.replies:
            self._round_trip.observe(self._clock() - pending.sent_s)
        pending.replies[sender] = reply
        is_complete = len(pending.replies) >= pending.awaited
        if is_complete or pending.is_conclusive(reply):
            pending.is_answered.set()

    def _note_timeout(self, record: InstanceRecord) -> None:
        self.timeout_count += 1
        pause_s = self.unresponsive.note_timeout(record.name)
        _log.bind(peer=record.name, for_s=pause_s).debug("Call to instance timed out.")
