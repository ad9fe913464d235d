"""The arrivals a scenario draws, and the router settings for its pool."""

import random

import attrs

from kumquatseam.bench._scenarios import Scenario
from kumquatseam.engines import tokenize
from kumquatseam.settings import (
    Configuration,
    DaemonSettings,
    ModelSettings,
    PrioritySettings,
    Settings,
    TeamSettings,
    UpstreamSettings,
)

MODEL = ModelSettings(name="bench-model", version="v1", adapters=())


@attrs.frozen
class ModelledRequest:
    """One arrival of the trace.

    :param number: its place in the trace.
    :param arrival_s: modelled arrival time.
    :param team: the team's name.
    :param tokens: the prompt's tokens.
    :param max_tokens: tokens to generate.
    :param priority_class: its class.
    :param router: which router the balancer hands it to.
    """

    number: int
    arrival_s: float
    team: str
    tokens: tuple[str, ...]
    max_tokens: int
    priority_class: str
    router: int


def build_trace(scenario: Scenario, requests: int, seed: int) -> list[ModelledRequest]:
    """Draw the scenario's arrivals.

    :param scenario: what to draw.
    :param requests: how many arrivals.
    :param seed: seed of every draw.
    """
    rng = random.Random(seed)
    balancer = random.Random(seed + 1)
    workload = scenario.workload
    instruction, openings = workload.corpus(scenario.teams, rng)
    weights = [
        scenario.large_team_weight if i < scenario.large_teams else 1.0
        for i in range(len(scenario.teams))
    ]
    shift_at = ratio_index(scenario.shift_openings_at_ratio, requests)
    trace = []
    now_s = 0.0
    for number in range(requests):
        in_burst = requests / 3 <= number < 2 * requests / 3
        rate = scenario.requests_per_s * (scenario.burst_factor if in_burst else 1.0)
        now_s += rng.expovariate(rate)
        team = rng.choices(scenario.teams, weights)[0]
        opening = workload.draw_opening(rng)
        if shift_at is not None and number >= shift_at:
            opening = workload.openings_per_team - 1 - opening
        prompt = workload.prompt(rng, instruction, openings[team][opening])
        kind = rng.choices(scenario.kinds, [k.share for k in scenario.kinds])[0]
        trace.append(
            ModelledRequest(
                number,
                now_s,
                team,
                tuple(tokenize(prompt)),
                kind.max_tokens,
                kind.priority_class,
                balancer.randrange(scenario.routers),
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
    priorities = tuple(
        PrioritySettings(kind.priority_class, rank, kind.max_queue_ratio)
        for rank, kind in enumerate(scenario.kinds)
    )
    configuration = Configuration(priorities, (MODEL,), upstreams, teams)
    return Settings(f"<bench {scenario.name}>", daemon, configuration)


def ratio_index(ratio: float | None, count: int) -> int | None:
    """Return the place in a trace of ``count`` that ``ratio`` names."""
    return None if ratio is None else int(ratio * count)
