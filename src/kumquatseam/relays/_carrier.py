"""Open tunnels to upstreams, and end them."""

from collections.abc import Callable

import gevent

from kumquatseam.http1 import ConnectFailedError, open_socket
from kumquatseam.logs import part_logger
from kumquatseam.pools import dead_peer_socket_options
from kumquatseam.relays._carried import CarriedTimes
from kumquatseam.relays._head import (
    CHUNKED,
    CODING_HEADER,
    ConnectHead,
    HeadError,
    read_head,
)
from kumquatseam.relays._traffic import TunnelTraffic
from kumquatseam.relays._tunnel import Tunnel

_log = part_logger("relay")

HEAD_TIMEOUT_S = 1.0


class TunnelCarrier:
    """Opens the tunnels that other instances ask for.

    :param connect_timeout_s: timeout of connecting to an upstream.
    :param is_upstream: whether an upstream is listed at an address.
    :param has_path: whether this instance has a path to the upstreams itself.
    :param traffic: decides on the requests of others.
    :param max_tunnels: how many may be open at a time.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        is_upstream: Callable[[str], bool],
        has_path: Callable[[], bool],
        traffic: TunnelTraffic,
        max_tunnels: int,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._is_upstream = is_upstream
        self._has_path = has_path
        self._traffic = traffic
        self._max_tunnels = max_tunnels
        self.times = CarriedTimes()
        #: the upstreams' addresses of the open tunnels.
        self.tunnels: dict[Tunnel, str] = {}
        #: whether no further tunnel is opened, since this instance stops.
        self.is_stopping = False

    def serve(self, connection) -> None:
        """Read what an instance asks for, and serve its tunnel until it ends."""
        try:
            for option in dead_peer_socket_options():
                connection.setsockopt(*option)
            head = ConnectHead(read_head(connection, HEAD_TIMEOUT_S), is_request=True)
            is_coded = head.header(CODING_HEADER) == CHUNKED
            upstream = self._connect(connection, head.target, is_coded)
            if upstream is not None:
                self._run_tunnel(connection, upstream, head.target, is_coded)
        except (HeadError, OSError) as error:
            _log.bind(error=str(error)).debug("Tunnel ended.")
        finally:
            connection.close()

    def end_as_idle(self) -> None:
        """End the open tunnels as they become idle."""
        for tunnel in list(self.tunnels):
            gevent.spawn(tunnel.stop)

    def end_idle(self, address: str, for_s: float) -> None:
        """End the idle tunnels to an upstream that wants no further requests.

        :param address: its ``host:port``.
        :param for_s: for how long it wants none.
        """
        for tunnel, tunnelled in list(self.tunnels.items()):
            if tunnelled == address:
                gevent.spawn(tunnel.end_if_idle, for_s)

    def _connect(self, connection, target: str, is_coded: bool):
        """Connect to an upstream and reply; return the socket, or ``None``."""
        if not self._is_upstream(target):
            return self._refuse(connection, 403, target, "not an upstream")
        if len(self.tunnels) >= self._max_tunnels:
            return self._refuse(connection, 429, target, "too many tunnels")
        if self.is_stopping or not self.times.ends_in_time:
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

    def _refuse(self, connection, status: int, target: str, reason: str) -> None:
        _log.bind(target=target, status=status, reason=reason).debug("Tunnel refused.")
        connection.sendall(b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n\r\n" % status)

    def _run_tunnel(self, connection, upstream, address: str, is_coded: bool) -> None:
        tunnel = Tunnel(connection, upstream, self._traffic, self.times, is_coded)
        self.tunnels[tunnel] = address
        try:
            tunnel.run()
        finally:
            del self.tunnels[tunnel]
