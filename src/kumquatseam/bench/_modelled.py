"""The seeded bench in modelled time: the router's own code against cache models.

Every figure here is deterministic for a scenario and seed, so CI gates on
them. The routers, their prefix indexes, policies and summaries and the
engines' block cache are the same classes the daemon and the stand-ins run;
only time and the wire are modelled: arrivals are Poisson, a balancer spreads
them over the routers, an engine runs ``slots`` requests at once by priority,
prefill costs per uncached token and decode per token, cache events and load
reports arrive late and a share of the events never.

The ``oracle`` places each request where its modelled time to first token is
lowest, knowing every cache and queue exactly and at once: the bound the
policies are held to.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from kumquatseam.bench._modelled_engine import ModelledEngine
from kumquatseam.bench._scenarios import Scenario
from kumquatseam.bench._trace import (
    MODEL,
    ModelledRequest,
    bench_settings,
    ratio_index,
)
from kumquatseam.engines import block_keys, cache_salt, salt_seed
from kumquatseam.errors import OverloadedError
from kumquatseam.fleet import Heartbeat, LiveConfiguration, WarmState
from kumquatseam.metrics.figures import RequestStatistics, RequestStatisticsSummary
from kumquatseam.routing import (
    PeerSummaries,
    Router,
    RoutingDecision,
    RoutingRequest,
    build_policy,
)
from kumquatseam.settings import FleetSettings

ORACLE = "oracle"
#: modelled seconds between two load reports of an engine, and their lag.
LOAD_REPORT_INTERVAL_S = 1.0
LOAD_REPORT_LAG_S = 0.5
#: modelled seconds between two summaries of a router, and their delay.
SUMMARY_INTERVAL_S = 0.25
SUMMARY_DELAY_S = 0.005
#: modelled seconds between two warm-state snapshots.
SNAPSHOT_INTERVAL_S = 5.0
WARM_STATE_BLOCKS = 12_000


@attrs.frozen
class TimelinePoint:
    """One request's figures at its modelled arrival, for plots.

    :param arrival_s: modelled arrival time.
    :param ttft_ms: modelled time to first token.
    :param prompt_tokens: its prompt tokens.
    :param cached_tokens: of those, served from cache.
    """

    arrival_s: float
    ttft_ms: float
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen
class PolicyFigures:
    """One policy's figures on one trace.

    :param summary: the users' measures.
    :param duplicates: requests run more than once (must be 0).
    :param lost: requests neither answered nor refused (must be 0).
    :param timeline: each request's figures in order of first token.
    :param class_ttft_p99_ms: p99 time to first token by priority class.
    :param class_refused: refused requests by priority class.
    """

    summary: RequestStatisticsSummary
    duplicates: int
    lost: int
    timeline: tuple[TimelinePoint, ...] = ()
    class_ttft_p99_ms: dict[str, float] = attrs.Factory(dict)
    class_refused: dict[str, int] = attrs.Factory(dict)


def run_policy(
    scenario: Scenario, trace: list[ModelledRequest], policy_name: str, seed: int
) -> PolicyFigures:
    """Replay ``trace`` under one policy in modelled time.

    :param policy_name: a routing policy's name, or ``"oracle"``.
    """
    return _ModelledRun(scenario, trace, policy_name, seed).run()


@attrs.define
class _ModelledRouter:
    name: str
    router: Router
    summaries: PeerSummaries


class _ModelledRun:
    """One replay: a queue of timed steps over routers and engines."""

    def __init__(
        self,
        scenario: Scenario,
        trace: list[ModelledRequest],
        policy_name: str,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._trace = trace
        self._policy_name = policy_name
        self._settings = bench_settings(scenario)
        self._configuration = self._settings.configuration
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._steps: list = []
        self._order = itertools.count()
        self._figures = RequestStatistics()
        self._timeline: list[TimelinePoint] = []
        self._answers: dict[int, int] = {}
        self._refused: dict[str, int] = {}
        self._owners: dict[int, _ModelledRouter] = {}
        self._decisions: dict[int, RoutingDecision] = {}
        self._warm: WarmState | None = None
        names = [u.name for u in self._configuration.upstreams]
        self._engines = {name: ModelledEngine(name, scenario) for name in names}
        self._routers = [self._new_router(i) for i in range(scenario.routers)]

    def run(self) -> PolicyFigures:
        """Replay the whole trace and return its figures."""
        for request in self._trace:
            self._at(request.arrival_s, self._arrive, request)
        self._schedule_background(self._trace[-1].arrival_s)
        while self._steps:
            self._now_s, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)
        answered = len(self._answers)
        refused = sum(self._refused.values())
        return PolicyFigures(
            summary=self._figures.summary(),
            duplicates=sum(count - 1 for count in self._answers.values()),
            lost=len(self._trace) - answered - refused,
            timeline=tuple(self._timeline),
            class_ttft_p99_ms=self._figures.class_ttft_ms(99),
            class_refused=self._refused,
        )

    def _at(self, time_s: float, step: Callable, *arguments) -> None:
        heapq.heappush(self._steps, (time_s, next(self._order), step, arguments))

    def _schedule_background(self, end_s: float) -> None:
        """Schedule load reports, summaries, snapshots and faults."""
        scenario = self._scenario
        self._every(LOAD_REPORT_INTERVAL_S, end_s, self._report_loads)
        if scenario.routers > 1 and scenario.has_summaries:
            self._every(SUMMARY_INTERVAL_S, end_s, self._exchange_summaries)
        if scenario.herd_at_ratio is not None:
            self._every(SNAPSHOT_INTERVAL_S, end_s, self._take_snapshot)
        for ratio, fault in (
            (scenario.crash_at_ratio, self._crash_engine),
            (scenario.herd_at_ratio, self._restart_routers),
        ):
            index = ratio_index(ratio, len(self._trace))
            if index is not None:
                self._at(self._trace[index].arrival_s, fault)

    def _every(self, interval_s: float, end_s: float, step: Callable) -> None:
        for tick in range(int(end_s / interval_s) + 1):
            self._at(tick * interval_s, step)

    def _new_router(self, index: int) -> _ModelledRouter:
        daemon = self._settings.daemon
        name = "prefix_aware" if self._policy_name == ORACLE else self._policy_name
        policy = build_policy(
            name,
            daemon.block_size_tokens,
            daemon.prefill_ms_per_token,
            daemon.queue_ms_per_request,
        )
        live = LiveConfiguration(self._configuration)
        router = Router(live, daemon, policy, clock=lambda: self._now_s)
        settings = FleetSettings(heartbeat_interval_s=SUMMARY_INTERVAL_S)
        summaries = PeerSummaries(router, settings, clock=lambda: self._now_s)
        return _ModelledRouter(f"router-{index}", router, summaries)

    def _report_loads(self) -> None:
        for engine in self._engines.values():
            self._tell_all(LOAD_REPORT_LAG_S, engine.report())

    def _tell_all(self, delay_s: float, message) -> None:
        for index in range(len(self._routers)):
            self._at(self._now_s + delay_s, self._hear, index, message)

    def _hear(self, index: int, message) -> None:
        self._routers[index].router.observe(message)

    def _exchange_summaries(self) -> None:
        peers = len(self._routers) - 1
        for sender, router in enumerate(self._routers):
            summary = router.summaries.build_summary(peers)
            heartbeat = Heartbeat(router.name, "", 0, 0, (), summary)
            for receiver in range(len(self._routers)):
                if receiver != sender:
                    at_s = self._now_s + SUMMARY_DELAY_S
                    self._at(at_s, self._hear_summary, receiver, heartbeat)

    def _hear_summary(self, index: int, heartbeat: Heartbeat) -> None:
        self._routers[index].summaries.receive(heartbeat)

    def _take_snapshot(self) -> None:
        holder = self._routers[0]
        blocks = holder.router.index.export(WARM_STATE_BLOCKS)
        self._warm = WarmState(holder.name, blocks)

    def _crash_engine(self) -> None:
        next(iter(self._engines.values())).crash()

    def _restart_routers(self) -> None:
        """Replace every router at once, with or without the last snapshot."""
        self._routers = [self._new_router(i) for i in range(len(self._routers))]
        if self._scenario.is_warm_start and self._warm is not None:
            for router in self._routers:
                for blocks in self._warm.engines:
                    router.router.index.merge(blocks, self._now_s)

    def _arrive(self, request: ModelledRequest) -> None:
        salt = cache_salt(request.team, MODEL.name, MODEL.version)
        block = self._settings.daemon.block_size_tokens
        keys = block_keys(list(request.tokens), block, salt_seed(salt))
        rank = self._configuration.priority(request.priority_class).rank
        router = self._routers[request.router]
        try:
            name = self._choose(router, request, keys, rank)
        except OverloadedError:
            self._figures.record_refusal()
            refused = self._refused.get(request.priority_class, 0)
            self._refused[request.priority_class] = refused + 1
            return
        router.router.fleet.add_in_flight(name, rank)
        self._owners[request.number] = router
        self._engines[name].enqueue(request, keys, rank)
        self._start_waiting(self._engines[name])

    def _choose(
        self,
        router: _ModelledRouter,
        request: ModelledRequest,
        keys: list[int],
        rank: int,
    ) -> str:
        if self._policy_name == ORACLE:
            return min(
                self._engines,
                key=lambda name: self._engines[name].expected_ttft_s(
                    request, keys, rank, self._now_s
                ),
            )
        routing_request = RoutingRequest(
            f"bench-{request.number}",
            self._configuration.find("team", request.team),
            MODEL.name,
            request.tokens,
            self._configuration.priority(request.priority_class),
            self._scenario.sheds,
        )
        decision = router.router.route(routing_request)
        self._decisions[request.number] = decision
        return decision.upstream.name

    def _start_waiting(self, engine: ModelledEngine) -> None:
        """Give the engine's free slot to its next request, if it has one."""
        keys = engine.next_keys()
        if keys is None:
            return
        best = max(other.cache.peek(keys) for other in self._engines.values())
        started = engine.start_next(self._now_s)
        request = started.request
        block = self._settings.daemon.block_size_tokens
        cached_tokens = started.matched_blocks * block
        wasted = (best - started.matched_blocks) * block
        ttft_s = started.first_token_s - request.arrival_s
        self._figures.record_ttft(ttft_s, request.priority_class)
        self._figures.record_tokens(len(request.tokens), cached_tokens, wasted)
        self._timeline.append(
            TimelinePoint(
                request.arrival_s, ttft_s * 1000, len(request.tokens), cached_tokens
            )
        )
        self._answers[request.number] = self._answers.get(request.number, 0) + 1
        if started.batch and self._rng.random() >= self._scenario.event_loss_ratio:
            self._tell_all(self._scenario.event_delay_s, started.batch)
        self._at(started.done_s, self._finish, engine, request)

    def _finish(self, engine: ModelledEngine, request: ModelledRequest) -> None:
        engine.finish()
        rank = self._configuration.priority(request.priority_class).rank
        router = self._owners.pop(request.number).router
        router.fleet.remove_in_flight(engine.name, rank)
        decision = self._decisions.pop(request.number, None)
        if decision is not None:
            router.record_served(decision)
        self._start_waiting(engine)
