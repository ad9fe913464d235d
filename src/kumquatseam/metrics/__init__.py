"""Request metrics, recorded with hdrhistogram.

- :class:`GatewayMetrics` counts the gateway's requests and exports the metrics.
- :class:`LatencyHistogram` records latencies of one kind.
- :class:`RecentLongest` keeps the longest of recent times, to expect the next one.
- :mod:`kumquatseam.metrics.figures` has the statistics of routers and the bench. It
  is not imported here, since the gateway does not use it.
"""

from kumquatseam.metrics._gateway import GatewayMetrics
from kumquatseam.metrics._latency import LatencyHistogram
from kumquatseam.metrics._recent_longest import RecentLongest

__all__ = ["GatewayMetrics", "LatencyHistogram", "RecentLongest"]
