"""Request and reply between our own processes over nng."""

from collections.abc import Callable

import gevent
import pynng

from kumquatseam.errors import CodecError, KumquatseamError
from kumquatseam.fleet._messages import CONTROL_CODEC, ControlMessage
from kumquatseam.logs import part_logger
from kumquatseam.nng import receive_forever, receive_within

_log = part_logger("control")


class ControlServer:
    """Answers peers and operators at this router's control address.

    :param address: nng address to listen on.
    :param handler: returns the reply to a message.
    """

    def __init__(
        self, address: str, handler: Callable[[ControlMessage], ControlMessage]
    ) -> None:
        self._address = address
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._greenlet: gevent.Greenlet | None = None
        self.bytes_exchanged = 0

    def start(self) -> None:
        """Listen and begin answering."""
        self._socket = pynng.Rep0(listen=self._address)
        self._greenlet = gevent.spawn(receive_forever, self._socket, self._answer)
        _log.info("Listening on {}.", self._address)

    def close(self) -> None:
        """Stop answering."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._socket is not None:
            self._socket.close()

    def _answer(self, data: bytes) -> None:
        self.bytes_exchanged += len(data)
        try:
            reply = CONTROL_CODEC.encode(self._handler(CONTROL_CODEC.decode(data)))
        except KumquatseamError as error:
            _log.warning("Left a message unanswered: {}.", error)
            return
        self.bytes_exchanged += len(reply)
        try:
            self._socket.send(reply, block=False)
        except pynng.NNGException as error:
            _log.warning("Could not answer: {!r}.", error)


class ControlClient:
    """Asks one router, keeping its connection.

    :param address: the router's control address.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Req0(reconnect_time_min=100, reconnect_time_max=1000)
        self._socket.dial(address, block=False)
        self.bytes_exchanged = 0

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def ask(self, message: ControlMessage, timeout_s: float) -> ControlMessage | None:
        """Return the router's reply, or ``None`` if none came in time.

        Asking again gives up the request before.
        """
        data = CONTROL_CODEC.encode(message)
        with gevent.Timeout(timeout_s, False):
            while not self._send(data):
                gevent.sleep(0.01)
            self.bytes_exchanged += len(data)
            reply = receive_within(self._socket, timeout_s)
            if reply is None:
                return None
            self.bytes_exchanged += len(reply)
            try:
                return CONTROL_CODEC.decode(reply)
            except CodecError as error:
                _log.warning("Dropped a reply of {}: {}.", self.address, error)
        return None

    def _send(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True
