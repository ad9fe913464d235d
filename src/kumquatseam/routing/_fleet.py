"""Liveness, epoch, weights and load of each engine.

Load reports arrive late, so the router counts its own requests in flight on
each engine and adds the counts in its peers' summaries. A load report adds
only the requests that exceed the recent maximum of that count: these come from
other senders.
"""

import collections
import time
from collections.abc import Callable, Iterable, Mapping

import attrs

from kumquatseam.engines import SERVING, LoadReport, ModelVersion
from kumquatseam.fleet import EngineReports, RankCounts
from kumquatseam.upstreams import FAILURE_COOLDOWN_S, Availabilities, Unavailability

#: window of the recent maximum of counted requests, in seconds; longer than
#: the time from the sampling of a load report to its arrival.
PEAK_WINDOW_S = 1.5


class _RecentPeak:
    """Maximum over the last one to two windows, kept in two buckets."""

    def __init__(self) -> None:
        self._bucket = 0
        self._highest = 0
        self._previous = 0

    def observe(self, value: int, now_s: float) -> int:
        """Record the current value and return the recent maximum."""
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
    last_received_s: float | None = None
    reported_requests: int = 0
    in_flight: collections.Counter = attrs.Factory(collections.Counter)
    dead: bool = False
    leaving: bool = False
    versions: dict[str, ModelVersion] = attrs.Factory(dict)
    role: str = SERVING
    software: str = ""
    peer_requests: dict[str, RankCounts] = attrs.Factory(dict)
    recent_peak: _RecentPeak = attrs.Factory(_RecentPeak)

    def counted_requests(self, rank: int | None = None) -> int:
        """Return the requests counted by this router and its peers.

        :param rank: count only ranks up to this one, ``None`` for all.
        """
        total = _count_up_to(self.in_flight, rank)
        for counts in self.peer_requests.values():
            total += _count_up_to(counts, rank)
        return total


def _count_up_to(counts: RankCounts, rank: int | None) -> int:
    if rank is None:
        return sum(counts.values())
    return sum(count for counted_rank, count in counts.items() if counted_rank <= rank)


@attrs.frozen
class EngineLoad:
    """Estimated load of an engine.

    :param requests: requests running or queued.
    :param urgent_requests: those of them at least as urgent as a given rank.
    """

    requests: int
    urgent_requests: int


class FleetView(EngineReports):
    """Liveness, weights and load of every engine in the configuration.

    :param dead_after_s: time without a message after which an engine is dead.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, dead_after_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._dead_after_s = dead_after_s
        self._clock = clock
        self._engines: dict[str, _EngineState] = {}
        self._availabilities = Availabilities(clock)

    def set_engines(self, names: Iterable[str], now_s: float) -> None:
        """Replace the set of engines, keeping the state of those that stay.

        :param names: names of all engines in the configuration.
        :param now_s: the current monotonic time.
        """
        known = self._engines
        self._engines = {n: known.get(n) or _EngineState(now_s) for n in names}

    def observe_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report."""
        state = self._record_contact(report.engine, report.epoch, now_s)
        if state is not None:
            state.reported_requests = report.running_requests + report.waiting_requests
            state.versions = {v.model: v for v in report.versions}
            state.role = report.role
            state.software = report.software

    def observe_contact(self, engine: str, epoch: str, now_s: float) -> None:
        """Record that a message arrived from ``engine`` in ``epoch``."""
        self._record_contact(engine, epoch, now_s)

    def _record_contact(
        self, engine: str, epoch: str, now_s: float
    ) -> _EngineState | None:
        state = self._engines.get(engine)
        if state is None:
            return None
        if state.epoch != epoch:
            state.versions = {}
        state.epoch = epoch
        state.last_received_s = now_s
        state.dead = False
        return state

    def observe_version(self, engine: str, model: str, version: str) -> None:
        """Record the weights version in an engine's refusal of a request."""
        state = self._engines.get(engine)
        if state is not None:
            known = state.versions.get(model, ModelVersion(model, version))
            state.versions[model] = attrs.evolve(known, version=version)

    def forget_epoch(self, engine: str) -> None:
        """Drop an engine's epoch and weights after it refused them as wrong."""
        state = self._engines.get(engine)
        if state is not None:
            state.epoch = None
            state.versions = {}

    def set_leaving(self, names: Iterable[str]) -> list[str]:
        """Replace the set of leaving engines.

        :returns: the engines that were not leaving before.
        """
        leaving = set(names)
        newly_leaving = []
        for name, state in self._engines.items():
            if name in leaving and not state.leaving:
                newly_leaving.append(name)
            state.leaving = name in leaving
        return newly_leaving

    def is_leaving(self, engine: str) -> bool:
        """Return whether the platform lists ``engine`` as leaving."""
        state = self._engines.get(engine)
        return state is not None and state.leaving

    def set_peer_load(self, peer: str, requests: Mapping[str, RankCounts]) -> None:
        """Replace the requests that ``peer`` has in flight on each engine."""
        for name, state in self._engines.items():
            if name in requests:
                state.peer_requests[peer] = requests[name]
            else:
                state.peer_requests.pop(peer, None)

    def mark_failed(self, engine: str) -> None:
        """Exclude ``engine`` from routing for a while after a failure."""
        self._availabilities.of(engine).set(Unavailability.FAILED, FAILURE_COOLDOWN_S)

    def _has_failed(self, engine: str) -> bool:
        return self._availabilities.of(engine).left_s(Unavailability.FAILED) > 0

    def is_live(self, engine: str, now_s: float) -> bool:
        """Return whether ``engine`` may receive new requests.

        An engine without any message so far counts as live for
        ``dead_after_s``, so that a router can serve right after its start.
        """
        state = self._engines.get(engine)
        if state is None or state.dead or self._has_failed(engine):
            return False
        since_s = state.last_received_s
        if since_s is None:
            since_s = state.known_since_s
        return now_s - since_s < self._dead_after_s

    def is_unconfirmed(self, engine: str, now_s: float) -> bool:
        """Return whether ``engine`` never sent a message and has not just failed.

        Such engines are the last resort when no engine is live: only their
        event stream may be broken.
        """
        state = self._engines.get(engine)
        if state is None or state.last_received_s is not None:
            return False
        return not self._has_failed(engine)

    def expire_silent_engines(self, now_s: float) -> list[str]:
        """Mark engines dead that stopped sending, and return their names.

        Their epoch and weights are dropped. An engine that never sent a message
        is left out.
        """
        dead = []
        for name, state in self._engines.items():
            if state.dead or state.last_received_s is None:
                continue
            if now_s - state.last_received_s >= self._dead_after_s:
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
        """Return the weights version of ``model`` last reported by ``engine``."""
        reported = self.reported_model(engine, model)
        return reported.version if reported else None

    def reported_model(self, engine: str, model: str) -> ModelVersion | None:
        """Return the weights of ``model`` last reported by ``engine``."""
        state = self._engines.get(engine)
        return state.versions.get(model) if state else None

    def software(self, engine: str) -> str:
        """Return the software version last reported by ``engine``; empty if none."""
        state = self._engines.get(engine)
        return state.software if state else ""

    def role(self, engine: str) -> str:
        """Return the role last reported by ``engine``."""
        state = self._engines.get(engine)
        return state.role if state else SERVING

    def load(self, engine: str, rank: int) -> EngineLoad:
        """Return the counted requests plus the load that they don't explain.

        :param rank: priority rank of the request to place; requests of this
            rank or a lower one count as urgent.
        """
        state = self._engines[engine]
        counted = state.counted_requests()
        peak = state.recent_peak.observe(counted, self._clock())
        unexplained = max(0, state.reported_requests - peak)
        urgent = state.counted_requests(rank)
        return EngineLoad(counted + unexplained, urgent + unexplained)

    def load_requests(self, engine: str) -> int:
        """Return the load of ``engine``, of all priority ranks."""
        return self.load(engine, 0).requests

    def in_flight(self) -> dict[str, RankCounts]:
        """Return this router's requests in flight, per engine that has any."""
        return {
            name: dict(+state.in_flight)
            for name, state in self._engines.items()
            if state.in_flight.total()
        }

    def add_in_flight(self, engine: str, rank: int = 0) -> None:
        """Count one more request in flight on ``engine``."""
        state = self._engines.get(engine)
        if state is not None:
            state.in_flight[rank] += 1
            state.recent_peak.observe(state.counted_requests(), self._clock())

    def remove_in_flight(self, engine: str, rank: int = 0) -> None:
        """Count one request less in flight on ``engine``."""
        state = self._engines.get(engine)
        if state is not None and state.in_flight[rank]:
            state.in_flight[rank] -= 1

    def names(self) -> list[str]:
        """Return every engine's name."""
        return list(self._engines)
