"""Counters and latencies of the gateway."""

import collections
from collections.abc import Callable

from kumquatseam.metrics._latency import LatencyHistogram

#: significant digits of a latency: a histogram a route and kind stays small.
_DIGITS = 2


class GatewayMetrics:
    """What happened to requests, by route and outcome.

    Gauges are read when the metrics are; register them with :meth:`gauge`.
    """

    def __init__(self) -> None:
        self.requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self.latencies: dict[tuple[str, str], LatencyHistogram] = {}
        self.counters: dict[str, Callable[[], float]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def note_request(self, route: str, outcome: str, took_s: float) -> None:
        """Count a request that ended."""
        self.requests[route, outcome] += 1
        self._record("request_seconds", route, took_s)

    def note_first_event(self, route: str, took_s: float) -> None:
        """Record the time to a stream's first event."""
        self._record("first_event_seconds", route, took_s)

    def counter(self, name: str, read: Callable[[], float]) -> None:
        """Expose a count that another part keeps."""
        self.counters[name] = read

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Expose a figure that another part knows."""
        self.gauges[name] = read

    def text(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        from kumquatseam.metrics._exposition import metrics_text

        return metrics_text(self)

    def _record(self, name: str, route: str, took_s: float) -> None:
        latency = self.latencies.get((name, route))
        if latency is None:
            latency = self.latencies[name, route] = LatencyHistogram(_DIGITS)
        latency.record(took_s)
