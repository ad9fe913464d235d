"""HTTP endpoints for readiness and metrics."""

from collections.abc import Callable

import attrs
import gevent

from kumquatseam.buffers import BufferBudget
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._connection_admission import ConnectionAdmission
from kumquatseam.gateway._connection_handler import ConnectionHandler
from kumquatseam.gateway._server import GatewayServer
from kumquatseam.gateway._stop_clock import StopClock
from kumquatseam.gatewayfile import GatewaySettings
from kumquatseam.http1 import Request, RequestLimits

#: connections to one endpoint; a load balancer and a few collectors need some.
MAX_CONNECTIONS = 32
#: what all of them may hold together: twice their heads and themselves.
MAX_HELD_BYTES = 2_097_152
#: probes and collectors ask every few seconds, and send hardly anything.
LIMITS = RequestLimits(
    max_header_bytes=8192,
    max_body_bytes=1024,
    header_timeout_s=5.0,
    idle_timeout_s=75.0,
    total_timeout_s=5.0,
)


@attrs.frozen
class Page:
    """What an endpoint responds with.

    :param status: HTTP status.
    :param body: its text.
    """

    status: int
    body: bytes


class _PageHandler(ConnectionHandler):
    """Responds to requests for one page.

    :param path: the page's path.
    :param read: returns the page.
    """

    def __init__(self, path: str, read: Callable[[], Page]) -> None:
        super().__init__(StopClock())
        self._path = path
        self._read = read

    def handle(
        self,
        request: Request,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> bool:
        page = self._respond(request)
        keep = may_keep_alive()
        fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
        if not keep:
            fields.append((b"Connection", b"close"))
        body = page.body if request.method == b"GET" else b""
        caller.send_response(page.status, fields, body)
        return keep

    def _respond(self, request: Request) -> Page:
        if request.path != self._path:
            return Page(404, b"")
        if request.method not in (b"GET", b"HEAD"):
            return Page(405, b"")
        return self._read()


class PageServer:
    """Serves one page over HTTP, on few connections.

    :param address: ``host:port`` to listen on.
    :param path: the page's path.
    :param read: returns the page.
    """

    def __init__(self, address: str, path: str, read: Callable[[], Page]) -> None:
        self._server = GatewayServer(
            address,
            _PageHandler(path, read),
            lambda: LIMITS,
            0.0,
            ConnectionAdmission(None, max_connections=MAX_CONNECTIONS),
            BufferBudget(MAX_HELD_BYTES),
        )

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop_accepting()
        gevent.killall(self._server.open_greenlets, block=False)


def health_servers(
    settings: GatewaySettings,
    is_ready: Callable[[], bool],
    read_metrics: Callable[[], bytes],
) -> list[PageServer]:
    """Return the servers that the settings ask for; the one of metrics is optional.

    :param is_ready: whether this process accepts new connections.
    :param read_metrics: returns the metrics as text.
    """

    def read_ready() -> Page:
        return Page(200 if is_ready() else 503, b"")

    servers = [PageServer(settings.health_listen, settings.ready_path, read_ready)]
    if settings.metrics_listen:
        servers.append(
            PageServer(
                settings.metrics_listen,
                settings.metrics_path,
                lambda: Page(200, read_metrics()),
            )
        )
    return servers
