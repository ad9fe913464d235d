"""The memory that callers may make this process hold, sized to its machine."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatseam.buffers import BufferBudget
from kumquatseam.http1 import RequestLimits
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
    :param read_limits: returns the current limits of requests.
    """

    def __init__(
        self, memory_mb: float, read_limits: Callable[[], RequestLimits]
    ) -> None:
        super().__init__(
            SIZING_INTERVAL_S, lambda: self._memory.step(), starts_immediately=True
        )
        self._memory_mb = memory_mb
        self._read_limits = read_limits
        largest_bytes = read_limits().max_request_bytes
        self.budget = BufferBudget(FIRST_LARGEST_REQUESTS * largest_bytes)

    @functools.cached_property
    def _memory(self) -> "ProcessMemory":
        """What sizes the budget; loaded with the first look."""
        from kumquatseam.buffers.sizing import ProcessMemory

        return ProcessMemory(
            self.budget,
            self._memory_mb,
            lambda: self._read_limits().max_request_bytes,
        )
