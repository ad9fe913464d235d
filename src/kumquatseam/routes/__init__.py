"""Routes from hosts and paths to services, as operators configure them.

A :class:`RouteTable` is one immutable version of the configuration: routes,
services, teams with their keys, and limits. Use :meth:`RouteTable.match` to find the
route of a request and :meth:`RouteTable.team_for_key` to find its team.
"""

from kumquatseam.routes._live import LiveRouteTable
from kumquatseam.routes._table import (
    CacheStore,
    EngineTraits,
    Repeatability,
    Route,
    RouteTable,
    ServiceTraits,
    TeamQuota,
    TeamTraits,
    TrafficShare,
)

__all__ = [
    "CacheStore",
    "EngineTraits",
    "LiveRouteTable",
    "Repeatability",
    "Route",
    "RouteTable",
    "ServiceTraits",
    "TeamQuota",
    "TeamTraits",
    "TrafficShare",
]
