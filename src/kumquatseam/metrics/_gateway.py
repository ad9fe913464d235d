"""Counters and latencies of the gateway, and their exposition as text."""

import collections
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

from kumquatseam.metrics._latency import LatencyHistogram

#: significant digits of a latency: a histogram a route and kind stays small.
_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)
_PREFIX = "kumquatseam_"


class GatewayMetrics:
    """What happened to requests, by route and outcome.

    Gauges are read when the metrics are; register them with :meth:`gauge`.
    """

    def __init__(self) -> None:
        self._requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latency: dict[tuple[str, str], LatencyHistogram] = {}
        self._counters: dict[str, Callable[[], float]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def note_request(self, route: str, outcome: str, took_s: float) -> None:
        """Count a request that ended."""
        self._requests[route, outcome] += 1
        self._record("request_seconds", route, took_s)

    def note_first_event(self, route: str, took_s: float) -> None:
        """Record the time to a stream's first event."""
        self._record("first_event_seconds", route, took_s)

    def counter(self, name: str, read: Callable[[], float]) -> None:
        """Expose a count that another part keeps."""
        self._counters[name] = read

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Expose a figure that another part knows."""
        self._gauges[name] = read

    def text(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[object]:
        """Yield the metric families; called by the registry."""
        requests = CounterMetricFamily(
            _PREFIX + "requests", "Requests by outcome.", labels=("route", "outcome")
        )
        for (route, outcome), count in self._requests.items():
            requests.add_metric((route, outcome), count)
        yield requests
        yield from self._latency_families()
        for name, read in self._counters.items():
            yield CounterMetricFamily(_PREFIX + name, name, value=read())
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(_PREFIX + name, name, value=read())

    def _record(self, name: str, route: str, took_s: float) -> None:
        latency = self._latency.get((name, route))
        if latency is None:
            latency = self._latency[name, route] = LatencyHistogram(_DIGITS)
        latency.record(took_s)

    def _latency_families(self) -> Iterator[object]:
        for name in sorted({name for name, _ in self._latency}):
            family = SummaryMetricFamily(_PREFIX + name, name, labels=("route",))
            quantiles = GaugeMetricFamily(
                f"{_PREFIX}{name}_quantile", name, labels=("route", "quantile")
            )
            for (found, route), latency in self._latency.items():
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
