"""Upstreams of every service: which are alive, their health and their weights.

- :class:`Upstream` is one entry of the platform's list of upstreams.
- :class:`UpstreamDirectory` combines the newest entries with observations from
  this process's own traffic: requests in flight, failures, weights.
- :class:`Availabilities` tells until when, and why, upstreams get no requests.
- :class:`AnnouncedLimits` holds the request limits that upstreams announce.
- :class:`Brittleness` tells which services' upstreams end by too many refusals.
- :class:`WeightsTargets` holds the weights that upstreams should run.
"""

from kumquatseam.upstreams._availability import (
    FAILURE_COOLDOWN_S,
    STATED_REASONS,
    Availabilities,
    Availability,
    AvailabilityNotice,
    AvailabilityObserver,
    NullAvailabilityObserver,
    Unavailability,
)
from kumquatseam.upstreams._brittleness import Brittleness, brittle_service
from kumquatseam.upstreams._directory import UpstreamDirectory
from kumquatseam.upstreams._limits import (
    NO_LIMIT_PER_S,
    AnnouncedLimits,
    LimitObservation,
    LimitObserver,
    LimitReport,
    NullLimitObserver,
    parse_limit,
)
from kumquatseam.upstreams._rest import parse_rest
from kumquatseam.upstreams._status import (
    InFlightRequest,
    InFlightRequestListener,
    UpstreamStatus,
)
from kumquatseam.upstreams._targets import UNKNOWN_AGE_S, WeightsTargets
from kumquatseam.upstreams._upstream import ServiceVersion, Upstream, WeightsVersion

__all__ = [
    "FAILURE_COOLDOWN_S",
    "STATED_REASONS",
    "NO_LIMIT_PER_S",
    "UNKNOWN_AGE_S",
    "AnnouncedLimits",
    "Availabilities",
    "Availability",
    "AvailabilityNotice",
    "AvailabilityObserver",
    "Brittleness",
    "InFlightRequest",
    "InFlightRequestListener",
    "LimitObservation",
    "LimitObserver",
    "LimitReport",
    "NullAvailabilityObserver",
    "NullLimitObserver",
    "Unavailability",
    "ServiceVersion",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamStatus",
    "WeightsVersion",
    "WeightsTargets",
    "brittle_service",
    "parse_limit",
    "parse_rest",
]
