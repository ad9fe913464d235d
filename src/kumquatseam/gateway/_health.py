"""HTTP endpoints for readiness and metrics."""

from collections.abc import Callable

import bottle
from gevent import pywsgi

from kumquatseam.gatewayfile import GatewaySettings


class _PageServer:
    """Serves one page over HTTP.

    :param address: ``host:port`` to listen on.
    :param path: the page's path.
    :param respond: sets the response's status and headers, and returns the text.
    """

    def __init__(self, address: str, path: str, respond: Callable[[], object]) -> None:
        app = bottle.Bottle()
        app.get(path)(respond)
        host, _, port = address.rpartition(":")
        # Otherwise each start looks the host's name up.
        environ = {"SERVER_NAME": host}
        self._server = pywsgi.WSGIServer(
            (host, int(port)), app, log=None, environ=environ
        )

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0.1)


class HealthServer(_PageServer):
    """Serves the readiness check: whether this process accepts new connections.

    :param address: ``host:port`` to listen on.
    :param path: path of the check.
    :param is_ready: whether to respond with 200 or with 503.
    """

    def __init__(self, address: str, path: str, is_ready: Callable[[], bool]) -> None:
        def respond() -> str:
            bottle.response.status = 200 if is_ready() else 503
            return ""

        super().__init__(address, path, respond)


class MetricsServer(_PageServer):
    """Serves metrics as text.

    :param address: ``host:port`` to listen on.
    :param path: path of the metrics.
    :param read: returns the metrics as text.
    """

    def __init__(self, address: str, path: str, read: Callable[[], bytes]) -> None:
        def respond() -> bytes:
            bottle.response.content_type = "text/plain; version=0.0.4"
            return read()

        super().__init__(address, path, respond)


def health_servers(
    settings: GatewaySettings,
    is_ready: Callable[[], bool],
    read_metrics: Callable[[], bytes],
) -> list[HealthServer | MetricsServer]:
    """Return the servers that the settings ask for; the one of metrics is optional."""
    servers: list[HealthServer | MetricsServer] = [
        HealthServer(settings.health_listen, settings.ready_path, is_ready)
    ]
    if settings.metrics_listen:
        servers.append(
            MetricsServer(settings.metrics_listen, settings.metrics_path, read_metrics)
        )
    return servers
