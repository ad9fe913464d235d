"""Load tracking for fleets that are too large for every instance to broadcast.

Each upstream has a tracker: the instance that all others notify of the requests they
send to it, and query for its load. The cost for an instance then depends on its own
requests and its share of the upstreams, not on the number of instances, and
placement uses load data that is one round trip old.

- :class:`LoadTracker` tracks the load of upstreams, in an :class:`InFlightTable`.
- :class:`TrackerClient` queries and notifies trackers by datagrams. Rendezvous
  hashing (``peers.RendezvousOrder``) determines which instance tracks an upstream.
- ``tracked_work.TrackedWork`` provides the trackers' load data to placement; it is
  loaded where the fleet is large.
- :class:`FleetSizeSwitch` uses trackers in large fleets only.
"""

from kumquatseam.trackers._client import TrackerClient
from kumquatseam.trackers._fleet_size import FleetSizeSwitch
from kumquatseam.trackers._in_flight import InFlightTable
from kumquatseam.trackers._messages import (
    TRACKER_KINDS,
    LoadQuery,
    LoadReply,
    PartsSent,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkPrefilled,
)
from kumquatseam.trackers._tracker import LoadTracker

__all__ = [
    "TRACKER_KINDS",
    "FleetSizeSwitch",
    "LoadReply",
    "LoadQuery",
    "LoadTracker",
    "PartsSent",
    "TrackedLoad",
    "TrackerClient",
    "WorkBegan",
    "InFlightTable",
    "WorkEnded",
    "WorkPrefilled",
]
