"""Publish and subscribe between instances, over pynng."""

import time
from collections.abc import Callable, Mapping, Sequence

import gevent
import pynng

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.nng import receive_forever
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.peers._order import FleetView, PeerLiveness, order_key

_log = part_logger("peers")

#: an instance counts as away after this long without a message, which is the time
#: of ten summaries.
AWAY_AFTER_S = 1.5
#: a connection without a message for this long is reopened, since it may be
#: half-open and never recover by itself.
REDIAL_AFTER_S = 2.5
#: pauses between attempts to connect.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
#: messages buffered for a slow subscriber.
QUEUE_MESSAGES = 64
#: maximum age of the cached view. Recomputing it for each of about a hundred
#: queries a second takes a tenth of a core on a small instance.
VIEW_MAX_AGE_S = 0.1


class PeerBus:
    """Publishes messages to other instances and dispatches theirs.

    :class:`FleetView` decides which instances this one subscribes to. A published
    message goes to all instances that subscribe to this one.

    :param record: this instance.
    :param kinds: message classes by their names on the wire.
    """

    def __init__(self, record: InstanceRecord, kinds: Mapping[str, type]) -> None:
        self._codec = MessageCodec("peer message", kinds, is_compact=True)
        self.record = record
        self._publisher = pynng.Pub0(send_buffer_size=QUEUE_MESSAGES)
        self._records_by_name: dict[str, InstanceRecord] = {record.name: record}
        self._ordered: list[InstanceRecord] = [record]
        self._subscribers: dict[str, _Subscription] = {}
        self._handlers: dict[type, Callable] = {}
        self._view = FleetView(self._ordered, record.name, self._liveness)
        self._view_until_s = 0.0
        self.sent = 0
        self.received = 0
        self.received_bytes = 0

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.record.name

    def on_message(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with every message of class ``kind``."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Accept subscribers at this instance's address."""
        self._publisher.listen(f"tcp://{self.record.address}")

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._subscribers):
            self._unsubscribe(name)
        self._publisher.close()

    def publish(self, message: object) -> None:
        """Send ``message`` to all subscribers without blocking."""
        self.sent += 1
        try:
            self._publisher.send(self._codec.encode(message), block=False)
        except (CodecError, pynng.NNGException) as error:
            _log.bind(error=repr(error)).warning("Message not published.")

    def add(self, record: InstanceRecord) -> None:
        """Add an instance, or update its record."""
        if record.name == self.name or self._records_by_name.get(record.name) == record:
            return
        self._records_by_name[record.name] = record
        self._reorder()
        _log.bind(peer=record.name, address=record.address).info("Instance added.")

    def remove(self, name: str) -> None:
        """Remove an instance."""
        if name != self.name and self._records_by_name.pop(name, None) is not None:
            self._reorder()
            _log.bind(peer=name).info("Instance removed.")

    @property
    def records(self) -> Sequence[InstanceRecord]:
        """All known instances in fleet order; a new object after each change."""
        return self._ordered

    def view(self) -> FleetView:
        """Return the fleet view, at most ``VIEW_MAX_AGE_S`` old."""
        now_s = time.monotonic()
        if now_s >= self._view_until_s:
            self._view = FleetView(self._ordered, self.name, self._liveness)
            self._view_until_s = now_s + VIEW_MAX_AGE_S
        return self._view

    def live_peers(self) -> list[InstanceRecord]:
        """Return the other instances that are known to be alive."""
        return [
            subscription.record
            for name, subscription in self._subscribers.items()
            if self._liveness(name) is PeerLiveness.ALIVE
        ]

    def step(self) -> None:
        """Update the subscriptions and reopen connections that are silent."""
        now_s = time.monotonic()
        targets = {record.name: record for record in self.view().subscription_targets()}
        for name, subscription in list(self._subscribers.items()):
            if targets.get(name) != subscription.record:
                self._unsubscribe(name)
        for name, record in targets.items():
            if name not in self._subscribers:
                self._subscribers[name] = _Subscription(record, self._receive)
        for subscription in self._subscribers.values():
            subscription.check(now_s)

    def _reorder(self) -> None:
        self._ordered = sorted(self._records_by_name.values(), key=order_key)
        self._view_until_s = 0.0

    def _liveness(self, name: str) -> PeerLiveness:
        subscription = self._subscribers.get(name)
        if subscription is None:
            return PeerLiveness.UNKNOWN
        now_s = time.monotonic()
        if now_s - subscription.last_received_s < AWAY_AFTER_S:
            return PeerLiveness.ALIVE
        is_new = now_s - subscription.subscribed_s < AWAY_AFTER_S
        return PeerLiveness.UNKNOWN if is_new else PeerLiveness.AWAY

    def _unsubscribe(self, name: str) -> None:
        subscription = self._subscribers.pop(name, None)
        if subscription is not None:
            subscription.close()

    def _receive(self, subscription: "_Subscription", data: bytes) -> None:
        self.received += 1
        self.received_bytes += len(data)
        try:
            message = self._codec.decode(data)
        except CodecError as error:
            _log.bind(peer=subscription.record.name, error=str(error)).warning(
                "Peer message not decoded."
            )
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)


class _Subscription:
    """A subscription to the messages of one instance.

    :param record: the instance to subscribe to.
    :param receive: called with this subscription and each message's bytes.
    """

    def __init__(self, record: InstanceRecord, receive: Callable) -> None:
        self.record = record
        self.subscribed_s = time.monotonic()
        self.last_received_s = float("-inf")
        self._receive = receive
        self._socket: pynng.Sub0 | None = None
        self._reader: gevent.Greenlet | None = None
        self._is_away = True
        self._open()

    def check(self, now_s: float) -> None:
        """Reopen the connection if no message arrived for ``REDIAL_AFTER_S``."""
        is_away = now_s - self.last_received_s >= AWAY_AFTER_S
        if is_away and not self._is_away:
            self._is_away = True
            _log.bind(peer=self.record.name).info("Instance not heard from.")
        if now_s - max(self.last_received_s, self._opened_s) >= REDIAL_AFTER_S:
            self.close()
            self._open()

    def close(self) -> None:
        """Close the connection."""
        self._reader.kill()
        self._socket.close()

    def _open(self) -> None:
        self._opened_s = time.monotonic()
        self._socket = pynng.Sub0(recv_buffer_size=QUEUE_MESSAGES)
        self._socket.subscribe(b"")
        self._socket.reconnect_time_min = RECONNECT_MIN_MS
        self._socket.reconnect_time_max = RECONNECT_MAX_MS
        self._socket.dial(f"tcp://{self.record.address}", block=False)
        self._reader = gevent.spawn(receive_forever, self._socket, self._handle)

    def _handle(self, data: bytes) -> None:
        self.last_received_s = time.monotonic()
        if self._is_away:
            self._is_away = False
            _log.bind(peer=self.record.name).info("Instance heard from.")
        self._receive(self, data)
