"""Request-reply messaging between processes of this system, over nng.

Use it for occasional queries; broadcasts use publish-subscribe.
"""

from collections.abc import Callable

import gevent
import pynng

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError, KumquatseamError
from kumquatseam.logs import part_logger
from kumquatseam.nng import receive_forever, receive_within

_log = part_logger("control")


class ReplyServer:
    """Replies to the requests of other processes at one address.

    :param address: nng address to listen on.
    :param codec: codec of requests and replies.
    :param handler: returns the reply to a request.
    """

    def __init__(
        self,
        address: str,
        codec: MessageCodec,
        handler: Callable[[object], object],
    ) -> None:
        self._address = address
        self._codec = codec
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._greenlet: gevent.Greenlet | None = None
        self.bytes_exchanged = 0

    def start(self) -> None:
        """Start listening and replying."""
        self._socket = pynng.Rep0(listen=self._address)
        self._greenlet = gevent.spawn(receive_forever, self._socket, self._answer)
        _log.info("Listening on {}.", self._address)

    def close(self) -> None:
        """Stop replying and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._socket is not None:
            self._socket.close()

    def _answer(self, data: bytes) -> None:
        self.bytes_exchanged += len(data)
        try:
            reply = self._codec.encode(self._handler(self._codec.decode(data)))
        except KumquatseamError as error:
            _log.warning("Request not answered: {}.", error)
            return
        self.bytes_exchanged += len(reply)
        try:
            self._socket.send(reply, block=False)
        except pynng.NNGException as error:
            _log.warning("Reply could not be sent: {!r}.", error)


class ReplyClient:
    """Sends requests to one process over a persistent connection.

    :param address: the nng address of its :class:`ReplyServer`.
    :param codec: codec of requests and replies.
    """

    def __init__(self, address: str, codec: MessageCodec) -> None:
        self.address = address
        self._codec = codec
        self._socket = pynng.Req0(reconnect_time_min=100, reconnect_time_max=1000)
        self._socket.dial(address, block=False)
        self.bytes_exchanged = 0

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def request(self, message: object, timeout_s: float) -> object | None:
        """Send ``message`` and return the reply, or ``None`` after the timeout.

        A new request cancels the previous one.
        """
        data = self._codec.encode(message)
        with gevent.Timeout(timeout_s, False):
            while not self._send(data):
                gevent.sleep(0.01)
            self.bytes_exchanged += len(data)
            reply = receive_within(self._socket, timeout_s)
            if reply is None:
                return None
            self.bytes_exchanged += len(reply)
            try:
                return self._codec.decode(reply)
            except CodecError as error:
                _log.warning("Invalid reply from {}: {}.", self.address, error)
        return None

    def _send(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True


def request_once(
    address: str, codec: MessageCodec, message: object, timeout_s: float
) -> object | None:
    """Send one request over a new connection; return ``None`` after the timeout."""
    client = ReplyClient(address, codec)
    try:
        return client.request(message, timeout_s)
    finally:
        client.close()
