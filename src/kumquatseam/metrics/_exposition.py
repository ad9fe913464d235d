"""The gateway's metrics in the Prometheus text format.

The Prometheus library takes a twentieth of the start-up time while callers already
wait for the process, so this module is imported when metrics are first read.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

from kumquatseam.metrics._gateway import GatewayMetrics

_QUANTILES = (50.0, 95.0, 99.0)
_PREFIX = "kumquatseam_"


def metrics_text(metrics: GatewayMetrics) -> bytes:
    """Return every metric in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Converts the metrics to metric families of the Prometheus library."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[object]:
        """Yield the metric families; called by the registry."""
        requests = CounterMetricFamily(
            _PREFIX + "requests", "Requests by outcome.", labels=("route", "outcome")
        )
        for (route, outcome), count in self._metrics.requests.items():
            requests.add_metric((route, outcome), count)
        yield requests
        retries = CounterMetricFamily(
            _PREFIX + "retries", "Retries by cause.", labels=("cause", "allowed")
        )
        for (cause, is_allowed), count in self._metrics.retries.items():
            retries.add_metric((cause, str(is_allowed).lower()), count)
        yield retries
        ends = CounterMetricFamily(
            _PREFIX + "stream_ends",
            "Ends of upstreams' streams.",
            labels=("framing", "inside_event", "whole"),
        )
        for (framing, *flags), count in self._metrics.stream_ends.items():
            ends.add_metric((framing, *(str(f).lower() for f in flags)), count)
        yield ends
        continuations = CounterMetricFamily(
            _PREFIX + "stream_continuations",
            "Streams that went on after they were broken off.",
            labels=("by", "version"),
        )
        for labels, count in self._metrics.continuations.items():
            continuations.add_metric(labels, count)
        yield continuations
        moves = CounterMetricFamily(
            _PREFIX + "run_moves",
            "Calls that move runs, by what they ask for and by their outcomes.",
            labels=("call", "outcome"),
        )
        for labels, count in self._metrics.moves.items():
            moves.add_metric(labels, count)
        yield moves
        cuts = CounterMetricFamily(
            _PREFIX + "requests_cut",
            "Accepted requests that ended without a complete response.",
            labels=("by", "configuration", "weights"),
        )
        for labels, count in self._metrics.cuts.items():
            cuts.add_metric(labels, count)
        yield cuts
        yield from self._latency_families()
        for name, read in self._metrics.counters.items():
            yield CounterMetricFamily(_PREFIX + name, name, value=read())
        for name, read in self._metrics.gauges.items():
            yield GaugeMetricFamily(_PREFIX + name, name, value=read())

    def _latency_families(self) -> Iterator[object]:
        latencies = self._metrics.latencies
        for name in sorted({name for name, _ in latencies}):
            family = SummaryMetricFamily(_PREFIX + name, name, labels=("route",))
            quantiles = GaugeMetricFamily(
                f"{_PREFIX}{name}_quantile", name, labels=("route", "quantile")
            )
            for (found, route), latency in latencies.items():
                if found != name:
                    continue
                family.add_metric((route,), latency.count, latency.sum_s)
                for percentile in _QUANTILES:
                    labels = (route, f"{percentile / 100:g}")
                    quantiles.add_metric(
                        labels, latency.percentile_us(percentile) / 1e6
                    )
            yield family
            yield quantiles
