"""The figures the users measure, recorded with hdrhistogram.

:class:`RequestFigures` gathers prefix hit rate, time to first token and
wasted recomputation for a set of requests; :class:`FiguresSummary` is its
frozen read-out. :class:`GatewayMetrics` counts the gateway's requests and
writes them as text.
"""

from kumquatseam.metrics._figures import FiguresSummary, RequestFigures
from kumquatseam.metrics._gateway import GatewayMetrics

__all__ = ["FiguresSummary", "GatewayMetrics", "RequestFigures"]
