"""Open tunnels to upstreams for other instances."""

import socket
from collections.abc import Callable

import gevent
import gevent.pool
import gevent.server
import gevent.socket

from kumquatseam.http1 import ConnectFailedError, open_socket
from kumquatseam.logs import part_logger
from kumquatseam.pools import dead_peer_socket_options
from kumquatseam.relays._coding import (
    CHUNKED,
    CODING_HEADER,
    LAST_CHUNK,
    encode_chunk,
)
from kumquatseam.relays._head import ConnectHead, HeadError, read_head

_log = part_logger("relay")

#: tunnels at a time: two sockets and two greenlets each, about 50 kB.
MAX_TUNNELS = 128
#: connections whose request is being read or refused, beyond those.
MAX_WAITING = 32
HEAD_TIMEOUT_S = 1.0
_COPIED_BYTES = 65_536


class RelayServer:
    """Opens tunnels to upstreams for instances that have lost their own path.

    It connects directly only, so tunnels do not form chains, and only to upstreams that
    are listed.

    :param address: ``host:port`` to listen on.
    :param connect_timeout_s: timeout of connecting to an upstream.
    :param is_upstream: whether an upstream is listed at an address.
    :param has_path: whether this instance has a path to the upstreams itself.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        is_upstream: Callable[[str], bool],
        has_path: Callable[[], bool],
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._is_upstream = is_upstream
        self._has_path = has_path
        host, _, port = address.rpartition(":")
        self._server = gevent.server.StreamServer(
            (host, int(port)),
            self._serve,
            spawn=gevent.pool.Pool(MAX_TUNNELS + MAX_WAITING),
        )
        self._tunnelled: set = set()
        self.open_tunnels = 0
        self.opened = 0
        self.refused = 0

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self) -> None:
        """Stop listening and end all tunnels."""
        self._server.stop(timeout=0.1)

    def end_tunnels(self) -> None:
        """End all tunnels, since they lead nowhere any more."""
        for connection in list(self._tunnelled):
            _reset(connection)

    def _serve(self, connection, _) -> None:
        try:
            for option in dead_peer_socket_options():
                connection.setsockopt(*option)
            head = ConnectHead(read_head(connection, HEAD_TIMEOUT_S), is_request=True)
            is_coded = head.header(CODING_HEADER) == CHUNKED
            upstream = self._connect(connection, head.target, is_coded)
            if upstream is not None:
                self._tunnel(connection, upstream, is_coded)
        except (HeadError, OSError) as error:
            _log.bind(error=str(error)).debug("Tunnel ended.")
        finally:
            connection.close()

    def _connect(self, connection, target: str, is_coded: bool):
        """Connect to an upstream and reply; return the socket, or ``None``."""
        if not self._is_upstream(target):
            return self._refuse(connection, 403, target, "not an upstream")
        if self.open_tunnels >= MAX_TUNNELS:
            return self._refuse(connection, 429, target, "too many tunnels")
        if not self._has_path():
            return self._refuse(connection, 503, target, "no path to the upstreams")
        try:
            upstream = open_socket(target, self._connect_timeout_s)
        except ConnectFailedError as error:
            return self._refuse(connection, 502, target, error.detail)
        coding = f"{CODING_HEADER}: {CHUNKED}\r\n" if is_coded else ""
        connection.sendall(f"HTTP/1.1 200 OK\r\n{coding}\r\n".encode())
        return upstream

    def _refuse(self, connection, status: int, target: str, reason: str) -> None:
        self.refused += 1
        _log.bind(target=target, status=status, reason=reason).debug("Tunnel refused.")
        connection.sendall(b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n\r\n" % status)

    def _tunnel(self, connection, upstream, is_coded: bool) -> None:
        """Copy bytes both ways until one side closes its connection."""
        self.open_tunnels += 1
        self.opened += 1
        self._tunnelled.add(connection)
        copy_back = _copy_coded if is_coded else _copy
        backward = gevent.spawn(copy_back, upstream, connection)
        try:
            _copy(connection, upstream)
        finally:
            self.open_tunnels -= 1
            self._tunnelled.discard(connection)
            backward.join(timeout=0)
            backward.kill()
            upstream.close()


def _copy_coded(upstream, target) -> None:
    """Copy an upstream's bytes in chunks, and tell how its connection ended."""
    _copy(upstream, target, encode_chunk, LAST_CHUNK)


def _copy(source, target, encode=bytes, last=b"") -> None:
    """Copy bytes until the source ends or a side fails; then end both.

    A slow receiver blocks the sender through the socket buffers.

    :param encode: encodes what is copied.
    :param last: sent when the source ended.
    """
    try:
        while data := source.recv(_COPIED_BYTES):
            target.sendall(encode(data))
        target.sendall(last)
        target.shutdown(socket.SHUT_WR)
        # Neither requests nor responses continue after one side closed.
        source.shutdown(socket.SHUT_RD)
    except OSError:
        _reset(source)
        _reset(target)


def _reset(connection) -> None:
    """Abort a connection, so that a truncated response does not look complete."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        # It has ended already.
        return
