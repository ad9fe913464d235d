"""Readiness and metrics for the platform."""

from collections.abc import Callable

import bottle
from gevent import pywsgi


class _PageServer:
    """Serves one page over HTTP.

    :param address: ``host:port`` to listen on.
    :param path: the page's path.
    :param answer: sets the response and returns the page's text.
    """

    def __init__(self, address: str, path: str, answer: Callable[[], object]) -> None:
        app = bottle.Bottle()
        app.get(path)(answer)
        host, _, port = address.rpartition(":")
        self._server = pywsgi.WSGIServer((host, int(port)), app, log=None)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0.1)


class HealthServer(_PageServer):
    """Answers whether this process takes new connections.

    :param address: ``host:port`` to listen on.
    :param path: path of the question.
    :param is_ready: the answer: 200 if true, else 503.
    """

    def __init__(self, address: str, path: str, is_ready: Callable[[], bool]) -> None:
        def answer() -> str:
            bottle.response.status = 200 if is_ready() else 503
            return ""

        super().__init__(address, path, answer)


class MetricsServer(_PageServer):
    """Serves metrics as text.

    :param address: ``host:port`` to listen on.
    :param path: path of the metrics.
    :param read: returns them.
    """

    def __init__(self, address: str, path: str, read: Callable[[], bytes]) -> None:
        def answer() -> bytes:
            bottle.response.content_type = "text/plain; version=0.0.4"
            return read()

        super().__init__(address, path, answer)
