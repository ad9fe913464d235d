"""Small messages between instances, without connections.

Queries are about a hundred bytes long and may go to any instance. Connections
would cost memory and file descriptors on each instance for every other one.
Datagrams may be lost, so callers that wait for a reply use a short timeout.
"""

import abc
from collections.abc import Callable, Mapping

import gevent
import gevent.socket

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger

_log = part_logger("datagrams")

#: longest datagram received; a query about a dozen upstreams has 600 bytes.
MAX_DATAGRAM_BYTES = 65_000


class DatagramLink(abc.ABC):
    """Sends datagrams to instances and dispatches theirs; datagrams may be lost."""

    @abc.abstractmethod
    def send(self, address: str, message: object) -> None:
        """Send a message to the instance at ``address`` without blocking."""

    @abc.abstractmethod
    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        """Call ``handler`` with each message of class ``kind`` and its sender.

        :param handler: takes the message and the sender's ``host:port``.
        """


class NullDatagramLink(DatagramLink):
    """Drops all messages; for an instance without peers."""

    def send(self, address: str, message: object) -> None:
        pass

    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        pass


class DatagramSocket(DatagramLink):
    """Datagrams over UDP.

    :param address: ``host:port`` of this instance.
    :param kinds: message classes by their names on the wire.
    """

    def __init__(self, address: str, kinds: Mapping[str, type]) -> None:
        self._address = address
        self._codec = MessageCodec("datagram", kinds, is_compact=True)
        self._handlers: dict[type, Callable[[object, str], None]] = {}
        self._socket: gevent.socket.socket | None = None
        self._reader: gevent.Greenlet | None = None
        self.sent = 0
        self.send_failures = 0
        self.received = 0

    def on_message(self, kind: type, handler: Callable[[object, str], None]) -> None:
        self._handlers[kind] = handler

    def start(self) -> None:
        """Bind the socket and start receiving."""
        host, _, port = self._address.rpartition(":")
        family, kind = gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM
        self._socket = gevent.socket.socket(family, kind)
        self._socket.bind((host, int(port)))
        self._socket.setblocking(False)
        self._reader = gevent.spawn(self._receive_forever)

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
        except (CodecError, OSError) as error:
            # Queries fall back to another instance after their timeout; other messages
            # are advisory.
            self.send_failures += 1
            _log.bind(address=address, error=repr(error)).debug("Datagram not sent.")

    def _receive_forever(self) -> None:
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
                # An ICMP error for a datagram sent earlier.
                _log.bind(error=repr(error)).debug("Datagram not received.")
                return
            self.received += 1
            self._handle(data, f"{host}:{port}")

    def _handle(self, data: bytes, sender: str) -> None:
        try:
            message = self._codec.decode(data)
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message, sender)
        except CodecError as error:
            _log.bind(sender=sender, error=str(error)).warning("Bad datagram.")
        except Exception:  # noqa: BLE001 - logged; later datagrams are unaffected
            _log.bind(sender=sender).exception("Datagram handler failed.")
