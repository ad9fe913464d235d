"""Knowing the work on upstreams in a fleet too large to tell everyone everything.

Each upstream has a tracker: the instance that all others ask what is on it, and
tell what they send to it. What an instance does for the fleet's sake then depends
on its own requests and on its share of the upstreams, not on how many instances
there are, and what it places by is one round trip old.

- :class:`LoadTracker` knows the work on the upstreams tracked here, kept in a
  :class:`WorkBook`.
- :class:`TrackerClient` asks trackers, in small messages without connections.
  Which instance tracks an upstream follows from ``peers.RendezvousOrder``.
- :class:`TrackedWork` places requests by what they say.
"""

from kumquatseam.trackers._book import WorkBook
from kumquatseam.trackers._client import TrackerClient
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
from kumquatseam.trackers._tracker import LoadTracker
from kumquatseam.trackers._work import FleetSizeSwitch, TrackedWork

__all__ = [
    "TRACKER_KINDS",
    "FleetSizeSwitch",
    "LoadAnswer",
    "LoadQuestion",
    "LoadTracker",
    "PartsGiven",
    "TrackedLoad",
    "TrackedWork",
    "TrackerClient",
    "WorkBegan",
    "WorkBook",
    "WorkEnded",
    "WorkRead",
]
