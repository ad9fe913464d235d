"""Small messages between instances, without connections.

A connection to each instance that is asked would cost memory and descriptors for
every other one, and a question is a hundred bytes. Datagrams may be lost; who
waits for an answer gives up soon.
"""

import abc
from collections.abc import Callable, Mapping

import gevent
import gevent.socket

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger

_log = part_logger("datagrams")

#: longest datagram taken; a question about a dozen upstreams has 600 bytes.
MAX_DATAGRAM_BYTES = 65_000


class DatagramLink(abc.ABC):
    """Sends messages to instances, which may be lost, and takes theirs."""

    @abc.abstractmethod
    def send(self, address: str, message: object) -> None:
        """Send a message to the instance at ``address``; never waits."""

    @abc.abstractmethod
    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        """Call ``handler`` with each message of class ``kind`` and its sender."""


class NullDatagramLink(DatagramLink):
    """For an instance that has no others."""

    def send(self, address: str, message: object) -> None:
        pass

    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        pass


class DatagramSocket(DatagramLink):
    """Datagrams over UDP.

    :param address: ``host:port`` of this instance.
    :param kinds: the messages' classes by their names on the wire.
    """

    def __init__(self, address: str, kinds: Mapping[str, type]) -> None:
        self._address = address
        self._codec = MessageCodec("datagram", kinds, is_compact=True)
        self._handlers: dict[type, Callable[[object, str], None]] = {}
        self._socket: gevent.socket.socket | None = None
        self._reader: gevent.Greenlet | None = None
        self.sent = 0
        self.unsent = 0
        self.received = 0

    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        self._handlers[kind] = handler

    def start(self) -> None:
        """Bind and begin to receive."""
        host, _, port = self._address.rpartition(":")
        family, kind = gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM
        self._socket = gevent.socket.socket(family, kind)
        self._socket.bind((host, int(port)))
        self._socket.setblocking(False)
        self._reader = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop receiving."""
        if self._reader is not None:
            self._reader.kill()
            self._reader = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, address: str, message: object) -> None:
        if self._socket is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(self._codec.encode(message), (host, int(port)))
            self.sent += 1
        except OSError as error:
            # Who waits for an answer asks elsewhere; the rest only informs.
            self.unsent += 1
            _log.bind(address=address, error=repr(error)).debug("Datagram not sent.")

    def _run(self) -> None:
        while True:
            gevent.socket.wait_read(self._socket.fileno())
            self._receive_all()

    def _receive_all(self) -> None:
        while True:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram could not be delivered.
                _log.bind(error=repr(error)).debug("Datagram not received.")
                return
            self.received += 1
            self._take(data, f"{host}:{port}")

    def _take(self, data: bytes, sender: str) -> None:
        try:
            message = self._codec.decode(data)
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message, sender)
        except CodecError as error:
            _log.bind(sender=sender, error=str(error)).warning("Bad datagram.")
        except Exception:  # noqa: BLE001 - logged; the next one may be sound
            _log.bind(sender=sender).exception("A datagram could not be taken in.")
