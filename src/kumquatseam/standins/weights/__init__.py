"""A stand-in of the rate-limited weight store."""

import bottle
import gevent

from kumquatseam.standins._http import StandinServer, json_answer


class StandinWeightStore:
    """Serves weights to a few engines at once and turns the others away.

    :param port: TCP port on 127.0.0.1.
    :param concurrent_loads: engines served at once.
    :param load_s: seconds one load takes.
    """

    def __init__(
        self, port: int, concurrent_loads: int, load_s: float, host: str = "127.0.0.1"
    ) -> None:
        self._concurrent_loads = concurrent_loads
        self._load_s = load_s
        self._running = 0
        self._served = 0
        self._refused = 0
        app = bottle.Bottle()
        app.get("/weights/<model>/<version>", callback=self._serve)
        app.get("/standin/stats", callback=self._stats)
        self._server = StandinServer(app, host, port)

    def start(self) -> None:
        """Begin serving."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, model: str, version: str):
        if self._running >= self._concurrent_loads:
            self._refused += 1
            return json_answer(429, {"why": "too many loads"})
        self._running += 1
        try:
            gevent.sleep(self._load_s)
        finally:
            self._running -= 1
        self._served += 1
        return {"model": model, "version": version}

    def _stats(self):
        return {"served": self._served, "refused": self._refused}
