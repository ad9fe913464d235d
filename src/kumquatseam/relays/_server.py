"""Open tunnels to upstreams for other instances."""

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import gevent.pool
import gevent.server
import gevent.socket

from kumquatseam.http1 import ConnectFailedError, open_socket
from kumquatseam.logs import part_logger
from kumquatseam.pools import dead_peer_socket_options
from kumquatseam.relays._head import (
    CHUNKED,
    CODING_HEADER,
    ConnectHead,
    HeadError,
    read_head,
)

if TYPE_CHECKING:
    from kumquatseam.relays._carried import CarriedTimes
    from kumquatseam.relays._traffic import TunnelTraffic

_log = part_logger("relay")

#: tunnels at a time: two sockets and two greenlets each, about 50 kB.
MAX_TUNNELS = 128
#: connections whose request is being read or refused, beyond those.
MAX_WAITING = 32
HEAD_TIMEOUT_S = 1.0
#: requests are begun for this long after a stop was requested, as those of callers.
BEGIN_WHILE_STOPPING_S = 2.0
#: at most this share of the time until the stop: what was begun has the rest to end.
BEGIN_SHARE = 0.5


class RelayServer:
    """Opens tunnels to upstreams for instances that have lost their own path.

    It connects directly only, so tunnels do not form chains, and only to upstreams that
    are listed.

    :param address: ``host:port`` to listen on.
    :param connect_timeout_s: timeout of connecting to an upstream.
    :param is_upstream: whether an upstream is listed at an address.
    :param has_path: whether this instance has a path to the upstreams itself.
    :param load_traffic: returns what decides on the requests of others; by default all
        are sent.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        is_upstream: Callable[[str], bool],
        has_path: Callable[[], bool],
        load_traffic: Callable[[], "TunnelTraffic"] | None = None,
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
        self._load_traffic = load_traffic
        self._traffic: TunnelTraffic | None = None
        self._times: CarriedTimes | None = None
        #: when this instance stops.
        self._end_s = math.inf
        #: the upstreams' addresses of the open tunnels.
        self._tunnels: dict = {}
        self._is_stopping = False
        self.open_tunnels = 0
        self.opened = 0
        self.refused = 0

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def begin_stop(self, end_s: float) -> None:
        """Begin only requests that are expected to end in time, and soon none.

        :param end_s: when this instance stops, in monotonic time.
        """
        self._end_s = end_s
        if self._times is not None:
            self._times.end_s = end_s
        left_s = max(0.0, end_s - time.monotonic())
        begin_for_s = min(BEGIN_WHILE_STOPPING_S, left_s * BEGIN_SHARE)
        gevent.spawn_later(begin_for_s, self._begin_nothing)

    def _begin_nothing(self) -> None:
        """Open no further tunnels, and end those that are open as they become idle."""
        self._is_stopping = True
        self.end_as_idle()

    def close(self) -> None:
        """Stop listening and end all tunnels."""
        self._server.stop(timeout=0.1)

    def end_as_idle(self) -> None:
        """End the tunnels that are open as they become idle.

        What is under way on one may still be answered.
        """
        for tunnel in list(self._tunnels):
            gevent.spawn(tunnel.stop)

    def end_idle(self, address: str, for_s: float) -> None:
        """End the idle tunnels to an upstream that wants no further requests.

        :param address: its ``host:port``.
        :param for_s: for how long it wants none.
        """
        for tunnel, tunnelled in list(self._tunnels.items()):
            if tunnelled == address:
                gevent.spawn(tunnel.end_if_idle, for_s)

    def _serve(self, connection, _) -> None:
        try:
            for option in dead_peer_socket_options():
                connection.setsockopt(*option)
            head = ConnectHead(read_head(connection, HEAD_TIMEOUT_S), is_request=True)
            is_coded = head.header(CODING_HEADER) == CHUNKED
            upstream = self._connect(connection, head.target, is_coded)
            if upstream is not None:
                self._tunnel(connection, upstream, head.target, is_coded)
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
        if self._is_stopping or not self._ends_in_time():
            return self._refuse(connection, 503, target, "stopping")
        if not self._has_path():
            return self._refuse(connection, 503, target, "no path to the upstreams")
        try:
            upstream = open_socket(target, self._connect_timeout_s)
        except ConnectFailedError as error:
            return self._refuse(connection, 502, target, error.detail)
        coding = f"{CODING_HEADER}: {CHUNKED}\r\n" if is_coded else ""
        connection.sendall(f"HTTP/1.1 200 OK\r\n{coding}\r\n".encode())
        return upstream

    def _ends_in_time(self) -> bool:
        return self._times is None or self._times.ends_in_time

    def _refuse(self, connection, status: int, target: str, reason: str) -> None:
        self.refused += 1
        _log.bind(target=target, status=status, reason=reason).debug("Tunnel refused.")
        connection.sendall(b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n\r\n" % status)

    def _tunnel(self, connection, upstream, address: str, is_coded: bool) -> None:
        """Serve a tunnel until it ends.

        Its code is loaded with the first one: most instances never carry any.
        """
        from kumquatseam.relays._carried import CarriedTimes
        from kumquatseam.relays._traffic import UnboundTraffic
        from kumquatseam.relays._tunnel import Tunnel

        if self._traffic is None:
            self._traffic = (self._load_traffic or UnboundTraffic)()
            self._times = CarriedTimes(self._end_s)
        tunnel = Tunnel(connection, upstream, self._traffic, self._times, is_coded)
        self.open_tunnels += 1
        self.opened += 1
        self._tunnels[tunnel] = address
        try:
            tunnel.run()
        finally:
            self.open_tunnels -= 1
            del self._tunnels[tunnel]
