"""Which clients make room when the buffers are full; loaded when they first are."""

import time

import gevent

from kumquatseam.buffers._account import BufferAccount, BufferLimitError
from kumquatseam.buffers._budget import BufferBudget
from kumquatseam.logs import part_logger

_log = part_logger("buffers")

#: a client that lags behind by this much has to make room.
MAX_LAG_S = 1.0
#: how long a client waits for room: it is not read, so that its system stops sending.
#: Clients try another instance after a second.
MAX_WAIT_S = 0.5
#: the pressure is over once this share of the budget is used.
RELIEVED_SHARE = 0.5
#: pause after a search that found nobody, as a multiple of the time that it took.
SEARCH_PAUSE_FACTOR = 10.0
_POLL_S = 0.05


class BufferPressure:
    """Makes room in a budget that is full.

    Clients that have long held much and hardly move go first; those that have only just
    come, and requests that are complete and being served, stay.

    :param budget: the budget.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._is_on = False
        self._search_at_s = 0.0

    def make_room(self, size_bytes: int, held_bytes: int = 0) -> bool:
        """Evict clients that lag behind; return whether a connection may hold more.

        :param held_bytes: what it holds already.
        """
        self._begin()
        now_s = time.monotonic()
        has_room = self._budget.has_room(size_bytes, held_bytes)
        if has_room or now_s < self._search_at_s:
            return has_room
        if not self._evict(size_bytes, MAX_LAG_S):
            ended_s = time.monotonic()
            self._search_at_s = ended_s + SEARCH_PAUSE_FACTOR * (ended_s - now_s)
        return self._budget.has_room(size_bytes, held_bytes)

    def check_room(self, account: BufferAccount, size_bytes: int) -> None:
        """Check that a connection may hold more.

        :raises BufferLimitError: if it may not.
        """
        account.check_evicted()
        if not self.make_room(size_bytes, account.held_bytes):
            self._refuse()

    def wait_for_room(self, account: BufferAccount, size_bytes: int) -> None:
        """Wait for a moment until a connection may hold more.

        :raises BufferLimitError: if it may not.
        """
        account.check_evicted()
        is_awaiting_client = account.on_time_until_s is not None
        account.end_transfer()
        until_s = time.monotonic() + MAX_WAIT_S
        while not self.make_room(size_bytes, account.held_bytes):
            if time.monotonic() >= until_s:
                self._refuse()
            gevent.sleep(_POLL_S)
        if is_awaiting_client:
            account.begin_transfer()

    def shed(self) -> None:
        """Evict the slowest clients, by however little, until the limit is kept."""
        self._begin()
        budget = self._budget
        self._evict(budget.used_bytes - budget.limit_bytes, 0.0)

    def relieve(self) -> bool:
        """Note whether the pressure is over; return whether it has just ended."""
        budget = self._budget
        if not self._is_on or budget.used_bytes > budget.limit_bytes * RELIEVED_SHARE:
            return False
        self._is_on = False
        self._log("Buffers have room again.")
        return True

    def _begin(self) -> None:
        if not self._is_on:
            self._is_on = True
            self._log("Buffers are full: slow clients are closed, large requests wait.")

    def _refuse(self) -> None:
        self._budget.refused += 1
        raise BufferLimitError(self._budget.limit_bytes)

    def _evict(self, size_bytes: int, min_lag_s: float) -> bool:
        """Evict clients that lag behind until enough is free.

        :param min_lag_s: by how much they do at least.
        :returns: whether there was one.
        """
        now_s = time.monotonic()
        lags_s = {
            account: now_s - account.on_time_until_s
            for account in self._budget.accounts
            if account.on_time_until_s is not None
        }
        lagging = [account for account, lag_s in lags_s.items() if lag_s >= min_lag_s]
        lagging.sort(key=lambda a: a.held_bytes * lags_s[a], reverse=True)
        for account in lagging:
            if size_bytes <= 0:
                break
            size_bytes -= account.held_bytes
            self._budget.evicted += 1
            account.is_evicted = True
            account.close()
            account.wake()
        return bool(lagging)

    def _log(self, event: str) -> None:
        budget = self._budget
        _log.bind(
            used_bytes=budget.used_bytes,
            limit_bytes=budget.limit_bytes,
            connections=len(budget.accounts),
            evicted=budget.evicted,
            refused=budget.refused,
        ).warning(event)
