"""Where a request goes, decided apart from input and output.

- :func:`choose` picks one :class:`Candidate`; a pure function.
- :class:`CachePlanner` says what each engine would have, fetch and read.
- :class:`Placer` gathers the candidates for a request.
"""

from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    store_for,
)
from kumquatseam.placement._choice import Candidate, choose, wait_ms
from kumquatseam.placement._placer import Placement, PlacementRequest, Placer

__all__ = [
    "CachePlan",
    "CachePlanner",
    "CacheSource",
    "Candidate",
    "Placement",
    "PlacementRequest",
    "Placer",
    "choose",
    "store_for",
    "wait_ms",
]
