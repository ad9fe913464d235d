"""Chooses the upstream for a request; performs no input or output itself.

- :func:`choose` picks one :class:`Candidate`; a pure function.
- :class:`ReplacedWeightsGrace` is how long requests may start on replaced weights.
- :class:`CachePlanner` finds how much of a prompt each engine would reuse, fetch and
  prefill.
- :class:`EngineComparison` compares the engines that may take a prompt.
- :class:`Placer` collects the candidates for a request and places it.
- :class:`LimitedPlacer` places it within the limits that upstreams announced.
- :class:`VersionDemand` queues the streams that go on at one software version only.
- :class:`WorkSource` provides the work of other instances; :class:`BroadcastWork` is
  for fleets in which every instance broadcasts its work to all others.
"""

from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    select_store,
)
from kumquatseam.placement._choice import Candidate, WaitLimit, choose, wait_ms
from kumquatseam.placement._comparison import EngineComparison, cache_salt
from kumquatseam.placement._engine_slowdown import EngineSlowdown, SentRequest
from kumquatseam.placement._limited import GrantedPlacement, LimitedPlacer
from kumquatseam.placement._placer import Placer
from kumquatseam.placement._replaced_weights import ReplacedWeightsGrace
from kumquatseam.placement._request import Placement, PlacementRequest
from kumquatseam.placement._version_demand import QueuePlace, VersionDemand
from kumquatseam.placement._wait_estimate import WaitEstimate
from kumquatseam.placement._work import (
    BroadcastWork,
    HolderScope,
    OutstandingWork,
    PlacementOption,
    RequestWork,
    WorkSource,
    WorkView,
)

__all__ = [
    "ReplacedWeightsGrace",
    "CachePlan",
    "CachePlanner",
    "CacheSource",
    "Candidate",
    "BroadcastWork",
    "EngineComparison",
    "EngineSlowdown",
    "GrantedPlacement",
    "HolderScope",
    "LimitedPlacer",
    "OutstandingWork",
    "RequestWork",
    "PlacementOption",
    "Placement",
    "PlacementRequest",
    "Placer",
    "QueuePlace",
    "SentRequest",
    "VersionDemand",
    "WaitEstimate",
    "WaitLimit",
    "WorkSource",
    "WorkView",
    "cache_salt",
    "choose",
    "select_store",
    "wait_ms",
]
