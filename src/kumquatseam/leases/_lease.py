"""A lease on a fleet-wide duty, stored in the log service.

Each duty has a topic. The newest record of the topic names the holder, and the
record's position is the fencing token. Positions never decrease, even when the log
service is restored from an older copy and has lost its newest records. A router that
detects a restore waits a full lease from then on, since the lost records may include
a renewal. A holder whose own record was lost appends a new one while its lease is
still valid.

A contender may acquire the lease once it has seen no newer record for ``lease_s``,
measured on its own clock, so clocks need not be synchronised. The append is
conditional, so only one of several racing contenders succeeds. The holder counts its
lease from before it began the append, so it always stops acting before another router
may take over. A holder that was paused beyond its lease finds it expired before it
acts, and an order it had already sent carries an outdated fencing token.
"""

import uuid
from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    LogConflictError,
    LogRecordsExpiredError,
    LogService,
    LogServiceError,
    era_of,
    offset_of,
)
from kumquatseam.logservice.appending import append_once

_log = part_logger("duty")
_TOPIC_PREFIX = "kumquatseam.duty."
#: share of the lease after which its holder renews it.
RENEW_SHARE = 0.4
#: share of the lease between two reads of the topic by a contender.
POLL_SHARE = 0.3
#: share of the lease after which a contender reads the topic once the holder has
#: announced a renewal: two renewals are overdue by then, and a fifth of the lease is
#: left.
ANNOUNCED_POLL_SHARE = 0.8
#: contenders of this rank and beyond read the topic this many times less often.
SLOW_POLL_RANK = 3
SLOW_POLL_FACTOR = 10
#: seconds that a contender waits longer per rank.
RANK_DELAY_S = 0.5


@attrs.frozen
class LeaseRecord:
    """A holder's claim to a duty.

    :param record_id: unique.
    :param holder: the router's name.
    """

    record_id: str
    holder: str


_CODEC = MessageCodec("lease record", {"lease": LeaseRecord})


class DutyLease:
    """Acquires and renews the lease on one duty for this router.

    :param log: the log service.
    :param duty: the duty's name.
    :param holder: this router's name.
    :param lease_s: how long a lease lasts.
    :param read_rank: returns this router's rank among the contenders; ``None``
        while it does not contend.
    :param clock: seconds that also pass while the machine is suspended.
    :param on_held: called with the fencing token of each record of this router.
    """

    def __init__(
        self,
        log: LogService,
        duty: str,
        holder: str,
        lease_s: float,
        read_rank: Callable[[], int | None] = lambda: 0,
        clock: Callable[[], float] = elapsed_s,
        on_held: Callable[[int], None] = lambda fence: None,
    ) -> None:
        self._on_held = on_held
        self._log_service = log
        self._topic = _TOPIC_PREFIX + duty
        self._duty = duty
        self._holder = holder
        self._lease_s = lease_s
        self._read_rank = read_rank
        self._clock = clock
        self._next_offset = 0
        self._last_renewal_s = clock()
        self._fence: int | None = None
        self._held_until_s = 0.0
        self._next_poll_s = 0.0

    @property
    def fence(self) -> int | None:
        """The fencing token while this router holds the lease, else ``None``."""
        return self._fence if self._clock() < self._held_until_s else None

    def step_down(self) -> None:
        """Stop holding the lease, after a newer fencing token was seen."""
        _log.info("Stepped down from duty={} fence={}.", self._duty, self._fence)
        self._fence = None
        self._held_until_s = 0.0
        self._last_renewal_s = self._clock()

    def note_other_holder(self, fence: int) -> None:
        """Note that another router announced that it holds the lease.

        That router's record is at position ``fence``, so this router postpones its
        next read of the topic, which saves calls to the rate-limited log service.
        """
        if fence < self._next_offset:
            return
        self._note_renewal(fence + 1)
        self._next_poll_s = self._clock() + self._lease_s * ANNOUNCED_POLL_SHARE

    def step(self) -> None:
        """Renew the lease if held, or acquire it if it expired."""
        now_s = self._clock()
        if self.fence is not None:
            if self._held_until_s - now_s < self._lease_s * (1 - RENEW_SHARE):
                self._acquire()
            return
        if self._fence is not None:
            _log.info("Lost duty={} fence={}.", self._duty, self._fence)
            self._fence = None
        if now_s < self._next_poll_s:
            return
        rank = self._read_rank()
        if rank is None:
            return
        factor = 1 if rank < SLOW_POLL_RANK else SLOW_POLL_FACTOR
        self._next_poll_s = now_s + self._lease_s * POLL_SHARE * factor
        try:
            self._poll()
        except LogServiceError as error:
            _log.warning("Cannot read the lease of duty={}: {}.", self._duty, error)
            return
        since_renewal_s = now_s - self._last_renewal_s
        timeout_s = self._lease_s + rank * RANK_DELAY_S
        if not offset_of(self._next_offset) or since_renewal_s >= timeout_s:
            self._acquire()

    def _poll(self) -> None:
        """Read the newest lease record, if there are new ones."""
        try:
            found = self._log_service.read(self._topic, self._next_offset)
        except LogRecordsExpiredError as expired:
            # Unread records were deleted; one of them may have been a renewal.
            self._note_renewal(expired.first_offset)
            found = self._log_service.read(self._topic, self._next_offset)
        if found.end_offset > self._next_offset:
            self._note_renewal(found.end_offset)

    def _acquire(self) -> None:
        """Append a lease record at the last known end of the topic."""
        began_s = self._clock()
        try:
            offset = self._append(self._next_offset)
        except LogConflictError as conflict:
            offset = self._reacquire(conflict)
        except LogServiceError as error:
            _log.warning("Cannot acquire duty={}: {}.", self._duty, error)
            return
        if offset is None:
            _log.info("Another router holds duty={}.", self._duty)
            self._fence = None
            return
        if self._fence is None:
            _log.info("Acquired duty={} fence={}.", self._duty, offset)
        self._fence = offset
        self._note_renewal(offset + 1)
        self._held_until_s = began_s + self._lease_s
        self._on_held(offset)

    def _append(self, at: int) -> int | None:
        """Append a lease record; return its position.

        :returns: ``None`` if the log service was restored from a copy in which the
            topic happens to end at ``at``: the record then follows records that this
            router has not seen.
        :raises LogConflictError: if the topic does not end at ``at``.
        """
        payload = _CODEC.encode(LeaseRecord(uuid.uuid4().hex, self._holder))
        offset = append_once(self._log_service, self._topic, [payload], at, attempts=2)
        if era_of(offset) == era_of(at) or not offset_of(at):
            return offset
        self._note_renewal(offset + 1)
        return None

    def _reacquire(self, conflict: LogConflictError) -> int | None:
        """Append again if this router holds the lease and the log lost its record.

        No other router can have acquired the lease since: each waits a full lease
        after it detects the restore, and this router's lease expires before that.

        :returns: the position, or ``None`` if the conflict has another cause.
        """
        end_offset = conflict.end_offset
        is_restored = era_of(end_offset) > era_of(self._next_offset)
        if not is_restored or self.fence is None:
            return None
        try:
            found = self._log_service.read(self._topic, end_offset - 1)
            if not found.records or not self._is_own(found.records[-1].payload):
                return None
            _log.info("Reacquiring duty={}: the log lost its record.", self._duty)
            return self._append(found.end_offset)
        except LogServiceError as error:
            _log.warning("Cannot reacquire duty={}: {}.", self._duty, error)
            return None

    def _is_own(self, payload: bytes) -> bool:
        try:
            return _CODEC.decode(payload).holder == self._holder
        except CodecError as error:
            _log.warning(
                "Cannot decode the lease record of duty={}: {}.", self._duty, error
            )
            return False

    def _note_renewal(self, next_offset: int) -> None:
        """Restart the timeout, since the lease may have been renewed just now."""
        self._next_offset = next_offset
        self._last_renewal_s = self._clock()
