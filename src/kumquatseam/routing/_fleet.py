"""What the router knows of each engine's life, weights and load.

Load reports come with a lag, so the router counts the requests it has in
flight on each engine itself and adds what its peers say they have. A report
only adds what that count cannot explain: the requests beyond the most the
router counted there lately are others' work.
"""

import collections
import time
from collections.abc import Callable, Iterable, Mapping

import attrs

from kumquatseam.engines import SERVING, LoadReport, ModelVersion
from kumquatseam.fleet import EngineReports, RankCounts
from kumquatseam.routing._held_out import FailureCooldowns

#: seconds over which the most counted on an engine is remembered: longer than
#: a load report takes from its sampling to its arrival.
PEAK_WINDOW_S = 1.5


class _RecentPeak:
    """The highest value of the last window or two, in two buckets."""

    def __init__(self) -> None:
        self._bucket = 0
        self._highest = 0
        self._previous = 0

    def note(self, value: int, now_s: float) -> int:
        """Take in the value now and return the recent peak."""
        bucket = int(now_s / PEAK_WINDOW_S)
        if bucket != self._bucket:
            self._previous = self._highest if bucket == self._bucket + 1 else 0
            self._highest = 0
            self._bucket = bucket
        self._highest = max(self._highest, value)
        return max(self._highest, self._previous)


@attrs.define
class _EngineState:
    known_since_s: float
    epoch: str | None = None
    last_heard_s: float | None = None
    reported_requests: int = 0
    in_flight: collections.Counter = attrs.Factory(collections.Counter)
    dead: bool = False
    leaving: bool = False
    versions: dict[str, ModelVersion] = attrs.Factory(dict)
    role: str = SERVING
    peer_requests: dict[str, RankCounts] = attrs.Factory(dict)
    recent_peak: _RecentPeak = attrs.Factory(_RecentPeak)

    def counted_requests(self, rank: int | None = None) -> int:
        """Return what routers count here, of ranks up to ``rank`` if given."""
        total = _count_up_to(self.in_flight, rank)
        for counts in self.peer_requests.values():
            total += _count_up_to(counts, rank)
        return total


def _count_up_to(counts: RankCounts, rank: int | None) -> int:
    if rank is None:
        return sum(counts.values())
    return sum(count for own_rank, count in counts.items() if own_rank <= rank)


@attrs.frozen
class EngineLoad:
    """An engine's load as routers see it.

    :param requests: requests running or queued.
    :param urgent_requests: of those, at least as urgent as a given rank.
    """

    requests: int
    urgent_requests: int


class FleetView(EngineReports):
    """Liveness, weights and load of every engine in the configuration.

    :param dead_after_s: an engine silent this long is dead.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, dead_after_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._dead_after_s = dead_after_s
        self._clock = clock
        self._engines: dict[str, _EngineState] = {}
        self._failed = FailureCooldowns()

    def set_engines(self, names: Iterable[str], now_s: float) -> None:
        """Know exactly the engines called ``names``, keeping what is known.

        :param now_s: the monotonic time now.
        """
        known = self._engines
        self._engines = {n: known.get(n) or _EngineState(now_s) for n in names}

    def observe_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a load report."""
        state = self._heard(report.engine, report.epoch, now_s)
        if state is not None:
            state.reported_requests = report.running_requests + report.waiting_requests
            state.versions = {v.model: v for v in report.versions}
            state.role = report.role

    def observe_heard(self, engine: str, epoch: str, now_s: float) -> None:
        """Note that any message came from ``engine``."""
        self._heard(engine, epoch, now_s)

    def _heard(self, engine: str, epoch: str, now_s: float) -> _EngineState | None:
        state = self._engines.get(engine)
        if state is None:
            return None
        if state.epoch != epoch:
            state.versions = {}
        state.epoch = epoch
        state.last_heard_s = now_s
        state.dead = False
        return state

    def observe_version(self, engine: str, model: str, version: str) -> None:
        """Note the weights an engine named when it refused a request."""
        state = self._engines.get(engine)
        if state is not None:
            known = state.versions.get(model, ModelVersion(model, version))
            state.versions[model] = attrs.evolve(known, version=version)

    def forget_epoch(self, engine: str) -> None:
        """Forget an engine's life and weights (it refused them as wrong)."""
        state = self._engines.get(engine)
        if state is not None:
            state.epoch = None
            state.versions = {}

    def set_leaving(self, names: Iterable[str]) -> list[str]:
        """Know exactly the engines called ``names`` as leaving.

        :returns: those that were not known as leaving before.
        """
        leaving = set(names)
        begun = []
        for name, state in self._engines.items():
            if name in leaving and not state.leaving:
                begun.append(name)
            state.leaving = name in leaving
        return begun

    def is_leaving(self, engine: str) -> bool:
        """Return whether the platform lists ``engine`` as leaving."""
        state = self._engines.get(engine)
        return state is not None and state.leaving

    def set_peer_load(self, peer: str, requests: Mapping[str, RankCounts]) -> None:
        """Replace what ``peer`` says it has in flight on each engine."""
        for name, state in self._engines.items():
            if name in requests:
                state.peer_requests[peer] = requests[name]
            else:
                state.peer_requests.pop(peer, None)

    def mark_failed(self, engine: str, now_s: float) -> None:
        """Keep ``engine`` out of routing for a while after a failure."""
        self._failed.start(engine, now_s)

    def is_live(self, engine: str, now_s: float) -> bool:
        """Return whether ``engine`` may take new work.

        An engine not heard from yet counts as live for ``dead_after_s``, so a
        fresh router serves at once; silent for longer, it does not.
        """
        state = self._engines.get(engine)
        if state is None or state.dead or self._failed.is_active(engine, now_s):
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
        state = self._engines.get(engine)
        if state is None or state.last_heard_s is not None:
            return False
        return not self._failed.is_active(engine, now_s)

    def newly_dead(self, now_s: float) -> list[str]:
        """Return engines that went silent, forgetting their epoch."""
        dead = []
        for name, state in self._engines.items():
            if state.dead or state.last_heard_s is None:
                continue
            if now_s - state.last_heard_s >= self._dead_after_s:
                dead.append(name)
                state.dead = True
                state.epoch = None
                state.versions = {}
        return dead

    def epoch(self, engine: str) -> str | None:
        """Return the epoch last reported by ``engine``."""
        state = self._engines.get(engine)
        return state.epoch if state else None

    def version(self, engine: str, model: str) -> str | None:
        """Return the weights of ``model`` that ``engine`` last named."""
        named = self.named_model(engine, model)
        return named.version if named else None

    def named_model(self, engine: str, model: str) -> ModelVersion | None:
        """Return what ``engine`` last said it runs of ``model``."""
        state = self._engines.get(engine)
        return state.versions.get(model) if state else None

    def role(self, engine: str) -> str:
        """Return the role ``engine`` last named."""
        state = self._engines.get(engine)
        return state.role if state else SERVING

    def load(self, engine: str, rank: int) -> EngineLoad:
        """Return what routers count on ``engine`` plus unexplained load.

        :param rank: the rank whose urgent requests are wanted.
        """
        state = self._engines[engine]
        counted = state.counted_requests()
        peak = state.recent_peak.note(counted, self._clock())
        unexplained = max(0, state.reported_requests - peak)
        urgent = state.counted_requests(rank)
        return EngineLoad(counted + unexplained, urgent + unexplained)

    def load_requests(self, engine: str) -> int:
        """Return the whole load of ``engine``, whatever its urgency."""
        return self.load(engine, 0).requests

    def in_flight(self) -> dict[str, RankCounts]:
        """Return this router's own requests in flight, per busy engine."""
        return {
            name: dict(+state.in_flight)
            for name, state in self._engines.items()
            if state.in_flight.total()
        }

    def begin(self, engine: str, rank: int = 0) -> None:
        """Count one more request in flight on ``engine``."""
        state = self._engines.get(engine)
        if state is not None:
            state.in_flight[rank] += 1
            state.recent_peak.note(state.counted_requests(), self._clock())

    def end(self, engine: str, rank: int = 0) -> None:
        """Count one request fewer in flight on ``engine``."""
        state = self._engines.get(engine)
        if state is not None and state.in_flight[rank]:
            state.in_flight[rank] -= 1

    def names(self) -> list[str]:
        """Return every engine's name."""
        return list(self._engines)
