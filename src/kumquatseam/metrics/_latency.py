"""HDR histogram of latencies."""

from hdrh.histogram import HdrHistogram

#: range of recorded latencies: 1 us to 10 minutes.
_LOWEST_US = 1
_HIGHEST_US = 600_000_000


class LatencyHistogram:
    """Histogram, count and sum of latencies.

    :param digits: significant digits of recorded values; two take about 15 KB.
    """

    def __init__(self, digits: int) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, digits)
        self.sum_s = 0.0
        self.count = 0

    def record(self, latency_s: float) -> None:
        """Record one latency."""
        self._histogram.record_value(max(_LOWEST_US, int(latency_s * 1_000_000)))
        self.sum_s += latency_s
        self.count += 1

    def percentile_us(self, percentile: float) -> int:
        """Return the latency at ``percentile`` in microseconds."""
        return self._histogram.get_value_at_percentile(percentile)
