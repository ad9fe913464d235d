"""Sending heartbeats to the peers the membership names."""

from collections.abc import Callable

import gevent
import gevent.pool

from kumquatseam.fleet._membership import Member, Membership
from kumquatseam.fleet._messages import CONTROL_CODEC, Heartbeat, RouterSummary
from kumquatseam.request_reply import ReplyClient
from kumquatseam.settings import FleetSettings

#: how much longer the interval is in a fleet too large to heartbeat everyone.
RING_FACTOR = 4
#: share of the heartbeat interval that a reply is waited for.
REPLY_SHARE = 0.9


class HeartbeatLoop:
    """Heartbeats each target once an interval and hands replies on.

    :param membership: names the targets and takes in replies.
    :param settings: the interval.
    :param read_offset: how much configuration is in force here.
    :param take_summary: returns the summary to send for a number of targets.
    :param on_heartbeat: called with every reply.
    """

    def __init__(
        self,
        membership: Membership,
        settings: FleetSettings,
        read_offset: Callable[[], int],
        take_summary: Callable[[int], RouterSummary],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._read_offset = read_offset
        self._take_summary = take_summary
        self._on_heartbeat = on_heartbeat
        self._clients: dict[str, ReplyClient] = {}
        self._pool = gevent.pool.Pool()
        self._greenlet: gevent.Greenlet | None = None
        self._closed_bytes = 0

    def start(self) -> None:
        """Begin heartbeating."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop and close every connection."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._pool.kill()
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    @property
    def bytes_exchanged(self) -> int:
        """Bytes sent and received on heartbeats this router began."""
        open_bytes = (client.bytes_exchanged for client in self._clients.values())
        return self._closed_bytes + sum(open_bytes)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._interval_s())
            self._membership.tick()
            targets = self._membership.targets()
            self._close_others({member.address for member in targets})
            if not targets:
                continue
            summary = self._take_summary(len(targets))
            offset = self._read_offset()
            for member in targets:
                message = self._membership.heartbeat(offset, summary)
                self._pool.spawn(self._beat, member, message)

    def _interval_s(self) -> float:
        """Return the interval; a large fleet beats less often to keep its budget."""
        interval_s = self._settings.heartbeat_interval_s
        return interval_s * (RING_FACTOR if self._membership.is_ring() else 1)

    def _beat(self, member: Member, message: Heartbeat) -> None:
        client = self._clients.get(member.address)
        if client is None:
            client = ReplyClient(member.address, CONTROL_CODEC)
            self._clients[member.address] = client
        self._membership.note_heartbeat_sent(member.name)
        timeout_s = self._interval_s() * REPLY_SHARE
        reply = client.ask(message, timeout_s)
        if isinstance(reply, Heartbeat):
            self._on_heartbeat(reply)

    def _close_others(self, addresses: set[str]) -> None:
        for address in set(self._clients) - addresses:
            client = self._clients.pop(address)
            self._closed_bytes += client.bytes_exchanged
            client.close()
