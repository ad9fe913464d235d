"""Plots of a bench report: time to first token and hit rate over time.

Needs matplotlib (``pip install -e .[plot]``); nothing else imports it.
"""

import math

from kumquatseam.bench._report import BenchReport

#: modelled seconds per point on the plots.
BIN_S = 1.0
#: the percentile of time to first token drawn.
TTFT_PERCENTILE = 95


def plot_report(report: BenchReport, path: str) -> None:
    """Draw p95 time to first token and prefix hit rate per second, per policy.

    :param report: from :func:`kumquatseam.bench._report.run_bench`.
    :param path: the image file to write, e.g. ``hivatal.png``.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as pyplot

    figure, (ttft_axes, hit_axes) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for name, figures in report.policies.items():
        bins: dict[int, list] = {}
        for point in figures.timeline:
            bins.setdefault(int(point.arrival_s // BIN_S), []).append(point)
        times = sorted(bins)
        ttft_axes.plot(times, [_percentile(bins[t]) for t in times], label=name)
        hit_axes.plot(times, [_hit_rate(bins[t]) for t in times], label=name)
    ttft_axes.set_ylabel(f"ttft p{TTFT_PERCENTILE} (ms)")
    hit_axes.set_ylabel("prefix hit rate")
    hit_axes.set_xlabel("modelled time (s)")
    ttft_axes.set_title(f"scenario {report.scenario}, seed {report.seed}")
    ttft_axes.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _percentile(points) -> float:
    values = sorted(p.ttft_ms for p in points)
    rank = math.ceil(TTFT_PERCENTILE / 100 * len(values)) - 1
    return values[max(0, rank)]


def _hit_rate(points) -> float:
    prompt = sum(p.prompt_tokens for p in points)
    return sum(p.cached_tokens for p in points) / prompt if prompt else 0.0
