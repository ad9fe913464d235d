"""Bench reports: every policy on one trace, their table, JSON and bounds."""

import json
import sys

import attrs

from kumquatseam.bench._modelled import ORACLE, PolicyFigures, run_policy
from kumquatseam.bench._scenarios import SCENARIOS
from kumquatseam.bench._trace import build_trace
from kumquatseam.errors import KumquatseamError

BENCH_POLICIES = ("prefix_aware", "affinity", "round_robin", "least_loaded", ORACLE)

#: regression bounds, as ratios within one run (issue 6).
MIN_HIT_RATE_OF_ORACLE = 0.9
MIN_HIT_RATE_OF_ROUND_ROBIN = 1.5
MAX_WASTE_OF_ROUND_ROBIN = 0.25


class UnknownScenarioError(KumquatseamError):
    """The bench has no scenario of that name."""


@attrs.frozen
class BenchReport:
    """Every policy's figures on one scenario's trace.

    :param scenario: the scenario's name.
    :param seed: the seed of the trace and the losses.
    :param policies: each policy's figures, by name.
    """

    scenario: str
    seed: int
    policies: dict[str, PolicyFigures]


@attrs.frozen
class BoundBroken:
    """A regression bound that a report breaks.

    :param bound: what should hold, e.g. ``"hit rate >= 0.9 x oracle"``.
    :param found: the figures found.
    """

    bound: str
    found: str


def run_bench(scenario_name: str, seed: int, requests: int, progress: bool = False):
    """Run every policy on the scenario's seeded trace.

    :raises UnknownScenarioError: for a name not in :data:`SCENARIOS`.
    """
    if scenario_name not in SCENARIOS:
        raise UnknownScenarioError(
            f"no scenario {scenario_name!r}; have {sorted(SCENARIOS)}"
        )
    scenario = SCENARIOS[scenario_name]
    trace = build_trace(scenario, requests, seed)
    results = {}
    for policy in BENCH_POLICIES:
        if progress:
            print(
                f"bench: {scenario_name} {policy} ({requests} requests)",
                file=sys.stderr,
            )
        results[policy] = run_policy(scenario, trace, policy, seed)
    return BenchReport(scenario_name, seed, results)


def broken_bounds(report: BenchReport) -> list[BoundBroken]:
    """Return every regression bound the report breaks (empty: all hold)."""
    prefix = report.policies["prefix_aware"]
    oracle = report.policies[ORACLE]
    round_robin = report.policies["round_robin"]
    least_loaded = report.policies["least_loaded"]
    hit = prefix.summary.prefix_hit_rate
    checks = [
        (
            hit >= MIN_HIT_RATE_OF_ORACLE * oracle.summary.prefix_hit_rate,
            f"hit rate >= {MIN_HIT_RATE_OF_ORACLE} x oracle",
            f"{hit:.3f} vs {oracle.summary.prefix_hit_rate:.3f}",
        ),
        (
            hit >= MIN_HIT_RATE_OF_ROUND_ROBIN * round_robin.summary.prefix_hit_rate,
            f"hit rate >= {MIN_HIT_RATE_OF_ROUND_ROBIN} x round_robin",
            f"{hit:.3f} vs {round_robin.summary.prefix_hit_rate:.3f}",
        ),
        (
            prefix.summary.wasted_recompute_tokens
            <= MAX_WASTE_OF_ROUND_ROBIN * round_robin.summary.wasted_recompute_tokens,
            f"wasted <= {MAX_WASTE_OF_ROUND_ROBIN} x round_robin",
            f"{prefix.summary.wasted_recompute_tokens} vs "
            f"{round_robin.summary.wasted_recompute_tokens}",
        ),
        (
            prefix.summary.ttft_p99_ms <= least_loaded.summary.ttft_p99_ms,
            "ttft p99 <= least_loaded",
            f"{prefix.summary.ttft_p99_ms:.1f} vs "
            f"{least_loaded.summary.ttft_p99_ms:.1f}",
        ),
    ]
    broken = [BoundBroken(bound, found) for held, bound, found in checks if not held]
    for name, figures in report.policies.items():
        if figures.duplicates or figures.lost:
            broken.append(
                BoundBroken(
                    f"{name}: no duplicates, none lost",
                    f"{figures.duplicates} duplicates, {figures.lost} lost",
                )
            )
    return broken


def report_dict(report: BenchReport) -> dict:
    """Return the report as the JSON object ``kumquatseam bench --json`` prints."""
    policies = {}
    for name, figures in report.policies.items():
        summary = figures.summary
        policies[name] = {
            "prefix_hit_rate": round(summary.prefix_hit_rate, 4),
            "ttft_p95_ms": summary.ttft_p95_ms,
            "ttft_p99_ms": summary.ttft_p99_ms,
            "wasted_recompute_tokens": summary.wasted_recompute_tokens,
            "requests": summary.requests,
            "refused": summary.refused,
            "duplicates": figures.duplicates,
            "lost": figures.lost,
            "class_ttft_p99_ms": figures.class_ttft_p99_ms,
            "class_refused": figures.class_refused,
        }
    return {"scenario": report.scenario, "seed": report.seed, "policies": policies}


def format_report(report: BenchReport) -> str:
    """Return the report as a plain-text table, with the bounds' verdict."""
    rows = [
        f"scenario {report.scenario}, seed {report.seed}, modelled time",
        f"{'policy':<14}{'requests':>9}{'refused':>8}{'hit rate':>9}"
        f"{'ttft p95 ms':>12}{'ttft p99 ms':>12}{'wasted tokens':>14}"
        f"{'dup':>5}{'lost':>5}  p99 by class",
    ]
    for name, figures in report.policies.items():
        s = figures.summary
        rows.append(
            f"{name:<14}{s.requests:>9}{s.refused:>8}{s.prefix_hit_rate:>9.3f}"
            f"{s.ttft_p95_ms:>12.1f}{s.ttft_p99_ms:>12.1f}"
            f"{s.wasted_recompute_tokens:>14}{figures.duplicates:>5}{figures.lost:>5}"
            f"  {_by_class(figures)}"
        )
    broken = broken_bounds(report)
    rows.append(
        "bounds: all hold"
        if not broken
        else "bounds broken: " + "; ".join(f"{b.bound} ({b.found})" for b in broken)
    )
    return "\n".join(rows)


def _by_class(figures: PolicyFigures) -> str:
    """Return each class's p99 time to first token and refusals, in short."""
    parts = []
    for name, ttft_ms in figures.class_ttft_p99_ms.items():
        refused = figures.class_refused.get(name, 0)
        parts.append(f"{name} {ttft_ms:.0f}" + (f" (-{refused})" if refused else ""))
    return ", ".join(parts)


def format_json(report: BenchReport) -> str:
    """Return :func:`report_dict` as one line of JSON."""
    return json.dumps(report_dict(report))
