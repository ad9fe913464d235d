"""What every stand-in's HTTP server shares: start, close and JSON answers."""

import json

import bottle
import gevent.pywsgi


class StandinServer:
    """A bottle application served by gevent on loopback.

    :param app: the application.
    :param host: address to bind.
    :param port: TCP port.
    """

    def __init__(self, app: bottle.Bottle, host: str, port: int) -> None:
        self._app = app
        self._address = (host, port)
        self._server: gevent.pywsgi.WSGIServer | None = None
        app.get("/health", callback=lambda: {"status": "ok"})

    def start(self) -> None:
        """Begin serving."""
        self._server = gevent.pywsgi.WSGIServer(self._address, self._app, log=None)
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop(timeout=1)
            self._server = None


def json_answer(status: int, body: dict) -> bottle.HTTPResponse:
    """Return a JSON response."""
    headers = {"Content-Type": "application/json"}
    return bottle.HTTPResponse(json.dumps(body), status=status, headers=headers)


def json_body() -> dict:
    """Return the JSON object in the current request's body."""
    return json.loads(bottle.request.body.read() or b"{}")
