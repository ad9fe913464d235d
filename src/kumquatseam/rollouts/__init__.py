"""Bringing engines to the weights that operators name.

- :func:`plan_loads` decides which engines load next; a pure function.
- :class:`RolloutDuty` gives the orders while this instance holds the lease.
- :class:`RolloutView` applies what the holder tells every instance, and
  :class:`NoticeRelay` hands it on where not all hear the holder.
- :class:`OrderClient` is the interface to engines' orders and reports.
"""

from kumquatseam.rollouts._duty import RolloutDuty
from kumquatseam.rollouts._orders import (
    EngineReport,
    LoadMode,
    MovedRun,
    OrderClient,
    OrderOutcome,
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
    "WeightsOrder",
    "plan_loads",
]
