"""Listen for the instances that ask for tunnels to upstreams."""

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import gevent.pool
import gevent.server

if TYPE_CHECKING:
    from kumquatseam.relays._carrier import TunnelCarrier
    from kumquatseam.relays._traffic import TunnelTraffic

#: tunnels at a time: two sockets and two greenlets each, about 50 kB.
MAX_TUNNELS = 128
#: connections whose request is being read or refused, beyond those.
MAX_WAITING = 32
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
            lambda connection, _: self._load_carrier().serve(connection),
            spawn=gevent.pool.Pool(MAX_TUNNELS + MAX_WAITING),
        )
        self._load_traffic = load_traffic
        self._carrier: TunnelCarrier | None = None
        #: when this instance stops.
        self._end_s = math.inf
        self._is_stopping = False

    @property
    def open_tunnels(self) -> int:
        """The number of tunnels that are open."""
        return len(self._carrier.tunnels) if self._carrier is not None else 0

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def begin_stop(self, end_s: float) -> None:
        """Begin only requests that are expected to end in time, and soon none.

        :param end_s: when this instance stops, in monotonic time.
        """
        self._end_s = end_s
        if self._carrier is not None:
            self._carrier.times.end_s = end_s
        left_s = max(0.0, end_s - time.monotonic())
        begin_for_s = min(BEGIN_WHILE_STOPPING_S, left_s * BEGIN_SHARE)
        gevent.spawn_later(begin_for_s, self._begin_nothing)

    def _begin_nothing(self) -> None:
        """Open no further tunnels, and end those that are open as they become idle."""
        self._is_stopping = True
        if self._carrier is not None:
            self._carrier.is_stopping = True
        self.end_as_idle()

    def close(self) -> None:
        """Stop listening and end all tunnels."""
        self._server.stop(timeout=0.1)

    def end_as_idle(self) -> None:
        """End the tunnels that are open as they become idle.

        What is under way on one may still be answered.
        """
        if self._carrier is not None:
            self._carrier.end_as_idle()

    def end_idle(self, address: str, for_s: float) -> None:
        """End the idle tunnels to an upstream that wants no further requests.

        :param address: its ``host:port``.
        :param for_s: for how long it wants none.
        """
        if self._carrier is not None:
            self._carrier.end_idle(address, for_s)

    def _load_carrier(self) -> "TunnelCarrier":
        """Return what opens tunnels; loaded at first use: most instances open none."""
        from kumquatseam.relays._carrier import TunnelCarrier
        from kumquatseam.relays._traffic import UnboundTraffic

        if self._carrier is None:
            self._carrier = TunnelCarrier(
                self._connect_timeout_s,
                self._is_upstream,
                self._has_path,
                (self._load_traffic or UnboundTraffic)(),
                MAX_TUNNELS,
            )
            self._carrier.times.end_s = self._end_s
            self._carrier.is_stopping = self._is_stopping
        return self._carrier
