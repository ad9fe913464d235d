"""A lease on a fleet duty, kept in the log service.

The newest record of the duty's topic names its holder; its position is the
fencing token. Positions never go back, also when the log service returns from an
older copy and has lost the newest records. Whoever learns of such a return waits a
whole lease from then on, since the lost records may be a renewal; a holder whose
own record is lost takes the lease anew while it still holds it.

A contender may take the lease once no newer record appeared for ``lease_s`` since
it first saw the newest one, which needs no agreement of clocks. The append is
conditional, so of racing contenders one wins. The holder counts its own lease from
before it began the append, so it always stops acting before anyone may take over; a
holder that was paused past its lease finds it lapsed before it acts, and an order it
had already sent carries a token that is no longer the newest.
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
    append_once,
    era_of,
    offset_of,
)

_log = part_logger("duty")
_TOPIC_PREFIX = "kumquatseam.duty."
#: share of the lease after which its holder renews it.
RENEW_SHARE = 0.4
#: share of the lease after which a contender looks again.
LOOK_SHARE = 0.3
#: share of the lease after which a contender that heard of a renewal looks: two
#: renewals are overdue then, and the lease has still a fifth to run.
HEARD_LOOK_SHARE = 0.8
#: contenders past this place look this many times less often.
STANDBY_RANKS = 3
FAR_LOOK_FACTOR = 10
#: seconds a router waits longer per place in the order of contenders.
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
    """This router's part in the contest for one duty.

    :param log: the log service.
    :param duty: the duty's name.
    :param holder: this router's name.
    :param lease_s: how long a lease lasts.
    :param read_rank: this router's place in the order of contenders; ``None``
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
        self._newest_seen_s = clock()
        self._fence: int | None = None
        self._held_until_s = 0.0
        self._look_at_s = 0.0

    @property
    def fence(self) -> int | None:
        """The fencing token while this router holds the lease, else ``None``."""
        return self._fence if self._clock() < self._held_until_s else None

    def step_down(self) -> None:
        """Stop acting: somebody has shown a newer token than this one."""
        _log.info("Gave up duty={} fence={}.", self._duty, self._fence)
        self._fence = None
        self._held_until_s = 0.0
        self._newest_seen_s = self._clock()

    def note_other_holder(self, fence: int) -> None:
        """Take in that another router holds the lease, as it says itself.

        That router's record is at the position ``fence``, so this one need not look
        at the log for as long as a look would have been worth: calls are limited.
        """
        if fence < self._next_offset:
            return
        self._note_seen(fence + 1)
        self._look_at_s = self._clock() + self._lease_s * HEARD_LOOK_SHARE

    def step(self) -> None:
        """Renew the lease if held, or take it if it lapsed."""
        now_s = self._clock()
        if self.fence is not None:
            if self._held_until_s - now_s < self._lease_s * (1 - RENEW_SHARE):
                self._take()
            return
        if self._fence is not None:
            _log.info("Lost duty={} fence={}.", self._duty, self._fence)
            self._fence = None
        if now_s < self._look_at_s:
            return
        rank = self._read_rank()
        if rank is None:
            return
        factor = 1 if rank < STANDBY_RANKS else FAR_LOOK_FACTOR
        self._look_at_s = now_s + self._lease_s * LOOK_SHARE * factor
        try:
            self._look()
        except LogServiceError as error:
            _log.warning("Cannot look at duty={}: {}.", self._duty, error)
            return
        silent_s = now_s - self._newest_seen_s
        patience_s = self._lease_s + rank * RANK_DELAY_S
        if not offset_of(self._next_offset) or silent_s >= patience_s:
            self._take()

    def _look(self) -> None:
        """Read the newest lease record, if there are new ones."""
        try:
            found = self._log_service.read(self._topic, self._next_offset)
        except LogRecordsExpiredError as expired:
            # Records this router never saw are gone: one may be a renewal.
            self._note_seen(expired.first_offset)
            found = self._log_service.read(self._topic, self._next_offset)
        if found.end_offset > self._next_offset:
            self._note_seen(found.end_offset)

    def _take(self) -> None:
        """Append a lease record at the end this router has seen."""
        began_s = self._clock()
        try:
            offset = self._append(self._next_offset)
        except LogConflictError as conflict:
            offset = self._take_anew(conflict)
        except LogServiceError as error:
            _log.warning("Cannot take duty={}: {}.", self._duty, error)
            return
        if offset is None:
            _log.info("Another router holds duty={}.", self._duty)
            self._fence = None
            return
        if self._fence is None:
            _log.info("Took duty={} fence={}.", self._duty, offset)
        self._fence = offset
        self._note_seen(offset + 1)
        self._held_until_s = began_s + self._lease_s
        self._on_held(offset)

    def _append(self, at: int) -> int | None:
        """Append a lease record; return its position.

        :returns: ``None`` if the topic happens to end there after a return from a
            copy: the record then follows others than this router has seen.
        :raises LogConflictError: if the topic does not end at ``at``.
        """
        payload = _CODEC.encode(LeaseRecord(uuid.uuid4().hex, self._holder))
        offset = append_once(self._log_service, self._topic, [payload], at, attempts=2)
        if era_of(offset) == era_of(at) or not offset_of(at):
            return offset
        self._note_seen(offset + 1)
        return None

    def _take_anew(self, conflict: LogConflictError) -> int | None:
        """Append again if this router holds the lease and its record was lost.

        Nobody else can have taken the lease since: all wait a whole lease after
        they learnt of the return, and this one ends before.

        :returns: the position, or ``None`` if it is not so.
        """
        end_offset = conflict.end_offset
        is_return = era_of(end_offset) > era_of(self._next_offset)
        if not is_return or self.fence is None:
            return None
        try:
            found = self._log_service.read(self._topic, end_offset - 1)
            if not found.records or not self._is_own(found.records[-1].payload):
                return None
            _log.info("Takes duty={} anew: the log lost its record.", self._duty)
            return self._append(found.end_offset)
        except LogServiceError as error:
            _log.warning("Cannot take duty={} anew: {}.", self._duty, error)
            return None

    def _is_own(self, payload: bytes) -> bool:
        try:
            return _CODEC.decode(payload).holder == self._holder
        except CodecError as error:
            _log.warning("Bad record of duty={}: {}.", self._duty, error)
            return False

    def _note_seen(self, next_offset: int) -> None:
        """Note that there may have been a renewal just now."""
        self._next_offset = next_offset
        self._newest_seen_s = self._clock()
