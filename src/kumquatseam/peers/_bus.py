"""Publishing to every other instance and hearing from them, over pynng."""

import time
from collections.abc import Callable, Mapping

import gevent
import pynng

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.nng import receive_forever
from kumquatseam.peers._messages import InstanceRecord

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


class PeerBus:
    """Publish and subscribe among the instances.

    :param name: this instance's name.
    :param address: ``host:port`` this instance publishes at.
    :param kinds: the messages' classes by their names on the wire.
    """

    def __init__(self, name: str, address: str, kinds: Mapping[str, type]) -> None:
        self._codec = MessageCodec("peer message", kinds, is_compact=True)
        self.name = name
        self.address = address
        self._publisher = pynng.Pub0(send_buffer_size=QUEUE_MESSAGES)
        self._subscribers: dict[str, _Subscription] = {}
        self._handlers: dict[type, Callable] = {}

    def on_message(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with every message of class ``kind``."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Publish at this instance's address."""
        self._publisher.listen(f"tcp://{self.address}")

    def close(self) -> None:
        """Close every connection."""
        for name in list(self._subscribers):
            self.unfollow(name)
        self._publisher.close()

    def publish(self, message: object) -> None:
        """Send ``message`` to every instance that listens; never waits."""
        try:
            self._publisher.send(self._codec.encode(message), block=False)
        except pynng.NNGException as error:
            _log.bind(error=repr(error)).warning("Message not published.")

    def follow(self, record: InstanceRecord) -> None:
        """Listen to an instance."""
        known = self._subscribers.get(record.name)
        if record.name == self.name or (known is not None and known.record == record):
            return
        self.unfollow(record.name)
        self._subscribers[record.name] = _Subscription(record, self._receive)
        _log.bind(peer=record.name, address=record.address).info(
            "Following an instance."
        )

    def unfollow(self, name: str) -> None:
        """Stop listening to an instance."""
        subscription = self._subscribers.pop(name, None)
        if subscription is not None:
            subscription.close()

    def alive(self) -> list[str]:
        """Return the names of the instances heard from lately, sorted."""
        now_s = time.monotonic()
        heard = [
            name
            for name, subscription in self._subscribers.items()
            if now_s - subscription.heard_s < AWAY_AFTER_S
        ]
        return sorted([*heard, self.name])

    def state_addresses(self) -> list[str]:
        """Return where the instances heard from lately answer questions."""
        records = (self._subscribers[n].record for n in self.alive() if n != self.name)
        return [record.state_address for record in records if record.state_address]

    def step(self) -> None:
        """Open connections anew that have been silent for too long."""
        now_s = time.monotonic()
        for subscription in self._subscribers.values():
            subscription.check(now_s)

    def _receive(self, subscription: "_Subscription", data: bytes) -> None:
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
