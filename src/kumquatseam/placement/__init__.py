"""Where a request goes, decided apart from input and output.

- :func:`choose` picks one :class:`Candidate`; a pure function.
- :class:`ReplacedWeightsGrace` says how long replaced weights may be begun on.
- :class:`CachePlanner` says what each engine would have, fetch and read.
- :class:`EngineComparison` compares the engines that may take a prompt.
- :class:`Placer` gathers the candidates for a request.
- :class:`WorkSource` is where the work of other instances is known from;
  :class:`BroadcastWork` is for fleets in which everyone is told everything.
"""

from kumquatseam.placement._begin_bound import ReplacedWeightsGrace
from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    store_for,
)
from kumquatseam.placement._choice import Candidate, WaitLimit, choose, wait_ms
from kumquatseam.placement._comparison import EngineComparison, cache_salt
from kumquatseam.placement._engine_pace import EnginePace, SentRequest
from kumquatseam.placement._placer import Placer
from kumquatseam.placement._request import Placement, PlacementRequest
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
    "EnginePace",
    "HolderScope",
    "OutstandingWork",
    "RequestWork",
    "PlacementOption",
    "Placement",
    "PlacementRequest",
    "Placer",
    "SentRequest",
    "WaitEstimate",
    "WaitLimit",
    "WorkSource",
    "WorkView",
    "cache_salt",
    "choose",
    "store_for",
    "wait_ms",
]
