"""One tunnel: copies bytes between another instance and an upstream."""

import socket

import gevent
import gevent.lock

from kumquatseam.relays._carried import CarriedTimes
from kumquatseam.relays._coding import LAST_CHUNK, encode_chunk, encode_refusal
from kumquatseam.relays._head import HeadError
from kumquatseam.relays._inspector import RequestClosedError, TunnelInspector
from kumquatseam.relays._traffic import TunnelTraffic

_COPIED_BYTES = 65_536
#: how long a tunnel that refused a request waits until the other instance closes it;
#: with unread bytes, a close would send a reset, and the refusal could be lost.
REFUSED_CLOSE_S = 1.0


class Tunnel:
    """Copies bytes both ways until one side closes its connection.

    A slow receiver blocks the sender through the socket buffers.

    :param connection: leads to the instance that asked for it.
    :param upstream: leads to the upstream.
    :param traffic: decides on its requests.
    :param times: how long carried requests take.
    :param is_coded: whether the other instance decodes what comes from the upstream.
    """

    def __init__(
        self,
        connection,
        upstream,
        traffic: TunnelTraffic,
        times: CarriedTimes,
        is_coded: bool,
    ) -> None:
        self._connection = connection
        self._upstream = upstream
        self._inspector = TunnelInspector(traffic, times)
        self._is_coded = is_coded
        #: held while something is passed on to the other instance.
        self._sending = gevent.lock.BoundedSemaphore(1)
        self._is_refused = False
        #: whether the upstream ended its connection.
        self._is_ended = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way, and all that arrived was passed on."""
        is_passed_on = not self._sending.locked()
        return self._inspector.is_idle and is_passed_on and not self._is_ended

    def run(self) -> None:
        """Copy until the tunnel ends."""
        backward = gevent.spawn(self._copy_back)
        try:
            self._copy_forth()
        finally:
            backward.join(timeout=0)
            backward.kill()
            self._upstream.close()

    def stop(self) -> None:
        """Let the request under way end, and no further one begin."""
        self._inspector.stop()
        self.end_if_idle(0.0)

    def end_if_idle(self, for_s: float) -> None:
        """End the tunnel if it is idle: further requests on it are not sent.

        :param for_s: for how long the upstream wants none.
        """
        if self.is_idle and not self._is_refused:
            self._refuse(for_s)

    def _refuse(self, for_s: float) -> None:
        """Send no further request; only what was passed on whole comes before this."""
        self._is_refused = True
        with self._sending:
            if not self._is_ended:
                self._send_last(encode_refusal(for_s) if self._is_coded else b"")

    def _send_last(self, data: bytes) -> None:
        try:
            self._connection.sendall(data)
            self._connection.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(self._connection)

    def _copy_forth(self) -> None:
        try:
            while data := self._connection.recv(_COPIED_BYTES):
                if self._is_refused:
                    break
                self._upstream.sendall(self._inspector.feed_request(data))
            if not self._is_refused:
                self._upstream.shutdown(socket.SHUT_WR)
                # Neither requests nor responses continue after one side closed.
                self._connection.shutdown(socket.SHUT_RD)
        except RequestClosedError as error:
            self._refuse(error.for_s)
        except (OSError, HeadError):
            self._abort()
        if self._is_refused:
            self._discard()

    def _discard(self) -> None:
        """Discard what still arrives until the other instance closes the tunnel."""
        with gevent.Timeout(REFUSED_CLOSE_S, False):
            try:
                while self._connection.recv(_COPIED_BYTES):
                    pass
            except OSError:
                return

    def _copy_back(self) -> None:
        encode, last = (encode_chunk, LAST_CHUNK) if self._is_coded else (bytes, b"")
        try:
            while data := self._upstream.recv(_COPIED_BYTES):
                self._inspector.feed_response(data)
                if self._is_refused:
                    return
                with self._sending:
                    self._connection.sendall(encode(data))
            if self._is_refused:
                return
            self._is_ended = True
            self._inspector.end_responses()
            with self._sending:
                self._send_last(last)
            self._upstream.shutdown(socket.SHUT_RD)
        except OSError:
            self._abort()

    def _abort(self) -> None:
        if not self._is_refused:
            _reset(self._connection)
        _reset(self._upstream)


def _reset(connection) -> None:
    """Abort a connection, so that a truncated response does not look complete."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        # It has ended already.
        return
