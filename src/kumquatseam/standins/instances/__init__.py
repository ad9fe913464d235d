"""A stand-in of the platform's instance list: lagging, and at times down."""

import collections
import time

import attrs
import bottle

from kumquatseam.standins._http import StandinServer, json_answer, json_body

#: an instance not heard from for this long is no longer listed.
EXPIRY_S = 4.0


@attrs.frozen
class _Reading:
    taken_s: float
    instances: tuple[dict, ...]


class StandinInstanceList:
    """Lists instances as they stood ``lag_s`` ago.

    :param port: TCP port on 127.0.0.1.
    :param lag_s: how far the list lags behind.
    """

    def __init__(self, port: int, lag_s: float, host: str = "127.0.0.1") -> None:
        self._lag_s = lag_s
        self._down = False
        self._shown: dict[str, tuple[float, dict]] = {}
        self._readings: collections.deque[_Reading] = collections.deque()
        app = bottle.Bottle()
        app.get("/instances", callback=self._read)
        app.put("/instances/<name>", callback=self._show)
        app.put("/standin/faults", callback=self._set_faults)
        self._server = StandinServer(app, host, port)

    def start(self) -> None:
        """Begin serving."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _set_faults(self):
        self._down = bool(json_body().get("down", False))
        return {"down": self._down}

    def _show(self, name: str):
        if self._down:
            return json_answer(503, {"why": "down"})
        self._shown[name] = (time.monotonic(), json_body())
        self._take_reading()
        return {}

    def _read(self):
        if self._down:
            return json_answer(503, {"why": "down"})
        self._take_reading()
        return {"instances": list(self._readings[0].instances)}

    def _take_reading(self) -> None:
        now_s = time.monotonic()
        live = {n: s for n, s in self._shown.items() if now_s - s[0] < EXPIRY_S}
        self._shown = live
        entries = tuple(entry for _, entry in live.values())
        self._readings.append(_Reading(now_s, entries))
        while (
            len(self._readings) > 1 and now_s - self._readings[1].taken_s >= self._lag_s
        ):
            self._readings.popleft()
