"""Routes from hosts and paths to services, as operators configure them.

A :class:`RouteTable` is one immutable version of the configuration: routes,
services, teams with their keys, and limits. Look a request up with
:meth:`RouteTable.match` and its key with :meth:`RouteTable.team_for_key`.
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
