"""The memory that callers may make this process hold, sized to its machine."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatseam.buffers import BufferBudget
from kumquatseam.loops import StepLoop

if TYPE_CHECKING:
    from kumquatseam.buffers.sizing import ProcessMemory

#: seconds between looks at the size of the process.
SIZING_INTERVAL_S = 1.0
#: what fits into the budget until the first look: largest requests.
FIRST_LARGEST_REQUESTS = 3


class CallerBuffers(StepLoop):
    """Keeps the budget for all callers at what the machine has left.

    :param memory_mb: memory of the machine, in millions of bytes; 0 for as much as the
        system has.
    :param largest_request_bytes: returns what the largest request takes now.
    """

    def __init__(
        self, memory_mb: float, largest_request_bytes: Callable[[], int]
    ) -> None:
        super().__init__(
            SIZING_INTERVAL_S, lambda: self._memory.step(), starts_immediately=True
        )
        self._memory_mb = memory_mb
        self._largest_request_bytes = largest_request_bytes
        largest_bytes = largest_request_bytes()
        self.budget = BufferBudget(FIRST_LARGEST_REQUESTS * largest_bytes)

    @functools.cached_property
    def _memory(self) -> "ProcessMemory":
        """What sizes the budget; loaded with the first look."""
        from kumquatseam.buffers.sizing import ProcessMemory

        return ProcessMemory(self.budget, self._memory_mb, self._largest_request_bytes)
