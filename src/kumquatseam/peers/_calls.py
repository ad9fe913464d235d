"""Calls to one instance over datagrams, with a timeout."""

import random
import time
from collections.abc import Callable

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
    """A request that waits for its reply.

    :param sent_s: when the request was sent.
    :param reply: the reply, once it arrived.
    :param is_answered: set when the reply arrived.
    """

    sent_s: float
    reply: object | None = None
    is_answered: gevent.event.Event = attrs.Factory(gevent.event.Event)


class DatagramCalls:
    """Calls instances over datagrams: one request and one reply each.

    Requests and replies are classes with a ``number``; a reply carries the number
    of its request. Instances that recently timed out are skipped.

    :param link: carries the messages.
    :param reply_kind: class of the replies.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param unresponsive: the instances to skip; shared with other users of the link.
    """

    def __init__(
        self,
        link: DatagramLink,
        reply_kind: type,
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
        link.on_message(reply_kind, self._handle_reply)

    def next_number(self) -> int:
        """Return the number for the next request."""
        self._last_number += 1
        return self._last_number

    def call(self, record: InstanceRecord, request) -> object | None:
        """Return the reply of an instance; ``None`` if it is skipped or times out."""
        if self.unresponsive.is_skipped(record.name):
            return None
        pending = self._pending[request.number] = _Pending(self._clock())
        self.call_count += 1
        try:
            self._link.send(record.address, request)
            self._wait(pending.is_answered, self._round_trip.timeout_s)
        finally:
            self._pending.pop(request.number, None)
        if pending.reply is None:
            self._note_timeout(record)
            return None
        self.unresponsive.note_reply(record.name)
        return pending.reply

    def _handle_reply(self, reply, _: str) -> None:
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        self._round_trip.observe(self._clock() - pending.sent_s)
        pending.reply = reply
        pending.is_answered.set()

    def _note_timeout(self, record: InstanceRecord) -> None:
        self.timeout_count += 1
        pause_s = self.unresponsive.note_timeout(record.name)
        _log.bind(peer=record.name, for_s=pause_s).debug("Call to instance timed out.")
