"""Subscriber to the engines' cache events and load reports over nng."""

from collections.abc import Callable, Iterable

import gevent
import pynng

from kumquatseam.engines._messages import EngineMessage, decode_message
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.nng import receive_forever

_log = part_logger("events")

MessageHandler = Callable[[EngineMessage], None]


class EngineEventSubscriber:
    """Receives the messages of all engines on one sub socket.

    :param handler: called in the receiving greenlet for each decoded message.
    """

    def __init__(self, handler: MessageHandler) -> None:
        self._handler = handler
        self._addresses: set[str] = set()
        self._dialers: dict[str, pynng.Dialer] = {}
        self._socket: pynng.Sub0 | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Connect to the engines in the background; they may start later."""
        self._socket = pynng.Sub0(reconnect_time_min=100, reconnect_time_max=1000)
        self._socket.subscribe(b"")
        self.set_addresses(self._addresses)
        self._greenlet = gevent.spawn(receive_forever, self._socket, self._receive)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            self._dialers.clear()

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Subscribe to the engines at ``addresses`` and to no others."""
        self._addresses = set(addresses)
        if self._socket is None:
            return
        for address in self._addresses - set(self._dialers):
            self._dialers[address] = self._socket.dial(address, block=False)
        for address in set(self._dialers) - self._addresses:
            self._dialers.pop(address).close()

    def _receive(self, data: bytes) -> None:
        try:
            self._handler(decode_message(data))
        except CodecError as error:
            _log.warning("Dropped an engine message that cannot be decoded: {}.", error)
