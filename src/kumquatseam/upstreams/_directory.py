"""The upstreams known to this process and what its traffic showed of them."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.upstreams._status import (
    UNCHANGED_ENTRY_LAG_S,
    InFlightRequest,
    OccupancyListener,
    UpstreamStatus,
)
from kumquatseam.upstreams._upstream import Upstream

_log = part_logger("upstreams")

#: first time out after a failure, in seconds; doubles with each further one.
#: About the time a restarted upstream takes to be listed again.
HOLD_OUT_S = 0.5
#: longest time out: a third of the shortest usual client deadline.
MAX_HOLD_OUT_S = 4.0
#: an entry that lapsed in an outage of the list is back this long after its end
#: if the upstream lives: the platform's two seconds and a pause between reads.
LAPSE_GRACE_S = 2.5
#: an upstream whose entry turned unreadable is forgotten after this long: three
#: of the usual heartbeats, after which a silent one's entry is removed as well.
UNREADABLE_GRACE_S = 3.6
#: an engine sends an event of some answer every 40 ms; with answers under way
#: and nothing for this long, it or the way to it is gone.
SILENT_AFTER_S = 0.7
SILENT_HOLD_OUT_S = 0.5
#: seconds between two looks for upstreams that fell silent, while answers are under
#: way and otherwise.
BUSY_SWEEP_S = 0.1
IDLE_SWEEP_S = 0.4
#: a share of failures above this holds an upstream out, over recent answers.
FAILURE_SHARE_LIMIT = 0.3
#: weight of the newest answer in the failure share.
FAILURE_WEIGHT = 0.1


class UpstreamDirectory:
    """Upstreams by id, kept in step with the platform's list.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_id: dict[str, UpstreamStatus] = {}
        self._by_incarnation: dict[str, UpstreamStatus] = {}
        self._on_gone: list[Callable[[Upstream], None]] = []
        self.list_confirmed_s: float | None = None
        #: counts requests sent; tells whether own loads grew.
        self.changes = 0

    def on_gone(self, listener: Callable[[Upstream], None]) -> None:
        """Call ``listener`` with each incarnation that ended or left the list."""
        self._on_gone.append(listener)

    def status(self, incarnation_id: str) -> UpstreamStatus | None:
        """Return what is known of one incarnation, unless it is gone."""
        return self._by_incarnation.get(incarnation_id)

    def all(self) -> list[UpstreamStatus]:
        """Return every upstream known."""
        return list(self._by_id.values())

    def of_service(self, service: str) -> list[UpstreamStatus]:
        """Return the upstreams of ``service``, in order of their ids."""
        found = [s for s in self._by_id.values() if s.upstream.service == service]
        return sorted(found, key=lambda status: status.upstream.upstream_id)

    def put(self, upstream: Upstream) -> bool:
        """Take in a new or changed entry; return whether it says anything new.

        An entry of a later incarnation ends the one known so far, with all that
        was learnt of it; one of an earlier incarnation came late.
        """
        known = self._by_id.get(upstream.upstream_id)
        if known is None:
            self._add(upstream, "listed")
            return True
        if upstream.born_ms != known.upstream.born_ms:
            return self._replace(known, upstream)
        if known.upstream.is_leaving != upstream.is_leaving:
            self._log_change("leaving" if upstream.is_leaving else "back", upstream)
        has_lapsed = known.lapses_s is not None
        known.lapses_s = None
        is_news = has_lapsed or upstream != known.upstream
        known.note_entry(upstream, self._clock())
        return is_news

    def note_restart(self, status: UpstreamStatus, born_ms: int) -> UpstreamStatus:
        """Take in when an upstream says that it started.

        It may say so itself before its entry does: one that starts again behind
        a cut cannot write to the list.

        :returns: what is known of the newest incarnation.
        """
        upstream = status.upstream
        if born_ms > upstream.born_ms and status is self._by_id.get(
            upstream.upstream_id
        ):
            self._replace(status, attrs.evolve(upstream, born_ms=born_ms, weights=()))
        return self._by_id.get(upstream.upstream_id, status)

    def remove(self, upstream_id: str, outage_age_s: float | None = None) -> bool:
        """Drop an entry that left the list.

        Entries lapse while the list is out of reach, although their upstreams
        live; dropping them all at its return would leave requests nowhere to go.

        :param outage_age_s: how long ago the list was last out of reach, if
            lately: the upstream then stays until it had time to be listed again.
        :returns: whether it was known.
        """
        known = self._by_id.get(upstream_id)
        if known is None:
            return False
        is_in_outage = outage_age_s is not None and outage_age_s < LAPSE_GRACE_S
        if not is_in_outage or known.upstream.is_leaving:
            self._drop(known, "gone")
            return True
        if known.lapses_s is None:
            self._log_change("lapsed in an outage", known.upstream)
        known.lapses_s = self._clock() + LAPSE_GRACE_S - outage_age_s
        return True

    def mark_unreadable(self, upstream_id: str) -> bool:
        """Give an upstream no new work: its entry cannot be understood any more.

        Whoever wrote that, the entry names no upstream to use. What is known of
        the upstream is kept for a while: its next heartbeat may mend the entry.

        :returns: whether it was known.
        """
        known = self._by_id.get(upstream_id)
        if known is None:
            return False
        if known.lapses_s is None:
            known.lapses_s = self._clock() + UNREADABLE_GRACE_S
            self._log_change("unreadable", known.upstream)
        known.upstream = attrs.evolve(known.upstream, is_leaving=True)
        return True

    def confirm_entries(self) -> None:
        """Note that every entry was up to date a moment ago."""
        now_s = self._clock()
        self.list_confirmed_s = now_s
        for status in self._by_id.values():
            status.note_entry(status.upstream, now_s, UNCHANGED_ENTRY_LAG_S)

    def _add(self, upstream: Upstream, change: str) -> None:
        status = UpstreamStatus(upstream)
        status.note_entry(upstream, self._clock())
        self._by_id[upstream.upstream_id] = status
        self._by_incarnation[upstream.incarnation_id] = status
        self._log_change(change, upstream)

    def _replace(self, known: UpstreamStatus, upstream: Upstream) -> bool:
        """Put a later incarnation in the place of the one known."""
        if upstream.born_ms < known.upstream.born_ms:
            return False
        self._drop(known, "ended")
        self._add(upstream, "started again")
        return True

    def _drop(self, status: UpstreamStatus, change: str) -> None:
        del self._by_id[status.upstream.upstream_id]
        del self._by_incarnation[status.upstream.incarnation_id]
        self._log_change(change, status.upstream)
        for listener in self._on_gone:
            listener(status.upstream)

    def begin(
        self,
        status: UpstreamStatus,
        pending_tokens: int,
        listener: OccupancyListener | None = None,
    ) -> InFlightRequest:
        """Count a request that is about to be sent.

        :param pending_tokens: prompt tokens the upstream has to read for it.
        :param listener: is told how it goes on.
        """
        self.changes += 1
        return InFlightRequest(status, pending_tokens, self._clock, listener)

    def note_answer(self, status: UpstreamStatus, is_failure: bool) -> None:
        """Learn from an answer that came."""
        status.failures_in_row = 0
        self._weigh(status, is_failure)
        if is_failure and status.failure_share > FAILURE_SHARE_LIMIT:
            self._hold_out(status, HOLD_OUT_S, "failing answers")

    def note_broken(self, status: UpstreamStatus, reason: str) -> None:
        """Learn from a connection that failed or an answer that broke off."""
        status.failures_in_row += 1
        self._weigh(status, True)
        doubled_s = HOLD_OUT_S * 2 ** (status.failures_in_row - 1)
        self._hold_out(status, min(doubled_s, MAX_HOLD_OUT_S), reason)

    def note_address_reused(self, status: UpstreamStatus, answering_id: str) -> None:
        """Note that another upstream answers at this one's address.

        Its entry may still be listed, or be written once more by a heartbeat
        that came late; without this every request placed there is refused.
        """
        _log.bind(upstream=status.upstream.incarnation_id, answering=answering_id).info(
            "Another upstream answers at its address."
        )
        self._hold_out(status, MAX_HOLD_OUT_S, "replaced")
        self.block(status, MAX_HOLD_OUT_S)

    def sweep(self) -> None:
        """Leave out upstreams that fell silent, and drop those that lapsed.

        A dead one and a cut link send no reset; its requests would each wait
        for a timeout of their own.
        """
        now_s = self._clock()
        for status in list(self._by_id.values()):
            if status.lapses_s is not None and now_s >= status.lapses_s:
                self._drop(status, "gone")
                continue
            is_silent = now_s - status.heard_s > SILENT_AFTER_S
            is_in_use = status.held_out_until_s <= now_s
            if status.answering and is_silent and is_in_use:
                self._hold_out(status, SILENT_HOLD_OUT_S, "silent")

    def next_sweep_s(self) -> float:
        """Return how long until the next sweep may have something to do."""
        is_busy = any(s.answering or s.lapses_s for s in self._by_id.values())
        return BUSY_SWEEP_S if is_busy else IDLE_SWEEP_S

    def block(self, status: UpstreamStatus, for_s: float) -> None:
        """Note that an upstream refuses work while it loads weights."""
        status.blocked_until_s = max(status.blocked_until_s, self._clock() + for_s)

    def _weigh(self, status: UpstreamStatus, is_failure: bool) -> None:
        newest = 1.0 if is_failure else 0.0
        status.failure_share += FAILURE_WEIGHT * (newest - status.failure_share)

    def _hold_out(self, status: UpstreamStatus, for_s: float, reason: str) -> None:
        until_s = self._clock() + for_s
        if until_s > status.held_out_until_s:
            status.held_out_until_s = until_s
            _log.bind(
                upstream=status.upstream.incarnation_id,
                reason=reason,
                in_row=status.failures_in_row,
                share=round(status.failure_share, 3),
                for_s=round(for_s, 2),
            ).info("Upstream held out.")

    def _log_change(self, change: str, upstream: Upstream) -> None:
        _log.bind(
            upstream=upstream.incarnation_id,
            service=upstream.service,
            address=upstream.address,
            zone=upstream.availability_zone,
            weights={named.model: named.version for named in upstream.weights},
        ).info("Upstream {}.", change)
