"""Prefix-aware routing: prefix index, fleet view, routing policies and router.

Use :class:`Router` with a policy from :func:`build_policy`.
"""

from kumquatseam.routing._fleet import FleetView
from kumquatseam.routing._hints import PlacementHints
from kumquatseam.routing._index import PrefixIndex
from kumquatseam.routing._peers import PeerSummaries
from kumquatseam.routing._policies import (
    AffinityPolicy,
    Candidate,
    LeastLoadedPolicy,
    PrefixAwarePolicy,
    RoundRobinPolicy,
    RoutingPolicy,
    build_policy,
)
from kumquatseam.routing._router import Router, RoutingDecision, RoutingRequest

__all__ = [
    "AffinityPolicy",
    "Candidate",
    "FleetView",
    "LeastLoadedPolicy",
    "PeerSummaries",
    "PlacementHints",
    "PrefixAwarePolicy",
    "PrefixIndex",
    "RoundRobinPolicy",
    "Router",
    "RoutingDecision",
    "RoutingPolicy",
    "RoutingRequest",
    "build_policy",
]
