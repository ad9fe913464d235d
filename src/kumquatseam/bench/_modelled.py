"""The seeded bench in modelled time: the router's own code against cache models.

Every figure here is deterministic for a scenario and seed, so CI gates on
them. The router, its prefix index, its policies and the engines' block cache
are the same classes the daemon and the stand-ins run; only time and the
wire are modelled: arrivals are Poisson, an engine runs ``slots`` requests at
once, prefill costs per uncached token and decode per token, cache events
arrive ``event_delay_s`` late and a share of them never.

The ``oracle`` places each request where its modelled time to first token is
lowest, knowing every cache and queue exactly and at once: the bound the
policies are held to.
"""

import heapq
import itertools
import random

import attrs

from kumquatseam.bench._scenarios import Scenario
from kumquatseam.engines import (
    CacheEventBatch,
    LoadReport,
    block_keys,
    cache_salt,
    salt_seed,
    tokenize,
)
from kumquatseam.fleet import LiveConfiguration
from kumquatseam.metrics import FiguresSummary, RequestFigures
from kumquatseam.routing import Router, RoutingRequest, build_policy
from kumquatseam.settings import (
    Configuration,
    DaemonSettings,
    ModelSettings,
    PrioritySettings,
    Settings,
    TeamSettings,
    UpstreamSettings,
)
from kumquatseam.standins.engine import BlockCache

ORACLE = "oracle"
#: modelled seconds between two load reports of an engine, and their lag.
LOAD_REPORT_INTERVAL_S = 1.0
LOAD_REPORT_LAG_S = 0.5
MODEL = ModelSettings(name="bench-model", version="v1", adapters=())


@attrs.frozen
class ModelledRequest:
    """One arrival of the trace.

    :param arrival_s: modelled arrival time.
    :param team: the team's name.
    :param tokens: the prompt's tokens.
    :param max_tokens: tokens to generate.
    :param priority_class: its class.
    """

    arrival_s: float
    team: str
    tokens: tuple[str, ...]
    max_tokens: int
    priority_class: str


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
    :param lost: requests never answered (must be 0).
    :param timeline: each request's figures in arrival order.
    """

    summary: FiguresSummary
    duplicates: int
    lost: int
    timeline: tuple[TimelinePoint, ...] = ()


@attrs.define
class _Engine:
    name: str
    epoch: str
    cache: BlockCache
    slot_free_s: list[float]
    sequence: int = 0
    in_flight: int = 0
    reported_s: float = -LOAD_REPORT_INTERVAL_S


def build_trace(scenario: Scenario, requests: int, seed: int) -> list[ModelledRequest]:
    """Draw the scenario's arrivals.

    :param scenario: what to draw.
    :param requests: how many arrivals.
    :param seed: seed of every draw.
    """
    rng = random.Random(seed)
    workload = scenario.workload
    instruction, openings = workload.corpus(scenario.teams, rng)
    weights = [
        scenario.large_team_weight if i < scenario.large_teams else 1.0
        for i in range(len(scenario.teams))
    ]
    shift_at = _ratio_index(scenario.shift_openings_at_ratio, requests)
    trace = []
    now_s = 0.0
    for index in range(requests):
        in_burst = requests / 3 <= index < 2 * requests / 3
        rate = scenario.requests_per_s * (scenario.burst_factor if in_burst else 1.0)
        now_s += rng.expovariate(rate)
        team = rng.choices(scenario.teams, weights)[0]
        opening = workload.draw_opening(rng)
        if shift_at is not None and index >= shift_at:
            opening = workload.openings_per_team - 1 - opening
        prompt = workload.prompt(rng, instruction, openings[team][opening])
        kind = rng.choices(scenario.kinds, [k.share for k in scenario.kinds])[0]
        trace.append(
            ModelledRequest(
                now_s,
                team,
                tuple(tokenize(prompt)),
                kind.max_tokens,
                kind.priority_class,
            )
        )
    return trace


def bench_settings(scenario: Scenario) -> Settings:
    """Return router settings for the scenario's pool and teams."""
    names = [f"{scenario.service}-{i}" for i in range(scenario.replicas)]
    mean_service_ms = sum(
        k.share * k.max_tokens * scenario.decode_ms_per_token for k in scenario.kinds
    )
    daemon = DaemonSettings(
        listen="127.0.0.1:1",
        zone=scenario.zones[0],
        policy="prefix_aware",
        block_size_tokens=scenario.block_size_tokens,
        engine_dead_after_s=5.0,
        index_entry_ttl_s=30.0,
        prefill_ms_per_token=scenario.prefill_ms_per_token,
        queue_ms_per_request=mean_service_ms / scenario.slots,
        connect_timeout_s=0.5,
        read_timeout_s=10.0,
        drain_timeout_s=10.0,
    )
    upstreams = tuple(
        UpstreamSettings(
            name=name,
            url=f"http://bench/{name}",
            events_address=f"inproc://{name}",
            zone=scenario.zones[i % len(scenario.zones)],
            models=(MODEL.name,),
            slots=scenario.slots,
        )
        for i, name in enumerate(names)
    )
    classes = tuple(k.priority_class for k in scenario.kinds)
    teams = tuple(
        TeamSettings(team, (f"key-{team}",), classes, (MODEL.name,), tuple(names))
        for team in scenario.teams
    )
    priorities = tuple(PrioritySettings(c, rank) for rank, c in enumerate(classes))
    configuration = Configuration(priorities, (MODEL,), upstreams, teams)
    return Settings(f"<bench {scenario.name}>", daemon, configuration)


def run_policy(
    scenario: Scenario, trace: list[ModelledRequest], policy_name: str, seed: int
) -> PolicyFigures:
    """Replay ``trace`` under one policy in modelled time.

    :param policy_name: a routing policy's name, or ``"oracle"``.
    """
    settings = bench_settings(scenario)
    daemon = settings.daemon
    now = [0.0]
    chooser = build_policy(
        "prefix_aware" if policy_name == ORACLE else policy_name,
        daemon.block_size_tokens,
        daemon.prefill_ms_per_token,
        daemon.queue_ms_per_request,
    )
    configuration = settings.configuration
    live = LiveConfiguration(configuration)
    router = Router(live, daemon, chooser, clock=lambda: now[0])
    rng = random.Random(seed)
    engines = {
        u.name: _Engine(
            u.name,
            f"{u.name}-e0",
            BlockCache(scenario.capacity_blocks),
            [0.0] * scenario.slots,
        )
        for u in configuration.upstreams
    }
    teams = {t.name: t for t in configuration.teams}
    events: list = []
    completions: list = []
    order = itertools.count()
    crash_at = _ratio_index(scenario.crash_at_ratio, len(trace))
    figures = RequestFigures()
    timeline = []
    block = daemon.block_size_tokens
    for index, request in enumerate(trace):
        now[0] = request.arrival_s
        while events and events[0][0] <= now[0]:
            router.observe(heapq.heappop(events)[2])
        while completions and completions[0][0] <= now[0]:
            name = heapq.heappop(completions)[2]
            engines[name].in_flight -= 1
            router.fleet.end(name)
        for engine in engines.values():
            if now[0] - engine.reported_s >= LOAD_REPORT_INTERVAL_S:
                engine.reported_s = now[0]
                running = min(engine.in_flight, scenario.slots)
                report = LoadReport(
                    engine.name, engine.epoch, running, engine.in_flight - running, 0.0
                )
                heapq.heappush(
                    events, (now[0] + LOAD_REPORT_LAG_S, next(order), report)
                )
        if index == crash_at:
            crashed = engines[configuration.upstreams[0].name]
            crashed.epoch = f"{crashed.name}-e1"
            crashed.cache = BlockCache(scenario.capacity_blocks)
            crashed.sequence = 0
        salt = cache_salt(request.team, MODEL.name, MODEL.version)
        prompt_keys = block_keys(list(request.tokens), block, salt_seed(salt))
        keys = dict.fromkeys(engines, prompt_keys)
        if policy_name == ORACLE:
            name = _oracle_choice(engines, keys, request, scenario)
        else:
            routing_request = RoutingRequest(
                f"bench-{index}", teams[request.team], MODEL.name, request.tokens
            )
            name = router.route(routing_request).upstream.name
        engine = engines[name]
        best_blocks = max(e.cache.peek(keys[n]) for n, e in engines.items())
        matched, change = engine.cache.admit(keys[name])
        ttft_s, done_s = _serve(engine, request, matched, scenario, now[0])
        engine.in_flight += 1
        router.fleet.begin(name)
        heapq.heappush(completions, (done_s, next(order), name))
        if change.stored_keys or change.removed_keys:
            engine.sequence += 1
            if rng.random() >= scenario.event_loss_ratio:
                batch = CacheEventBatch(
                    name,
                    engine.epoch,
                    engine.sequence,
                    change.stored_keys,
                    change.removed_keys,
                )
                heapq.heappush(
                    events, (now[0] + scenario.event_delay_s, next(order), batch)
                )
        figures.record(
            ttft_s,
            len(request.tokens),
            matched * block,
            (best_blocks - matched) * block,
        )
        timeline.append(
            TimelinePoint(
                request.arrival_s, ttft_s * 1000, len(request.tokens), matched * block
            )
        )
    return PolicyFigures(figures.summary(), 0, 0, tuple(timeline))


def _serve(
    engine: _Engine,
    request: ModelledRequest,
    matched: int,
    scenario: Scenario,
    now_s: float,
) -> tuple[float, float]:
    """Queue the request on the engine; return its TTFT and completion time."""
    start_s = max(now_s, heapq.heappop(engine.slot_free_s))
    uncached = len(request.tokens) - matched * scenario.block_size_tokens
    prefill_s = uncached * scenario.prefill_ms_per_token / 1000
    decode_s = request.max_tokens * scenario.decode_ms_per_token / 1000
    done_s = start_s + prefill_s + decode_s
    heapq.heappush(engine.slot_free_s, done_s)
    return start_s - now_s + prefill_s, done_s


def _oracle_choice(engines, keys, request: ModelledRequest, scenario: Scenario) -> str:
    """Return the engine with the lowest exact modelled time to first token."""

    def exact_ttft_s(name: str) -> float:
        engine = engines[name]
        wait_s = max(0.0, engine.slot_free_s[0] - request.arrival_s)
        uncached = (
            len(request.tokens)
            - engine.cache.peek(keys[name]) * scenario.block_size_tokens
        )
        return wait_s + uncached * scenario.prefill_ms_per_token / 1000

    return min(engines, key=exact_ttft_s)


def _ratio_index(ratio: float | None, count: int) -> int | None:
    return None if ratio is None else int(ratio * count)
