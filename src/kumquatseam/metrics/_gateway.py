"""Counters and latencies of the gateway, and their exposition as text."""

import collections
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

#: latencies are recorded from 1 us to 10 minutes with two digits; a histogram
#: then takes about 15 KB.
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)
_PREFIX = "kumquatseam_"


class _Latency:
    """One latency histogram with its sum."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        self.sum_s = 0.0
        self.count = 0

    def record(self, latency_s: float) -> None:
        """Record one latency."""
        self._histogram.record_value(max(_LOWEST_US, int(latency_s * 1e6)))
        self.sum_s += latency_s
        self.count += 1

    def quantile_s(self, percentile: float) -> float:
        """Return the latency at ``percentile``."""
        return self._histogram.get_value_at_percentile(percentile) / 1e6


class GatewayMetrics:
    """What happened to requests, by route and outcome.

    Gauges are read when the metrics are; register them with :meth:`gauge`.
    """

    def __init__(self) -> None:
        self._requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latency: dict[tuple[str, str], _Latency] = {}
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
            latency = self._latency[name, route] = _Latency()
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
                    quantiles.add_metric(labels, latency.quantile_s(percentile))
            yield family
            yield quantiles
