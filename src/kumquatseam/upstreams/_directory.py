"""The upstreams known to this process, with observations from its traffic."""

import math
import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.upstreams._availability import (
    Availabilities,
    Availability,
    AvailabilityNotice,
    AvailabilityObserver,
    Unavailability,
)
from kumquatseam.upstreams._status import (
    UNCHANGED_ENTRY_LAG_S,
    InFlightRequest,
    InFlightRequestListener,
    UpstreamStatus,
)
from kumquatseam.upstreams._upstream import ServiceVersion, Upstream

_log = part_logger("upstreams")

#: how long an upstream is held out (receives no requests) after its first failure;
#: doubles with each consecutive one. About the time until a restarted upstream is
#: listed again.
HOLD_OUT_S = 0.5
#: upper limit of the doubling: a third of the shortest usual client deadline.
MAX_HOLD_OUT_S = 4.0
#: a live upstream whose entry expired during an outage of the list is listed again
#: within this time of its end: the platform's two seconds plus one poll interval.
OUTAGE_GRACE_S = 2.5
#: an upstream with an unreadable entry is removed after this long: three of the
#: usual heartbeat intervals, after which the platform removes a silent one too. So long
#: a start that an upstream reported goes before entries that contradict it.
UNREADABLE_GRACE_S = 3.6
#: an engine sends an event of some response every 40 ms; if responses are in progress
#: and none arrives for this long, the engine or the network path to it is down.
SILENT_AFTER_S = 0.7
SILENT_HOLD_OUT_S = 0.5
#: interval of the check for silent upstreams while responses are in progress.
BUSY_SWEEP_S = 0.1
#: the same interval otherwise.
IDLE_SWEEP_S = 0.4
#: how long no requests are sent to an upstream that refused one for lack of capacity.
REFUSED_BLOCK_S = 0.1
#: an upstream with a larger share of failed responses is held out.
FAILURE_SHARE_LIMIT = 0.3
#: weight of the newest response in the moving average of failures.
FAILURE_WEIGHT = 0.1


class UpstreamDirectory(AvailabilityObserver):
    """Upstreams by id, updated from the platform's list.

    :param clock: monotonic clock in seconds.
    :param availabilities: until when, and why, upstreams get no requests.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        availabilities: Availabilities | None = None,
    ) -> None:
        self._clock = clock
        self._availabilities = availabilities or Availabilities(clock)
        self._by_id: dict[str, UpstreamStatus] = {}
        self._by_incarnation: dict[str, UpstreamStatus] = {}
        self._on_gone: list[Callable[[Upstream], None]] = []
        self._on_closed: list[Callable[[UpstreamStatus], None]] = []
        self._on_request_ended: list[Callable[[UpstreamStatus], None]] = []
        self.list_confirmed_s: float | None = None
        #: number of requests sent so far; shows whether the load of this process's
        #: own requests increased.
        self.requests_sent = 0
        #: requests sent to upstreams that were known to be leaving.
        self.sent_to_leaving = 0
        #: requests sent to upstreams that had asked for rest.
        self.sent_in_rest = 0

    def on_gone(self, listener: Callable[[Upstream], None]) -> None:
        """Call ``listener`` with each incarnation that ended or was removed."""
        self._on_gone.append(listener)

    def on_closed(self, listener: Callable[[UpstreamStatus], None]) -> None:
        """Call ``listener`` with each upstream that says it wants no requests."""
        self._on_closed.append(listener)

    def on_request_ended(self, listener: Callable[[UpstreamStatus], None]) -> None:
        """Call ``listener`` with the upstream of each request that ended there."""
        self._on_request_ended.append(listener)

    def status(self, incarnation_id: str) -> UpstreamStatus | None:
        """Return the status of an incarnation, or ``None`` if it was removed."""
        return self._by_incarnation.get(incarnation_id)

    def all(self) -> list[UpstreamStatus]:
        """Return the status of every known upstream."""
        return list(self._by_id.values())

    def of_service(self, service: str) -> list[UpstreamStatus]:
        """Return the upstreams of ``service``, sorted by id."""
        found = [s for s in self._by_id.values() if s.upstream.service == service]
        return sorted(found, key=lambda status: status.upstream.upstream_id)

    def put(self, upstream: Upstream, is_restored: bool = False) -> bool:
        """Add or update an entry; return whether anything changed.

        An entry of a later incarnation, or of other software, replaces the known one
        and discards its observations; a delayed entry of an earlier incarnation is
        ignored. So is one that is older than what is known of an upstream's leaving.

        :param is_restored: whether the list was restored from an older copy; otherwise
            an entry that is read after a removal is newer.
        """
        availability = self._availabilities.of(upstream.incarnation_id)
        known = self._by_id.get(upstream.upstream_id)
        if self._is_doubtful(known, upstream):
            self._drop(known, "never listed")
            known, availability.withdrawn_at = None, -math.inf
        is_outdated = upstream.sequence <= availability.withdrawn_at
        if is_outdated and not upstream.is_leaving and (is_restored or known):
            return False
        if not is_outdated or not upstream.is_leaving:
            withdrawn_at = upstream.sequence if upstream.is_leaving else -math.inf
            availability.withdrawn_at = withdrawn_at
        if known is None:
            self._add(upstream, "listed")
            return True
        if upstream.born_ms != known.upstream.born_ms:
            return self._replace(known, upstream)
        known_software = known.upstream.software_version
        if known_software and upstream.software_version != known_software:
            # No process changes its software; this one does not tell when it started.
            return self._replace(known, upstream)
        if is_restored and upstream.sequence <= known.upstream.sequence:
            # It is listed again; all else is known from a later entry.
            is_leaving = known.upstream.is_leaving and upstream.is_leaving
            upstream = attrs.evolve(known.upstream, is_leaving=is_leaving)
        if known.upstream.is_leaving != upstream.is_leaving:
            self._log_change("leaving" if upstream.is_leaving else "back", upstream)
        had_expired = known.expires_s is not None
        known.expires_s = None
        is_changed = had_expired or upstream != known.upstream
        known.note_entry(upstream, self._clock())
        return is_changed

    def note_restart(self, status: UpstreamStatus, born_ms: int) -> UpstreamStatus:
        """Record the start time that an upstream itself reported.

        The report may come before the list is updated: an upstream that restarts
        during a network partition cannot write its entry.

        :returns: the status of the newest incarnation.
        """
        upstream = status.upstream
        if born_ms > upstream.born_ms and status is self._by_id.get(
            upstream.upstream_id
        ):
            restarted = attrs.evolve(
                upstream,
                born_ms=born_ms,
                weights=(),
                software_version="",
                sequence=0,
            )
            self._replace(status, restarted)
        return self.newest(status)

    def note_born(self, incarnation_id: str, born_ms: int, asked_s: float) -> None:
        status = self._by_incarnation.get(incarnation_id)
        if status is not None:
            newest = self.note_restart(status, born_ms)
            if newest.upstream.born_ms == born_ms:
                newest.alive_s = max(newest.alive_s, asked_s)

    def newest(self, status: UpstreamStatus) -> UpstreamStatus:
        """Return the listed incarnation of an upstream; ``status`` if none is."""
        return self._by_id.get(status.upstream.upstream_id, status)

    def remove(self, upstream_id: str, outage_age_s: float | None = None) -> bool:
        """Remove an upstream whose entry is no longer listed.

        Entries expire while the list service is unreachable, although the upstreams
        are alive; removing all of them when it is reachable again would leave no
        upstream for requests.

        :param outage_age_s: time since the list was last unreachable, if recent;
            the upstream is then kept long enough to be listed again.
        :returns: whether the upstream was known.
        """
        known = self._by_id.get(upstream_id)
        if known is None:
            return False
        is_in_outage = outage_age_s is not None and outage_age_s < OUTAGE_GRACE_S
        if not is_in_outage or known.is_leaving:
            known.availability.withdrawn_at = known.upstream.sequence
            self._drop(known, "gone")
            return True
        if known.expires_s is None:
            self._log_change(
                "entry expired during an outage of the list", known.upstream
            )
        known.expires_s = self._clock() + OUTAGE_GRACE_S - outage_age_s
        return True

    def mark_unreadable(self, upstream_id: str) -> bool:
        """Stop sending requests to an upstream whose entry cannot be decoded.

        Its status is kept for :data:`UNREADABLE_GRACE_S`, since its next heartbeat
        may overwrite the entry with a valid one.

        :returns: whether the upstream was known.
        """
        known = self._by_id.get(upstream_id)
        if known is None:
            return False
        if known.expires_s is None:
            known.expires_s = self._clock() + UNREADABLE_GRACE_S
            self._log_change("unreadable", known.upstream)
        known.upstream = attrs.evolve(known.upstream, is_leaving=True)
        return True

    def confirm_entries(self) -> None:
        """Record that all entries are up to date with the list."""
        now_s = self._clock()
        self.list_confirmed_s = now_s
        for status in self._by_id.values():
            status.note_entry(status.upstream, now_s, UNCHANGED_ENTRY_LAG_S)

    def _add(self, upstream: Upstream, change: str) -> None:
        availability = self._availabilities.note_listed(upstream.incarnation_id)
        status = UpstreamStatus(
            upstream, availability=availability, known_since_s=self._clock()
        )
        status.note_entry(upstream, self._clock())
        self._by_id[upstream.upstream_id] = status
        self._by_incarnation[upstream.incarnation_id] = status
        self._log_change(change, upstream)

    def _replace(self, known: UpstreamStatus, upstream: Upstream) -> bool:
        """Replace the known incarnation by a later one."""
        if upstream.born_ms < known.upstream.born_ms:
            return False
        if upstream.born_ms > known.upstream.born_ms:
            known.availability.withdrawn_at = math.inf
        self._drop(known, "ended")
        self._add(upstream, "restarted")
        return True

    def _is_doubtful(self, known: UpstreamStatus | None, upstream: Upstream) -> bool:
        """Return whether entries go on to contradict a start that was only reported.

        A first one may have been written before it, whenever it is read.
        """
        if known is None or known.upstream.software_version:
            return False
        if upstream.born_ms >= known.upstream.born_ms:
            return False
        known.contradicted_s = min(known.contradicted_s, self._clock())
        return self._clock() - known.contradicted_s > UNREADABLE_GRACE_S

    def _drop(self, status: UpstreamStatus, change: str) -> None:
        del self._by_id[status.upstream.upstream_id]
        del self._by_incarnation[status.upstream.incarnation_id]
        self._availabilities.note_removed(status.upstream.incarnation_id)
        self._log_change(change, status.upstream)
        for listener in self._on_gone:
            listener(status.upstream)

    def begin(
        self,
        status: UpstreamStatus,
        pending_tokens: int,
        listener: InFlightRequestListener | None = None,
    ) -> InFlightRequest:
        """Count a request that is about to be sent.

        :param pending_tokens: prompt tokens that the upstream has to prefill.
        :param listener: receives the request's state changes.
        """
        self.requests_sent += 1
        return InFlightRequest(
            status, pending_tokens, self._clock, listener, self._notify_request_ended
        )

    def _notify_request_ended(self, status: UpstreamStatus) -> None:
        for listener in self._on_request_ended:
            listener(status)

    def note_answer(self, status: UpstreamStatus, is_failure: bool) -> None:
        """Record that the head of a response arrived.

        :param is_failure: whether its status means a fault of the upstream.
        """
        status.failures_in_row = 0
        self._update_failure_share(status, is_failure)
        if is_failure and status.failure_share > FAILURE_SHARE_LIMIT:
            self._hold_out(status, HOLD_OUT_S, "failing answers")

    def note_connection_failure(self, status: UpstreamStatus, reason: str) -> None:
        """Record a failed connection or an interrupted response."""
        status.failures_in_row += 1
        self._update_failure_share(status, True)
        backoff_s = HOLD_OUT_S * 2 ** (status.failures_in_row - 1)
        self._hold_out(status, min(backoff_s, MAX_HOLD_OUT_S), reason)
        if status.failures_in_row == 1 and self.count_unreachable() == len(self._by_id):
            _log.bind(upstreams=len(self._by_id)).warning("No upstream can be reached.")

    def count_unreachable(self) -> int:
        """Return the number of upstreams whose newest connection failed."""
        return sum(s.failures_in_row > 0 for s in self._by_id.values())

    def forgive_connection_failures(self) -> None:
        """Use upstreams again that are held out since they could not be reached.

        The cause was this instance's own path, which has been replaced.
        """
        for status in self._by_id.values():
            if status.failures_in_row:
                status.failures_in_row = 0
                status.failure_share = 0.0
                status.availability.end(Unavailability.FAILED)

    def has_address(self, address: str) -> bool:
        """Return whether an upstream is listed at an address."""
        return any(s.upstream.address == address for s in self._by_id.values())

    def note_address_reused(self, status: UpstreamStatus, answering_id: str) -> None:
        """Record that another upstream answers at this one's address.

        The old entry may still be listed, or be rewritten by a delayed heartbeat;
        without this every request placed there would be refused.
        """
        _log.bind(upstream=status.upstream.incarnation_id, answering=answering_id).info(
            "Another upstream answers at this address."
        )
        self._hold_out(status, MAX_HOLD_OUT_S, "replaced")
        self.block(status, MAX_HOLD_OUT_S)

    def sweep(self) -> None:
        """Hold out silent upstreams, and remove those whose grace period ended.

        A dead host or a broken link sends no TCP reset; without this check each
        request would wait for its own timeout.
        """
        now_s = self._clock()
        for status in list(self._by_id.values()):
            if status.expires_s is not None and now_s >= status.expires_s:
                self._drop(status, "gone")
                continue
            is_silent = now_s - status.last_received_s > SILENT_AFTER_S
            if status.answering and is_silent and not status.is_held_out:
                self._hold_out(status, SILENT_HOLD_OUT_S, "silent")

    def next_sweep_s(self) -> float:
        """Return the time until :meth:`sweep` should run again."""
        is_busy = any(s.answering or s.expires_s for s in self._by_id.values())
        return BUSY_SWEEP_S if is_busy else IDLE_SWEEP_S

    def note_refused(self, status: UpstreamStatus) -> None:
        """Record that an upstream refused a request, for lack of capacity as a rule."""
        self.block(status, REFUSED_BLOCK_S)

    def incarnation_of(self, upstream_id: str) -> str:
        """Return the listed incarnation of an upstream; its id if none is listed."""
        known = self._by_id.get(upstream_id)
        return known.upstream.incarnation_id if known is not None else upstream_id

    def availability_of(self, incarnation_id: str) -> Availability:
        """Return until when, and why, an incarnation gets no requests."""
        return self._availabilities.of(incarnation_id)

    def note_availability(
        self, incarnation_id: str, notice: AvailabilityNotice
    ) -> None:
        if notice.rest_s is not None:
            self._note_rest(incarnation_id, notice.rest_s)
        if not notice.is_leaving:
            return
        availability = self._availabilities.of(incarnation_id)
        if availability.extend(Unavailability.LEAVING, math.inf):
            _log.bind(upstream=incarnation_id).info(
                "Upstream leaving, by its response."
            )
            self._notify_closed(incarnation_id)

    def _note_rest(self, incarnation_id: str, asked_s: float) -> None:
        availability = self._availabilities.of(incarnation_id)
        availability.rest(asked_s)
        _log.bind(
            upstream=incarnation_id,
            asked_s=asked_s,
            for_s=round(availability.left_s(Unavailability.RESTING), 3),
        ).info("Upstream asked for rest.")
        self._notify_closed(incarnation_id)

    def serving(self, version: ServiceVersion) -> list[UpstreamStatus]:
        """Return the upstreams of a software version that are not leaving."""
        return [
            status
            for status in self._by_id.values()
            if status.upstream.service_version == version and not status.is_leaving
        ]

    def serves(self, version: ServiceVersion) -> bool:
        """Return whether any upstream of a software version is not leaving."""
        return bool(self.serving(version))

    def rest_left_s(self, service: str, software_version: str = "") -> float:
        """Return when an upstream of a service is the first not to rest any more.

        0 if one does not rest, or if there is none.

        :param software_version: the only version that counts; ``""`` for all.
        """
        lefts_s = [
            status.availability.left_s(Unavailability.RESTING)
            for status in self._by_id.values()
            if status.upstream.service == service
            and software_version in ("", status.upstream.software_version)
            and not status.is_leaving
        ]
        return min(lefts_s, default=0.0)

    def begin_call(self, incarnation_id: str, is_urgent: bool = False) -> bool:
        return self._availabilities.of(incarnation_id).begin_call(is_urgent)

    def _notify_closed(self, incarnation_id: str) -> None:
        status = self._by_incarnation.get(incarnation_id)
        if status is not None:
            for listener in self._on_closed:
                listener(status)

    def note_sent(self, incarnation_id: str) -> None:
        """Record that a request is sent; count one that its upstream does not want."""
        status = self._by_incarnation.get(incarnation_id)
        if status is None:
            return
        self.sent_to_leaving += status.is_leaving
        self.sent_in_rest += status.availability.is_rest_asked
        status.availability.note_sent()

    def block(self, status: UpstreamStatus, for_s: float) -> None:
        """Record that an upstream refuses requests for the next ``for_s`` seconds."""
        status.availability.extend(Unavailability.REFUSED, for_s)

    def _update_failure_share(self, status: UpstreamStatus, is_failure: bool) -> None:
        newest = 1.0 if is_failure else 0.0
        status.failure_share += FAILURE_WEIGHT * (newest - status.failure_share)

    def _hold_out(self, status: UpstreamStatus, for_s: float, reason: str) -> None:
        if status.availability.extend(Unavailability.FAILED, for_s):
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
            software=upstream.software_version,
            weights={w.model: w.version for w in upstream.weights},
        ).info("Upstream {}.", change)
