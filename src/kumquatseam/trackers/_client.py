"""Queries trackers and notifies them of requests sent to upstreams."""

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
    UnresponsivePeers,
)
from kumquatseam.placement import HolderScope
from kumquatseam.prompts import PromptPart
from kumquatseam.trackers._messages import LoadQuery, LoadReply, TrackedLoad
from kumquatseam.trackers._tracker import LoadTracker

_log = part_logger("trackers")

#: more holders would not fit into one network packet.
MAX_HOLDERS_PER_DATAGRAM = 12


@attrs.define
class _PendingQuery:
    """A query that waits for replies.

    :param sent_s: when it was sent.
    :param awaited: the trackers without a reply so far, by query number.
    :param loads: the results received so far.
    :param is_complete: set once all replies have arrived.
    """

    sent_s: float
    awaited: dict[int, InstanceRecord] = attrs.Factory(dict)
    loads: list[TrackedLoad] = attrs.Factory(list)
    is_complete: gevent.event.Event = attrs.Factory(gevent.event.Event)


class TrackerClient:
    """Queries the trackers of upstreams, and notifies them of requests.

    :param name: name of this instance.
    :param order: determines which instance tracks an upstream.
    :param link: sends and receives the datagrams.
    :param tracker: the tracker of this instance, called without datagrams.
    :param clock: monotonic clock in seconds.
    :param wait: waits until an event is set, up to a timeout in seconds.
    :param unresponsive: the instances to skip; shared with other users of the link.
    """

    def __init__(
        self,
        name: str,
        order: RendezvousOrder,
        link: DatagramLink,
        tracker: LoadTracker,
        clock: Callable[[], float] = time.monotonic,
        wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait,
        unresponsive: UnresponsivePeers | None = None,
    ) -> None:
        self._name = name
        self._order = order
        self._link = link
        self._tracker = tracker
        self._clock = clock
        self._wait = wait
        self._round_trip = RoundTripEstimate()
        self._unresponsive = unresponsive or UnresponsivePeers(clock)
        self._pending: dict[int, _PendingQuery] = {}
        self._last_number = random.getrandbits(48)
        self.query_count = 0
        self.timeout_count = 0
        link.on_message(LoadQuery, self._handle_query)
        link.on_message(LoadReply, self._handle_reply)
        for kind in tracker.handlers:
            link.on_message(kind, lambda message, _: tracker.apply(message))

    def tracker_of(self, holder: str) -> InstanceRecord | None:
        """Return the tracker of ``holder``, skipping unresponsive instances.

        :returns: ``None`` if all candidates are unresponsive.
        """
        for record in self._order.owners_of(holder):
            if not self._unresponsive.is_skipped(record.name):
                return record
        return None

    def query(
        self, scopes: Sequence[HolderScope], parts: tuple[PromptPart, ...] = ()
    ) -> list[TrackedLoad]:
        """Return the load of some holders from their trackers; blocks for a few ms.

        Holders whose trackers do not reply in time are missing in the result.
        """
        pending = _PendingQuery(self._clock())
        for record, group in self._by_tracker(scopes):
            self._send(pending, record, group, parts)
        if pending.awaited:
            self._wait(pending.is_complete, self._round_trip.timeout_s)
            for number, record in pending.awaited.items():
                del self._pending[number]
                self._note_silent(record)
        return pending.loads

    def notify(self, holder: str, message: object) -> None:
        """Send a notification to the tracker of ``holder``; it may get lost."""
        record = self.tracker_of(holder)
        if record is not None:
            self.notify_instance(record, message)

    def notify_instance(self, record: InstanceRecord, message: object) -> None:
        """Send a notification to one instance; it may get lost."""
        if record.name == self._name:
            self._tracker.apply(message)
        else:
            self._link.send(record.address, message)

    def _by_tracker(
        self, scopes: Sequence[HolderScope]
    ) -> list[tuple[InstanceRecord, list[HolderScope]]]:
        """Return the scopes grouped by tracker, at most one datagram per group."""
        grouped: dict[str, list[HolderScope]] = collections.defaultdict(list)
        records: dict[str, InstanceRecord] = {}
        for scope in scopes:
            record = self.tracker_of(scope.holder)
            if record is not None:
                records[record.name] = record
                grouped[record.name].append(scope)
        return [
            (records[name], group[start : start + MAX_HOLDERS_PER_DATAGRAM])
            for name, group in grouped.items()
            for start in range(0, len(group), MAX_HOLDERS_PER_DATAGRAM)
        ]

    def _send(
        self,
        pending: _PendingQuery,
        record: InstanceRecord,
        scopes: list[HolderScope],
        parts: tuple[PromptPart, ...],
    ) -> None:
        self._last_number += 1
        holders = tuple(scope.holder for scope in scopes)
        salts = tuple(scope.salt for scope in scopes)
        message = LoadQuery(self._last_number, holders, salts, parts)
        if record.name == self._name:
            pending.loads.extend(self._tracker.answer(message).loads)
            return
        self.query_count += 1
        pending.awaited[self._last_number] = record
        self._pending[self._last_number] = pending
        self._link.send(record.address, message)

    def _handle_query(self, query: LoadQuery, sender: str) -> None:
        self._link.send(sender, self._tracker.answer(query))

    def _handle_reply(self, reply: LoadReply, _: str) -> None:
        self._unresponsive.note_reply(reply.sender)
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        self._round_trip.observe(self._clock() - pending.sent_s)
        del pending.awaited[reply.number]
        pending.loads.extend(reply.loads)
        if not pending.awaited:
            pending.is_complete.set()

    def _note_silent(self, record: InstanceRecord) -> None:
        self.timeout_count += 1
        pause_s = self._unresponsive.note_timeout(record.name)
        _log.bind(
            peer=record.name,
            for_s=pause_s,
            timeout_s=round(self._round_trip.timeout_s, 4),
        ).debug("Tracker did not reply in time.")
