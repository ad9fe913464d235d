"""The main job on the embedded default: router, three engines, a burst.

For each policy it starts three stand-in engines and one ``kumquatseamd`` as
separate processes on loopback, sends the same seeded burst of nested-prefix
requests from two teams through real HTTP, and reports the users' measures.
"""

import tempfile
from pathlib import Path
from urllib.parse import urlparse

import attrs

from kumquatseam.bench._driver import DriveResult, DriveTarget, WorkloadDriver
from kumquatseam.bench._processes import daemon_program, standin_program
from kumquatseam.bench._workload import NestedPromptWorkload, WorkloadTeam
from kumquatseam.metrics.figures import RequestStatisticsSummary
from kumquatseam.settings import Settings, load_settings

#: blocks each demo engine holds: too few for every opening on every engine.
DEMO_CAPACITY_BLOCKS = 260


@attrs.frozen
class PolicyOutcome:
    """What one policy achieved in the demo.

    :param policy: the policy's name.
    :param figures: the users' measures.
    :param drive: incomplete streams and refusals.
    :param route_lines: ``route:`` lines in the daemon's log.
    """

    policy: str
    figures: RequestStatisticsSummary
    drive: DriveResult
    route_lines: int


def run_demo(
    policies: list[str],
    requests: int,
    seed: int,
    concurrency: int,
    arrival_gap_s: float,
    log_dir: str | None = None,
) -> list[PolicyOutcome]:
    """Run the demo once per policy on the same seeded burst.

    :returns: one outcome per policy, in order.
    """
    settings = load_settings(None)
    teams = [
        WorkloadTeam(t.name, t.api_keys[0], t.priority_classes)
        for t in settings.configuration.teams
    ]
    burst = NestedPromptWorkload().requests(teams, requests, seed)
    folder = Path(log_dir or tempfile.mkdtemp(prefix="kumquatseam-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    outcomes = []
    for policy in policies:
        engines, daemon = demo_fleet(settings, policy, seed, folder)
        daemon_log = folder / f"{policy}-kumquatseamd.log"
        started = []
        try:
            for program in [*engines, daemon]:
                program.start()
                started.append(program)
            driver = WorkloadDriver(demo_target(settings), concurrency)
            drive = driver.drive(burst, arrival_gap_s)
        finally:
            for program in reversed(started):
                program.close()
        route_lines = sum(
            " route: " in line for line in daemon_log.read_text().splitlines()
        )
        outcomes.append(
            PolicyOutcome(policy, driver.figures.summary(), drive, route_lines)
        )
    return outcomes


def demo_fleet(settings: Settings, policy: str, seed: int, folder: Path):
    """Return the demo's engine programs and daemon program (not started).

    :returns: ``(engines, daemon)``; logs go to ``folder``.
    """
    engines = []
    for index, upstream in enumerate(settings.configuration.upstreams):
        port = urlparse(upstream.url).port
        events_port = int(upstream.events_address.rsplit(":", 1)[1])
        engines.append(
            standin_program(
                "engine",
                port,
                str(folder / f"{policy}-{upstream.name}.log"),
                name=upstream.name,
                events_port=events_port,
                seed=seed + index,
                capacity_blocks=DEMO_CAPACITY_BLOCKS,
                block_size_tokens=settings.daemon.block_size_tokens,
                slots=upstream.slots,
            )
        )
    daemon = daemon_program(
        settings.daemon.listen_port,
        policy=policy,
        log_path=str(folder / f"{policy}-kumquatseamd.log"),
    )
    return engines, daemon


def demo_target(settings: Settings) -> DriveTarget:
    """Return where the demo's driver sends requests."""
    model = settings.configuration.models[0]
    daemon = settings.daemon
    return DriveTarget(
        router_url=f"http://{daemon.listen_host}:{daemon.listen_port}",
        engine_urls=tuple(u.url for u in settings.configuration.upstreams),
        model=model.name,
        model_version=model.version,
    )


def format_outcomes(outcomes: list[PolicyOutcome]) -> str:
    """Return the outcomes as a plain-text table."""
    header = (
        f"{'policy':<14}{'requests':>9}{'refused':>8}{'incomplete':>11}"
        f"{'hit rate':>9}{'ttft p95 ms':>12}{'ttft p99 ms':>12}"
        f"{'wasted tokens':>14}{'route lines':>12}"
    )
    rows = [header]
    for outcome in outcomes:
        figures = outcome.figures
        rows.append(
            f"{outcome.policy:<14}{figures.requests:>9}{figures.refused:>8}"
            f"{outcome.drive.incomplete_streams:>11}{figures.prefix_hit_rate:>9.3f}"
            f"{figures.ttft_p95_ms:>12.1f}{figures.ttft_p99_ms:>12.1f}"
            f"{figures.wasted_recompute_tokens:>14}{outcome.route_lines:>12}"
        )
    return "\n".join(rows)
