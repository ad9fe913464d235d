"""Running rollouts; import it only where this instance may hold the lease.

Few instances of a large fleet ever do, and the others start faster without it.

- :class:`RolloutDuty` sends the orders while this instance holds the lease.
- :func:`plan_loads` decides which engines load next; a pure function.
"""

from kumquatseam.rollouts._duty import RolloutDuty
from kumquatseam.rollouts._plan import (
    EngineState,
    LoadPlan,
    RolloutBounds,
    plan_loads,
)

__all__ = [
    "EngineState",
    "LoadPlan",
    "RolloutBounds",
    "RolloutDuty",
    "plan_loads",
]
