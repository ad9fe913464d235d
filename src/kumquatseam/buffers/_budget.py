"""A limit on the memory that is held on behalf of all clients."""

import functools
import sys
from typing import TYPE_CHECKING

from kumquatseam.buffers._account import BufferAccount

if TYPE_CHECKING:
    from kumquatseam.buffers._pressure import BufferPressure

#: connections that hold at most this much may use the whole budget: what a request with
#: a body of 64 KB takes.
SMALL_BYTES = 98_304
#: share of the budget for those that hold more.
LARGE_SHARE = 0.5


class BufferBudget:
    """Limits what all connections of clients hold together.

    :param limit_bytes: the limit; none by default.
    """

    def __init__(self, limit_bytes: int = sys.maxsize) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.accounts: set[BufferAccount] = set()
        #: connections whose client was too slow to keep what they held.
        self.evicted = 0
        #: connections for which there was no room.
        self.refused = 0

    @functools.cached_property
    def pressure(self) -> "BufferPressure":
        """What makes room; loaded when the buffers are first full."""
        from kumquatseam.buffers._pressure import BufferPressure

        return BufferPressure(self)

    def open_account(self, held_bytes: int = 0) -> BufferAccount:
        """Return the account of a new connection.

        :param held_bytes: what the connection itself takes.
        """
        account = BufferAccount(self, held_bytes)
        self.accounts.add(account)
        self.used_bytes += held_bytes
        return account

    def close_account(self, account: BufferAccount) -> None:
        """Return what an account holds; nothing the second time."""
        if account in self.accounts:
            self.accounts.remove(account)
            self.used_bytes -= account.held_bytes

    def has_room(self, size_bytes: int, held_bytes: int = 0) -> bool:
        """Return whether a connection may hold more.

        :param held_bytes: what it holds already.
        """
        limit_bytes = self.limit_bytes
        if held_bytes + size_bytes > SMALL_BYTES:
            limit_bytes *= LARGE_SHARE
        return self.used_bytes + size_bytes <= limit_bytes

    def relieve(self) -> bool:
        """Note whether the buffers have room again; return whether they just got it."""
        # Nothing is loaded before they are first full.
        return "pressure" in self.__dict__ and self.pressure.relieve()

    def may_open(self, size_bytes: int) -> bool:
        """Return whether there is room for a new connection."""
        return self.has_room(size_bytes) or self.pressure.make_room(size_bytes)
