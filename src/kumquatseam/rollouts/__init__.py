"""Rollout of the weights that operators name to all engines.

One instance holds the rollout lease ("the holder"). It orders engines to load new
weights, a few at a time, and broadcasts notices of the progress to all instances. A
"run" is the execution of one request on an engine.

- :func:`plan_loads` decides which engines load next; a pure function.
- :class:`RolloutDuty` sends the orders while this instance holds the lease.
- :class:`RolloutView` applies the holder's notices at every instance, and
  :class:`NoticeRelay` rebroadcasts them where some instances cannot receive them
  directly.
- :class:`OrderClient` is the interface for ordering engines and reading their reports.
"""

from kumquatseam.rollouts._duty import RolloutDuty
from kumquatseam.rollouts._orders import (
    EngineReport,
    LoadMode,
    MovedRun,
    OrderClient,
    OrderOutcome,
    RunEndedError,
    WeightsOrder,
)
from kumquatseam.rollouts._plan import (
    EngineState,
    LoadPlan,
    RolloutBounds,
    plan_loads,
)
from kumquatseam.rollouts._view import NoticeRelay, RolloutView

__all__ = [
    "EngineReport",
    "EngineState",
    "LoadMode",
    "LoadPlan",
    "MovedRun",
    "NoticeRelay",
    "OrderClient",
    "OrderOutcome",
    "RolloutBounds",
    "RolloutDuty",
    "RolloutView",
    "RunEndedError",
    "WeightsOrder",
    "plan_loads",
]
