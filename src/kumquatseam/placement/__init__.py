"""Where a request goes, decided apart from input and output.

- :func:`choose` picks one :class:`Candidate`; a pure function.
- :class:`Placer` gathers the candidates for a request.
"""

from kumquatseam.placement._choice import Candidate, choose
from kumquatseam.placement._placer import Placement, PlacementRequest, Placer

__all__ = [
    "Candidate",
    "Placement",
    "PlacementRequest",
    "Placer",
    "choose",
]
