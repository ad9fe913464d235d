"""What the router knows of each engine's life and load.

Load reports come with a lag, so the router also counts the requests it has
in flight on each engine and uses the larger of the two.
"""

import attrs

from kumquatseam.engines import LoadReport


@attrs.define
class _EngineState:
    known_since_s: float
    epoch: str | None = None
    last_heard_s: float | None = None
    reported_requests: int = 0
    in_flight_requests: int = 0
    failed_until_s: float = 0.0
    dead: bool = False


class FleetView:
    """Liveness and load of every engine the settings name.

    :param engines: the engines' names.
    :param dead_after_s: an engine silent this long is dead.
    :param now_s: the monotonic time now.
    """

    def __init__(self, engines: list[str], dead_after_s: float, now_s: float) -> None:
        self._dead_after_s = dead_after_s
        self._engines = {name: _EngineState(known_since_s=now_s) for name in engines}

    def observe_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a load report."""
        state = self._engines.get(report.engine)
        if state is None:
            return
        state.epoch = report.epoch
        state.last_heard_s = now_s
        state.dead = False
        state.reported_requests = report.running_requests + report.waiting_requests

    def observe_heard(self, engine: str, epoch: str, now_s: float) -> None:
        """Note that any message came from ``engine``."""
        state = self._engines.get(engine)
        if state is not None:
            state.epoch = epoch
            state.last_heard_s = now_s
            state.dead = False

    def mark_failed(self, engine: str, now_s: float, hold_s: float) -> None:
        """Keep ``engine`` out of routing for ``hold_s`` after a failure."""
        self._engines[engine].failed_until_s = now_s + hold_s

    def is_live(self, engine: str, now_s: float) -> bool:
        """Return whether ``engine`` may take new work.

        An engine not heard from yet counts as live for ``dead_after_s``, so a
        fresh router serves at once; silent for longer, it does not.
        """
        state = self._engines[engine]
        if state.dead or now_s < state.failed_until_s:
            return False
        since_s = state.last_heard_s
        if since_s is None:
            since_s = state.known_since_s
        return now_s - since_s < self._dead_after_s

    def may_be_live(self, engine: str, now_s: float) -> bool:
        """Return whether ``engine`` was never heard from and has not failed.

        Such engines are the last resort when no engine is live: their event
        stream may be what is broken, not they.
        """
        state = self._engines[engine]
        return state.last_heard_s is None and now_s >= state.failed_until_s

    def newly_dead(self, now_s: float) -> list[str]:
        """Return engines that went silent, forgetting their epoch."""
        dead = []
        for name, state in self._engines.items():
            heard = state.last_heard_s is not None
            if (
                heard
                and not state.dead
                and now_s - state.last_heard_s >= self._dead_after_s
            ):
                dead.append(name)
                state.dead = True
                state.epoch = None
        return dead

    def epoch(self, engine: str) -> str | None:
        """Return the epoch last reported by ``engine``."""
        return self._engines[engine].epoch

    def load_requests(self, engine: str) -> int:
        """Return the larger of reported and locally counted load."""
        state = self._engines[engine]
        return max(state.reported_requests, state.in_flight_requests)

    def begin(self, engine: str) -> None:
        """Count one more request in flight on ``engine``."""
        self._engines[engine].in_flight_requests += 1

    def end(self, engine: str) -> None:
        """Count one request fewer in flight on ``engine``."""
        self._engines[engine].in_flight_requests -= 1

    def names(self) -> list[str]:
        """Return every engine's name."""
        return list(self._engines)
