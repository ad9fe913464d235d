"""The load and experiment tool: workloads, a driver, the demo.

:func:`run_demo` runs the main job on the embedded default and
:func:`format_outcomes` prints its table.
"""

from kumquatseam.bench._demo import PolicyOutcome, format_outcomes, run_demo
from kumquatseam.bench._workload import (
    NestedPromptWorkload,
    WorkloadRequest,
    WorkloadTeam,
)

__all__ = [
    "NestedPromptWorkload",
    "PolicyOutcome",
    "WorkloadRequest",
    "WorkloadTeam",
    "format_outcomes",
    "run_demo",
]
