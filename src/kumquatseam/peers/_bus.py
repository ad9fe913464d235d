"""Publishing to other instances and hearing from them, over pynng."""

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

#: an instance not heard from for this long counts as away: ten summaries.
AWAY_AFTER_S = 1.5
#: a connection with nothing on it for this long is opened anew, since it may
#: have gone silent for good.
REDIAL_AFTER_S = 2.5
#: pauses between attempts to connect, in ms.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
#: messages kept for a slow reader.
QUEUE_MESSAGES = 64
#: how old this instance's view of the order may be. Working it out anew for each
#: of some hundred questions a second took a tenth of a small instance's core.
VIEW_MAX_AGE_S = 0.1


class PeerBus:
    """Publish and subscribe among the instances.

    Whom this instance listens to follows from :class:`FleetView`; whoever
    listens to it hears what it publishes.

    :param record: this instance.
    :param kinds: the messages' classes by their names on the wire.
    """

    def __init__(self, record: InstanceRecord, kinds: Mapping[str, type]) -> None:
        self._codec = MessageCodec("peer message", kinds, is_compact=True)
        self.record = record
        self._publisher = pynng.Pub0(send_buffer_size=QUEUE_MESSAGES)
        self._known: dict[str, InstanceRecord] = {record.name: record}
        self._ordered: list[InstanceRecord] = [record]
        self._subscribers: dict[str, _Subscription] = {}
        self._handlers: dict[type, Callable] = {}
        self._view = FleetView(self._ordered, record.name, self._hearing)
        self._view_until_s = 0.0
        self.sent = 0
        self.received = 0
        self.received_bytes = 0

    @property
    def name(self) -> str:
        """This instance's name."""
        return self.record.name

    def on_message(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with every message of class ``kind``."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Publish at this instance's address."""
        self._publisher.listen(f"tcp://{self.record.address}")

    def close(self) -> None:
        """Close every connection."""
        for name in list(self._subscribers):
            self._unsubscribe(name)
        self._publisher.close()

    def publish(self, message: object) -> None:
        """Send ``message`` to every instance that listens; never waits."""
        self.sent += 1
        try:
            self._publisher.send(self._codec.encode(message), block=False)
        except pynng.NNGException as error:
            _log.bind(error=repr(error)).warning("Message not published.")

    def add(self, record: InstanceRecord) -> None:
        """Take in an instance's record."""
        if record.name == self.name or self._known.get(record.name) == record:
            return
        self._known[record.name] = record
        self._reorder()
        _log.bind(peer=record.name, address=record.address).info("Instance known.")

    def remove(self, name: str) -> None:
        """Forget an instance."""
        if name != self.name and self._known.pop(name, None) is not None:
            self._reorder()
            _log.bind(peer=name).info("Instance forgotten.")

    @property
    def records(self) -> Sequence[InstanceRecord]:
        """Every instance known, in order; a new object after each change."""
        return self._ordered

    def view(self) -> FleetView:
        """Return the order of the instances as of a moment ago."""
        now_s = time.monotonic()
        if now_s >= self._view_until_s:
            self._view = FleetView(self._ordered, self.name, self._hearing)
            self._view_until_s = now_s + VIEW_MAX_AGE_S
        return self._view

    def heard(self) -> list[InstanceRecord]:
        """Return the other instances heard from lately."""
        return [
            subscription.record
            for name, subscription in self._subscribers.items()
            if self._hearing(name) is PeerLiveness.ALIVE
        ]

    def step(self) -> None:
        """Listen to those that are due, and open silent connections anew."""
        now_s = time.monotonic()
        followed = {
            record.name: record for record in self.view().subscription_targets()
        }
        for name, subscription in list(self._subscribers.items()):
            if followed.get(name) != subscription.record:
                self._unsubscribe(name)
        for name, record in followed.items():
            if name not in self._subscribers:
                self._subscribers[name] = _Subscription(record, self._receive)
        for subscription in self._subscribers.values():
            subscription.check(now_s)

    def _reorder(self) -> None:
        self._ordered = sorted(self._known.values(), key=order_key)
        self._view_until_s = 0.0

    def _hearing(self, name: str) -> PeerLiveness:
        subscription = self._subscribers.get(name)
        if subscription is None:
            return PeerLiveness.UNKNOWN
        now_s = time.monotonic()
        if now_s - subscription.heard_s < AWAY_AFTER_S:
            return PeerLiveness.ALIVE
        is_new = now_s - subscription.since_s < AWAY_AFTER_S
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
                "Bad message."
            )
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)


class _Subscription:
    """The connection to one instance.

    :param record: the instance.
    :param receive: called with this subscription and each message.
    """

    def __init__(self, record: InstanceRecord, receive: Callable) -> None:
        self.record = record
        self.since_s = time.monotonic()
        self.heard_s = float("-inf")
        self._receive = receive
        self._socket: pynng.Sub0 | None = None
        self._reader: gevent.Greenlet | None = None
        self._is_away = True
        self._open()

    def check(self, now_s: float) -> None:
        """Open the connection anew if nothing came for too long."""
        is_away = now_s - self.heard_s >= AWAY_AFTER_S
        if is_away and not self._is_away:
            self._is_away = True
            _log.bind(peer=self.record.name).info("Instance not heard from.")
        if now_s - max(self.heard_s, self._opened_s) >= REDIAL_AFTER_S:
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
        self._reader = gevent.spawn(receive_forever, self._socket, self._take)

    def _take(self, data: bytes) -> None:
        self.heard_s = time.monotonic()
        if self._is_away:
            self._is_away = False
            _log.bind(peer=self.record.name).info("Instance heard from.")
        self._receive(self, data)
