"""What one client's connection holds of the memory for all of them."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from kumquatseam.errors import KumquatseamError

if TYPE_CHECKING:
    from kumquatseam.buffers._budget import BufferBudget

#: a client that moves fewer bytes a second lags behind; any link does better unless
#: hundreds share it.
MIN_BYTES_PER_S = 16_384


@attrs.define(frozen=True, eq=False)
class BufferLimitError(KumquatseamError):
    """There is no memory for what a client sends, or has yet to receive.

    :param limit_bytes: what all connections may hold together.
    """

    limit_bytes: int

    def __str__(self) -> str:
        return f"buffers: all connections hold {self.limit_bytes} bytes, the limit"


class BufferAccount:
    """The memory that one connection holds; take before holding, give back after.

    :param budget: shared by all connections.
    :param held_bytes: what the connection itself takes.
    """

    def __init__(self, budget: "BufferBudget", held_bytes: int) -> None:
        self._budget = budget
        self.held_bytes = held_bytes
        #: called once the account was evicted, to end the wait for its client.
        self.wake: Callable[[], None] = lambda: None
        self.is_evicted = False
        #: until when its client has moved enough; ``None`` while nothing is awaited
        #: from the client.
        self.on_time_until_s: float | None = None

    def begin_transfer(self) -> None:
        """Expect the client to send or to receive from now on."""
        self.on_time_until_s = time.monotonic()

    def note_moved(self, moved_bytes: int) -> None:
        """Record that the client sent or received something."""
        if self.on_time_until_s is not None:
            on_time_until_s = self.on_time_until_s + moved_bytes / MIN_BYTES_PER_S
            self.on_time_until_s = min(time.monotonic(), on_time_until_s)

    def end_transfer(self) -> None:
        """Expect nothing from the client."""
        self.on_time_until_s = None

    def take(self, size_bytes: int) -> None:
        """Hold more, which may be in memory already.

        :raises BufferLimitError: if there is no room, or the account was evicted.
        """
        if not self._budget.has_room(size_bytes, self.held_bytes):
            self._budget.pressure.check_room(self, size_bytes)
        self._add(size_bytes)

    def reserve(self, size_bytes: int) -> None:
        """Hold more before it is in memory; wait for a moment if there is no room.

        Nothing is awaited from the client meanwhile.

        :raises BufferLimitError: if there is none then, or the account was evicted.
        """
        if not self._budget.has_room(size_bytes, self.held_bytes):
            self._budget.pressure.wait_for_room(self, size_bytes)
        self._add(size_bytes)

    def take_over_limit(self, size_bytes: int) -> None:
        """Hold more at once; the slowest clients make room for it.

        :raises BufferLimitError: if this is the slowest one itself.
        """
        self._add(size_bytes)
        if self._budget.used_bytes > self._budget.limit_bytes:
            self._budget.pressure.shed()
            self.check_evicted()

    def give_back(self, size_bytes: int) -> None:
        """Hold less."""
        if not self.is_evicted:
            self._add(-size_bytes)

    def close(self) -> None:
        """Give back all that it holds."""
        self._budget.close_account(self)

    def check_evicted(self) -> None:
        """Check that the connection may go on.

        :raises BufferLimitError: if the account was evicted.
        """
        if self.is_evicted:
            raise BufferLimitError(self._budget.limit_bytes)

    def _add(self, size_bytes: int) -> None:
        self.check_evicted()
        self.held_bytes += size_bytes
        self._budget.used_bytes += size_bytes
