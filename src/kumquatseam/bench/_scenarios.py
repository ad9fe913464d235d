"""The bench's scenarios, drawn from the brief's two deployments.

A scenario names the site (zones, replicas), its teams (a few large), the
workload's shape and the engines' cost model, plus an optional fault.
"""

import attrs

from kumquatseam.bench._workload import NestedPromptWorkload


@attrs.frozen
class RequestKind:
    """A kind of call a team makes.

    :param priority_class: its class, e.g. ``"checklist"``.
    :param share: its share of the team's calls, 0 to 1.
    :param max_tokens: tokens generated per call.
    :param max_queue_ratio: where the class is shed, in scenarios that shed.
    """

    priority_class: str
    share: float
    max_tokens: int
    max_queue_ratio: float = 4.0


@attrs.frozen
class Scenario:
    """One bench scenario; every time is modelled.

    :param name: the scenario's name.
    :param site: e.g. ``"Budapest"``.
    :param service: the engines' service name, e.g. ``"nyelvmodell-flotta"``.
    :param zones: availability zones, replicas spread over them in turn.
    :param replicas: engines in the pool.
    :param teams: team names; the first ``large_teams`` send more.
    :param large_teams: how many teams are large.
    :param large_team_weight: how much more a large team sends.
    :param kinds: the kinds of call, by share.
    :param workload: the nested-prompt shape.
    :param requests_per_s: mean arrival rate (Poisson).
    :param burst_factor: arrival rate multiplier in the middle third.
    :param capacity_blocks: blocks each engine's cache holds.
    :param block_size_tokens: tokens per block.
    :param prefill_ms_per_token: engine prefill cost per uncached token.
    :param decode_ms_per_token: engine decode cost per token.
    :param slots: requests an engine runs at once.
    :param event_delay_s: cache events arrive this late.
    :param event_loss_ratio: share of cache-event batches lost.
    :param crash_at_ratio: fraction of the run at which one engine crashes
        and comes back empty, or ``None``.
    :param shift_openings_at_ratio: fraction of the run at which the hot
        openings change, or ``None``.
    :param routers: routers the balancer spreads requests over.
    :param has_summaries: whether routers exchange summaries.
    :param herd_at_ratio: fraction of the run at which every router restarts
        at the same moment, or ``None``.
    :param is_warm_start: whether restarted routers adopt the last snapshot.
    :param sheds: whether classes are shed from crowded engines.
    """

    name: str
    site: str
    service: str
    zones: tuple[str, ...]
    replicas: int
    teams: tuple[str, ...]
    large_teams: int
    large_team_weight: float
    kinds: tuple[RequestKind, ...]
    workload: NestedPromptWorkload
    requests_per_s: float
    burst_factor: float = 2.0
    capacity_blocks: int = 600
    block_size_tokens: int = 16
    prefill_ms_per_token: float = 0.25
    decode_ms_per_token: float = 20.0
    slots: int = 8
    event_delay_s: float = 0.3
    event_loss_ratio: float = 0.05
    crash_at_ratio: float | None = None
    shift_openings_at_ratio: float | None = None
    routers: int = 1
    has_summaries: bool = True
    herd_at_ratio: float | None = None
    is_warm_start: bool = True
    sheds: bool = False


HIVATAL = Scenario(
    name="hivatal",
    site="Budapest",
    service="nyelvmodell-flotta",
    zones=("kobanya", "angyalfold", "budaors"),
    replicas=9,
    teams=tuple(
        f"zarszamadas-{town}"
        for town in (
            "budapest",
            "debrecen",
            "szeged",
            "pecs",
            "gyor",
            "miskolc",
            "eger",
            "sopron",
        )
    ),
    large_teams=3,
    large_team_weight=4.0,
    kinds=(
        RequestKind("checklist", 0.7, 8),
        RequestKind("notes", 0.2, 96),
        RequestKind("status", 0.1, 4),
    ),
    workload=NestedPromptWorkload(
        instruction_tokens=160,
        opening_tokens=480,
        openings_per_team=10,
        item_tokens=48,
    ),
    requests_per_s=60.0,
)

EXCHANGE = Scenario(
    name="exchange",
    site="Muscat",
    service="seer-pool",
    zones=("ghubrah", "ruwi", "seeb", "qurum"),
    replicas=9,
    teams=tuple(
        f"partner-{name}"
        for name in (
            "omantel",
            "ooredoo",
            "awasr",
            "vodafone",
            "redline",
            "connect",
            "mzn",
            "dhofar",
        )
    ),
    large_teams=3,
    large_team_weight=4.0,
    kinds=(RequestKind("triage", 0.8, 2), RequestKind("summary", 0.2, 128)),
    workload=NestedPromptWorkload(
        instruction_tokens=128,
        opening_tokens=960,
        openings_per_team=8,
        item_tokens=32,
    ),
    requests_per_s=40.0,
)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        HIVATAL,
        EXCHANGE,
        attrs.evolve(HIVATAL, name="engine-crash", crash_at_ratio=0.5),
        attrs.evolve(EXCHANGE, name="event-loss", event_loss_ratio=0.5),
        attrs.evolve(HIVATAL, name="hot-shift", shift_openings_at_ratio=0.5),
        attrs.evolve(HIVATAL, name="hivatal-7", routers=7),
        attrs.evolve(HIVATAL, name="hivatal-7-mute", routers=7, has_summaries=False),
        attrs.evolve(EXCHANGE, name="exchange-7", routers=7),
        attrs.evolve(EXCHANGE, name="exchange-7-mute", routers=7, has_summaries=False),
        attrs.evolve(HIVATAL, name="router-herd", routers=7, herd_at_ratio=0.5),
        attrs.evolve(
            HIVATAL,
            name="router-herd-cold",
            routers=7,
            herd_at_ratio=0.5,
            is_warm_start=False,
        ),
        attrs.evolve(HIVATAL, name="burst", burst_factor=6.0, routers=7),
        attrs.evolve(
            HIVATAL,
            name="burst-shed",
            burst_factor=6.0,
            routers=7,
            sheds=True,
            kinds=(
                RequestKind("checklist", 0.7, 8, 4.0),
                RequestKind("notes", 0.2, 96, 1.0),
                RequestKind("status", 0.1, 4, 2.0),
            ),
        ),
    )
}
