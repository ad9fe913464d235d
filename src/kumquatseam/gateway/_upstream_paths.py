"""Wiring of the ways on which an instance reaches upstreams."""

import functools
import time
from typing import TYPE_CHECKING

import gevent

from kumquatseam.gateway._dialect import Dialect
from kumquatseam.gatewayfile import GatewayFile
from kumquatseam.http1 import ConnectFailedError, ConnectionPool
from kumquatseam.loops import StepLoop
from kumquatseam.peers import PeerBus
from kumquatseam.quarantine import Liveness, probe_liveness
from kumquatseam.relays import (
    DirectPath,
    NoRelayError,
    RelayingConnector,
    RelayServer,
)
from kumquatseam.upstreams import UpstreamDirectory

if TYPE_CHECKING:
    from kumquatseam.relays.client import RelayClient
    from kumquatseam.relays.traffic import TunnelTraffic

#: seconds between checks for tunnels that are still open.
STOP_POLL_S = 0.05
#: timeout of a relayed connection, as a share of that of a direct one, so that the
#: instance that asked for it gets a reply in time.
RELAYED_CONNECT_SHARE = 0.4


class UpstreamPaths:
    """Builds what connects to upstreams, directly and through other instances.

    :param file: the gateway's settings.
    :param dialect: translates the platform's headers.
    :param directory: the known upstreams.
    :param bus: the other instances.
    """

    def __init__(
        self,
        file: GatewayFile,
        dialect: Dialect,
        directory: UpstreamDirectory,
        bus: PeerBus,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._connect_timeout_s = file.gateway.connect_timeout_s
        self.path = DirectPath(lambda: len(directory.all()))
        self._name = file.gateway.router_name
        self._bus = bus
        self._connector = RelayingConnector(
            self.path, lambda: self.relays, self._list_probed_addresses
        )
        self.pool = ConnectionPool(self._connect_timeout_s, self._connector)
        self.path.on_change(self._handle_path_change)
        self._servers = self._build_servers(file.peers.relay_address)
        self.parts = [
            StepLoop(self._connector.next_check_s, self._connector.check),
            *self._servers,
        ]

    @functools.cached_property
    def relays(self) -> "RelayClient":
        """What opens tunnels through other instances; loaded at the first use."""
        from kumquatseam.relays.client import RelayClient

        return RelayClient(self._name, lambda: self._bus.records)

    def probe_liveness(self, address: str) -> Liveness:
        """Return whether a process listens at an address, as others see it too."""
        liveness = probe_liveness(address)
        if liveness is not Liveness.ENDED:
            return liveness
        try:
            self.relays.check(address, self._connect_timeout_s)
        except (ConnectFailedError, NoRelayError):
            return Liveness.UNKNOWN if self.path.is_lost else Liveness.ENDED
        self.path.note_relayed()
        return Liveness.ALIVE

    def begin_stop(self, end_s: float) -> None:
        """Begin only requests of other instances that end in time, and soon none.

        :param end_s: when this instance stops, in monotonic time.
        """
        for server in self._servers:
            server.begin_stop(end_s)

    def finish_carrying(self, end_s: float) -> None:
        """Wait for the requests of other instances that are under way.

        :param end_s: until when, in monotonic time.
        """
        for server in self._servers:
            while server.open_tunnels and time.monotonic() < end_s:
                gevent.sleep(STOP_POLL_S)

    def _build_servers(self, address: str) -> list[RelayServer]:
        """Build the server of tunnels for other instances, if it has an address."""
        if not address:
            return []
        server = RelayServer(
            address,
            self._connect_timeout_s * RELAYED_CONNECT_SHARE,
            self._directory.has_address,
            lambda: not self.path.is_suspect,
            self._load_tunnel_traffic,
        )
        self._directory.on_closed(
            lambda status: server.end_idle(
                status.upstream.address, status.availability.stated_for_s
            )
        )
        self.path.on_change(lambda is_lost: server.end_as_idle() if is_lost else None)
        return [server]

    def _load_tunnel_traffic(self) -> "TunnelTraffic":
        """Build what decides on the requests of others, at the first tunnel."""
        from kumquatseam.gateway._tunnel_traffic import GatewayTunnelTraffic

        return GatewayTunnelTraffic(self._dialect, self._directory)

    def _list_probed_addresses(self) -> list[str]:
        """Return the addresses of upstreams that may get probes."""
        return [
            status.upstream.address
            for status in self._directory.all()
            if not status.is_leaving and not status.is_closed
        ]

    def _handle_path_change(self, is_lost: bool) -> None:
        """Reconnect to all upstreams, the other way."""
        self.pool.close()
        self._directory.forgive_connection_failures()
