"""How much of the machine's memory is left for what clients make this process hold."""

import ctypes
import os
from collections.abc import Callable
from pathlib import Path

from kumquatseam.buffers._budget import BufferBudget

_MB = 1_000_000
#: share of the machine's memory that this process may take in all.
USABLE_SHARE = 0.85
#: share of what is left of that for clients: the allocator and copies on their way take
#: some, and what this process knows of the fleet may grow.
CLIENT_SHARE = 0.6
#: largest requests that must fit together in any case.
MIN_LARGEST_REQUESTS = 3
#: up to this share of the limit, what clients hold does not matter for the size of the
#: rest of the process.
CALM_SHARE = 0.1
_STATM = Path("/proc/self/statm")


class ProcessMemory:
    """Sizes a budget by the machine's memory and by what this process takes itself.

    :param budget: the budget.
    :param memory_mb: memory of the machine, in millions of bytes; 0 for as much as the
        system has.
    :param largest_request_bytes: returns the size of the largest request.
    """

    def __init__(
        self,
        budget: BufferBudget,
        memory_mb: float,
        largest_request_bytes: Callable[[], int],
    ) -> None:
        self._budget = budget
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        system_bytes = os.sysconf("SC_PHYS_PAGES") * self._page_bytes
        self._memory_bytes = int(memory_mb * _MB) or system_bytes
        self._largest_request_bytes = largest_request_bytes
        #: what the process takes without what clients make it hold.
        self._own_bytes = 0

    def step(self) -> None:
        """Adapt the limit to the size of the process; call it regularly."""
        budget = self._budget
        if budget.relieve():
            _return_freed_memory()
        resident_bytes = self._resident_bytes()
        if budget.used_bytes <= budget.limit_bytes * CALM_SHARE:
            self._own_bytes = resident_bytes
        else:
            # What is reserved may not have arrived yet, so this is a lower bound.
            own_bytes = resident_bytes - budget.used_bytes
            self._own_bytes = max(self._own_bytes, own_bytes)
        left_bytes = self._memory_bytes * USABLE_SHARE - self._own_bytes
        least_bytes = MIN_LARGEST_REQUESTS * self._largest_request_bytes()
        budget.limit_bytes = max(least_bytes, int(left_bytes * CLIENT_SHARE))

    def _resident_bytes(self) -> int:
        try:
            return int(_STATM.read_text().split()[1]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            # Not on this system: the whole limit is used.
            return 0


def _return_freed_memory() -> None:
    """Return freed memory to the system; the allocator keeps it otherwise."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        # The C library has no such function.
        return
