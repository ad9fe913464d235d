"""Upstreams of every service: which live, how they do, what they run.

- :class:`Upstream` is one entry of the platform's list.
- :class:`UpstreamDirectory` holds the newest entries and what this process
  learnt from its own traffic: requests in flight, failures, weights.
- :class:`WeightsTargets` holds the weights that are to be in force.
"""

from kumquatseam.upstreams._directory import UpstreamDirectory
from kumquatseam.upstreams._status import (
    InFlightRequest,
    OccupancyListener,
    UpstreamStatus,
)
from kumquatseam.upstreams._targets import UNKNOWN_AGE_S, WeightsTargets
from kumquatseam.upstreams._upstream import Upstream, WeightsVersion

__all__ = [
    "UNKNOWN_AGE_S",
    "InFlightRequest",
    "OccupancyListener",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamStatus",
    "WeightsVersion",
    "WeightsTargets",
]
