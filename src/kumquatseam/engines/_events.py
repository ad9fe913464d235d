"""Subscriber to the engines' cache-event and load streams over nng.

pynng's blocking ``recv`` would stall the whole gevent hub, so the receive
loop waits on the socket's ``recv_fd`` with :func:`gevent.socket.wait_read` and
then reads without blocking, looping on :class:`pynng.TryAgain`.
"""

from collections.abc import Callable

import gevent
import gevent.socket
import pynng

from kumquatseam.engines._messages import CacheEventBatch, LoadReport, decode_message
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger

_log = part_logger("events")

MessageHandler = Callable[[CacheEventBatch | LoadReport], None]


class EngineEventSubscriber:
    """Receives every engine's messages on one sub socket.

    :param addresses: nng addresses the engines publish on.
    :param handler: called in the receive greenlet for each decoded message.
    """

    def __init__(self, addresses: list[str], handler: MessageHandler) -> None:
        self._addresses = addresses
        self._handler = handler
        self._socket: pynng.Sub0 | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Dial every engine (non-blocking: engines may come later)."""
        self._socket = pynng.Sub0(reconnect_time_min=100, reconnect_time_max=1000)
        self._socket.subscribe(b"")
        for address in self._addresses:
            self._socket.dial(address, block=False)
        self._greenlet = gevent.spawn(self._receive_forever)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _receive_forever(self) -> None:
        fd = self._socket.recv_fd
        while True:
            gevent.socket.wait_read(fd)
            while True:
                try:
                    data = self._socket.recv(block=False)
                except pynng.TryAgain:
                    break
                try:
                    self._handler(decode_message(data))
                except CodecError as error:
                    _log.warning("Dropped a message: {}.", error)
