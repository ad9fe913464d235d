"""The figures the users measure, recorded with hdrhistogram.

:class:`RequestFigures` gathers prefix hit rate, time to first token and
wasted recomputation for a set of requests; :class:`FiguresSummary` is its
frozen read-out.
"""

from kumquatseam.metrics._figures import FiguresSummary, RequestFigures

__all__ = ["FiguresSummary", "RequestFigures"]
