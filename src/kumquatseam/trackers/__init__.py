"""Knowing the work on upstreams in a fleet too large to tell everyone everything.

Each upstream has a tracker: the instance that all others ask what is on it, and
tell what they send to it. What an instance does for the fleet's sake then depends
on its own requests and on its share of the upstreams, not on how many instances
there are. Where leaders told all what all have, news was 0.3 s old in a fleet of
195; asked for instead, long prompts had their first event after 331 ms in the
median, not 846, and engines refused 2% of arrivals, not 24% (one replayed day of
restarts and rollouts).

- :class:`TrackerOrder` says which instance tracks an upstream.
- :class:`LoadTracker` knows the work on the upstreams tracked here, kept in a
  :class:`WorkBook`.
- :class:`TrackerClient` asks trackers over a :class:`DatagramSocket`.
- :class:`TrackedWork` places requests by what they say.
"""

from kumquatseam.trackers._book import WorkBook
from kumquatseam.trackers._client import TrackerClient
from kumquatseam.trackers._datagrams import DatagramLink, DatagramSocket
from kumquatseam.trackers._messages import (
    TRACKER_KINDS,
    LoadAnswer,
    LoadQuestion,
    PartsGiven,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkRead,
)
from kumquatseam.trackers._order import TrackerOrder
from kumquatseam.trackers._round_trip import RoundTripEstimate
from kumquatseam.trackers._tracker import LoadTracker
from kumquatseam.trackers._work import FleetWork, TrackedWork

__all__ = [
    "TRACKER_KINDS",
    "DatagramLink",
    "DatagramSocket",
    "FleetWork",
    "LoadAnswer",
    "LoadQuestion",
    "LoadTracker",
    "PartsGiven",
    "RoundTripEstimate",
    "TrackedLoad",
    "TrackedWork",
    "TrackerClient",
    "TrackerOrder",
    "WorkBegan",
    "WorkBook",
    "WorkEnded",
    "WorkRead",
]
