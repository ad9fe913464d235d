"""Counters, gauges and latencies of the gateway."""

import collections
from collections.abc import Callable

from kumquatseam.metrics._latency import LatencyHistogram
from kumquatseam.metrics._recent_longest import RecentLongest

#: significant digits of a latency; limits the memory of a histogram per route and
#: kind of latency.
_DIGITS = 2
#: label of the software version at which a stream went on.
_VERSIONS = {True: "same", False: "other", None: "unknown"}
#: outcome of requests that tell how long the next one may take.
ANSWERED = "answered_2xx"
#: versions and causes under which cuts are counted; the oldest ones are dropped.
MAX_CUT_SERIES = 64


class GatewayMetrics:
    """Metrics of requests, by route and outcome.

    Register a gauge with :meth:`register_gauge`; it is read when metrics are
    exported.
    """

    def __init__(self) -> None:
        self.requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self.retries: collections.Counter[tuple[str, bool]] = collections.Counter()
        self.stream_ends: collections.Counter[tuple[str, bool, bool]] = (
            collections.Counter()
        )
        self.continuations: collections.Counter[tuple[str, str]] = collections.Counter()
        self.moves: collections.Counter[tuple[str, str]] = collections.Counter()
        self.cuts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._answered: dict[str, RecentLongest] = {}
        self.latencies: dict[tuple[str, str], LatencyHistogram] = {}
        self.counters: dict[str, Callable[[], float]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def record_request(self, route: str, outcome: str, took_s: float) -> None:
        """Record a finished request."""
        self.requests[route, outcome] += 1
        self._record("request_seconds", route, took_s)
        if outcome == ANSWERED:
            longest = self._answered.get(route)
            if longest is None:
                longest = self._answered[route] = RecentLongest()
            longest.record(took_s)

    def allowed_s(self, route: str) -> float:
        """Return the time to allow for a route's next request; infinite if unknown."""
        longest = self._answered.get(route)
        return longest.allowed_s if longest is not None else float("inf")

    def record_retry(self, cause: str, is_allowed: bool) -> None:
        """Record that a request was to be sent to an upstream once more.

        :param cause: why.
        :param is_allowed: whether the retry budget allowed it.
        """
        self.retries[cause, is_allowed] += 1

    def record_stream_end(
        self, framing: str, is_inside_event: bool, is_whole: bool
    ) -> None:
        """Record that an upstream's stream ended.

        :param framing: how its end is told.
        :param is_inside_event: whether a part of an event was left.
        :param is_whole: whether it counts as complete.
        """
        self.stream_ends[framing, is_inside_event, is_whole] += 1

    def record_continuation(self, by: str, is_same_version: bool | None) -> None:
        """Record that a broken stream went on.

        :param by: who took it up.
        :param is_same_version: whether at the software version that began it; ``None``
            if that is not known.
        """
        self.continuations[by, _VERSIONS[is_same_version]] += 1

    def record_move(self, stops_run: bool, outcome: str) -> None:
        """Record a call that moves a run.

        :param stops_run: whether it was to stop the run.
        """
        self.moves["stop" if stops_run else "copy", outcome] += 1

    def record_cut(
        self, by: str, configuration: int | None, weights: int | None
    ) -> None:
        """Record an accepted request that ended without a complete response.

        :param by: who ended it.
        :param configuration: version of the configuration in force.
        :param weights: version of the newest weights named for its model.
        """
        self.cuts[by, str(configuration), str(weights)] += 1
        if len(self.cuts) > MAX_CUT_SERIES:
            del self.cuts[next(iter(self.cuts))]

    def record_first_event(self, route: str, took_s: float) -> None:
        """Record the time to the first event of a stream."""
        self._record("first_event_seconds", route, took_s)

    def register_counter(self, name: str, read: Callable[[], float]) -> None:
        """Export a counter whose value is returned by ``read``."""
        self.counters[name] = read

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Export a gauge whose value is returned by ``read``."""
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
