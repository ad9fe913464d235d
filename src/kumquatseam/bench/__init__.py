"""The load and experiment tool: workloads, a driver, the demo.

:func:`run_demo` runs the main job on the embedded default and
:func:`format_outcomes` prints its table; :class:`LocalFleet` starts a whole
fleet of separate processes on loopback.
"""

from kumquatseam.bench._demo import PolicyOutcome, format_outcomes, run_demo
from kumquatseam.bench._fleet import (
    BLOCK_SIZE_TOKENS,
    FIRST_VERSION,
    MODEL,
    TEAMS,
    FleetPlan,
    LocalFleet,
    run_fleet,
)
from kumquatseam.bench._ports import free_port
from kumquatseam.bench._processes import standin_program
from kumquatseam.bench._workload import (
    NestedPromptWorkload,
    WorkloadRequest,
    WorkloadTeam,
)

__all__ = [
    "BLOCK_SIZE_TOKENS",
    "FIRST_VERSION",
    "FleetPlan",
    "LocalFleet",
    "MODEL",
    "NestedPromptWorkload",
    "PolicyOutcome",
    "TEAMS",
    "WorkloadRequest",
    "WorkloadTeam",
    "format_outcomes",
    "free_port",
    "run_demo",
    "run_fleet",
    "standin_program",
]
