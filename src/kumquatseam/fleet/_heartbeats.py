"""Send heartbeats to the peers selected by the membership."""

from collections.abc import Callable

import gevent
import gevent.pool

from kumquatseam.fleet._membership import Member, Membership
from kumquatseam.fleet._messages import CONTROL_CODEC, Heartbeat, RouterSummary
from kumquatseam.request_reply import ReplyClient
from kumquatseam.settings import FleetSettings

#: factor by which the interval grows in a fleet too large for a full mesh.
RING_INTERVAL_FACTOR = 4
#: reply timeout as a share of the heartbeat interval.
REPLY_TIMEOUT_SHARE = 0.9


class HeartbeatLoop:
    """Sends each target one heartbeat per interval and passes on the replies.

    :param membership: selects the targets.
    :param settings: the heartbeat interval.
    :param read_offset: returns the offset up to which the configuration here is
        in force.
    :param build_summary: returns the summary to send, given the number of targets.
    :param on_heartbeat: called with every reply.
    """

    def __init__(
        self,
        membership: Membership,
        settings: FleetSettings,
        read_offset: Callable[[], int],
        build_summary: Callable[[int], RouterSummary],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._read_offset = read_offset
        self._build_summary = build_summary
        self._on_heartbeat = on_heartbeat
        self._clients: dict[str, ReplyClient] = {}
        self._pool = gevent.pool.Pool()
        self._greenlet: gevent.Greenlet | None = None
        self._closed_bytes = 0

    def start(self) -> None:
        """Start sending heartbeats."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop sending and close every connection."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._pool.kill()
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    @property
    def bytes_exchanged(self) -> int:
        """Bytes of the heartbeats this router sent and of their replies."""
        open_bytes = (client.bytes_exchanged for client in self._clients.values())
        return self._closed_bytes + sum(open_bytes)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._interval_s())
            self._membership.tick()
            targets = self._membership.targets()
            self._close_all_except({member.address for member in targets})
            if not targets:
                continue
            summary = self._build_summary(len(targets))
            offset = self._read_offset()
            for member in targets:
                message = self._membership.heartbeat(offset, summary)
                self._pool.spawn(self._send_heartbeat, member, message)

    def _interval_s(self) -> float:
        """Return the interval, which is longer in a large fleet to limit traffic."""
        interval_s = self._settings.heartbeat_interval_s
        return interval_s * (
            RING_INTERVAL_FACTOR if self._membership.is_ring_topology() else 1
        )

    def _send_heartbeat(self, member: Member, message: Heartbeat) -> None:
        client = self._clients.get(member.address)
        if client is None:
            client = ReplyClient(member.address, CONTROL_CODEC)
            self._clients[member.address] = client
        self._membership.note_heartbeat_sent(member.name)
        timeout_s = self._interval_s() * REPLY_TIMEOUT_SHARE
        reply = client.request(message, timeout_s)
        if isinstance(reply, Heartbeat):
            self._on_heartbeat(reply)

    def _close_all_except(self, addresses: set[str]) -> None:
        for address in set(self._clients) - addresses:
            client = self._clients.pop(address)
            self._closed_bytes += client.bytes_exchanged
            client.close()
