"""Rollout of the weights that operators name to all engines.

One instance holds the rollout lease ("the holder"). It orders engines to load new
weights, a few at a time, and broadcasts notices of the progress to all instances. A
"run" is the execution of one request on an engine.

- :mod:`kumquatseam.rollouts.duty` plans and sends the orders of the holder.
- :class:`RolloutView` applies the holder's notices at every instance, and
  :class:`NoticeRelay` rebroadcasts them where some instances cannot receive them
  directly.
- :class:`OrderClient` is the interface for ordering engines and reading their reports.
"""

from kumquatseam.rollouts._deferred import DeferredOrderClient
from kumquatseam.rollouts._orders import (
    EngineReport,
    LoadMode,
    MovedRun,
    MoveOutcome,
    MoveResult,
    OrderClient,
    OrderOutcome,
    WeightsOrder,
)
from kumquatseam.rollouts._view import NoticeRelay, RolloutView

__all__ = [
    "DeferredOrderClient",
    "EngineReport",
    "LoadMode",
    "MovedRun",
    "MoveOutcome",
    "MoveResult",
    "NoticeRelay",
    "OrderClient",
    "OrderOutcome",
    "RolloutView",
    "WeightsOrder",
]
