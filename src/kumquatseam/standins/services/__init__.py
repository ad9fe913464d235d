"""A stand-in plain service: a back end whose calls may not all be repeated."""

import os
import time

import bottle
import gevent

from kumquatseam.engines import LIMIT_HEADER
from kumquatseam.standins._http import StandinServer, json_answer, json_body


class StandinService:
    """Counts every call it runs, so that tests see each repeat.

    ``POST`` runs something that must not be repeated, ``GET`` may be. With
    ``lose_answers`` set it runs a call and then breaks the connection; with
    ``refuse`` it answers 503 without running (``X-Not-Executed``); a call whose path
    has ``crashes_on`` in it crashes the process. With ``limit_per_s`` set, it announces
    that it accepts so many calls a second from all routers together. With
    ``answer_bytes`` set, its answers to a call whose path has ``large`` in it have that
    size.

    :param name: the replica's name.
    :param port: TCP port on 127.0.0.1.
    """

    def __init__(self, name: str, port: int, host: str = "127.0.0.1") -> None:
        self._name = name
        self._runs: list[dict] = []
        self._faults = {
            "lose_answers": 0,
            "refuse": 0,
            "delay_s": 0.0,
            "crashes_on": None,
            "limit_per_s": None,
            "answer_bytes": 0,
        }
        app = bottle.Bottle()
        app.put("/standin/faults", callback=self._set_faults)
        app.get("/standin/stats", callback=lambda: {"runs": self._runs})
        app.route("/<path:path>", method=["GET", "POST"], callback=self._run)
        self._server = StandinServer(app, host, port)

    def start(self) -> None:
        """Begin serving."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _set_faults(self):
        self._faults.update(json_body())
        return self._faults

    def _run(self, path: str):
        if self._faults["refuse"]:
            self._faults["refuse"] -= 1
            answer = json_answer(503, {"why": "full"})
            answer.set_header("X-Not-Executed", "true")
            return answer
        request = bottle.request
        self._runs.append(
            {
                "method": request.method,
                "path": path,
                "request_id": request.headers.get("X-Request-Id"),
                "body": request.body.read().decode(),
                "began_s": time.time(),
            }
        )
        if self._faults["limit_per_s"] is not None:
            bottle.response.set_header(LIMIT_HEADER, f"{self._faults['limit_per_s']:g}")
        if self._faults["crashes_on"] in path.split("/"):
            os._exit(1)
        gevent.sleep(self._faults["delay_s"])
        if self._faults["lose_answers"]:
            self._faults["lose_answers"] -= 1
            return self._break()
        if self._faults["answer_bytes"] and "large" in path.split("/"):
            return b"x" * self._faults["answer_bytes"]
        return {"replica": self._name, "run": len(self._runs), "path": path}

    def _break(self):
        """Break the connection after the answer began."""
        yield b"{"
        raise ConnectionResetError("told to lose the answer")
