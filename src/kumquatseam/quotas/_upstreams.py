"""Keeping the limits that upstreams announce, by all instances together."""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

import attrs
import xxhash

from kumquatseam.logs import part_logger
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._errors import UpstreamFullError, UpstreamLimitError
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseReturn,
    QuotaShard,
    QuotaUsageUpdate,
)
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.quotas._place_grant import PlaceGrant
from kumquatseam.quotas._places import UpstreamPlaces
from kumquatseam.upstreams import (
    NO_LIMIT_PER_S,
    Availabilities,
    LimitObserver,
    LimitReport,
    Unavailability,
    brittle_service,
)

if TYPE_CHECKING:
    from kumquatseam.quotas._ballots import Ballot

_log = part_logger("limits")

#: Retry-After while no owner of a limit can be reached: they answer again, or others
#: take over, within about this time.
OWNERS_LOST_RETRY_S = 0.5
#: shortest time for which an upstream without room is skipped, so that the requests of
#: one moment do not all ask for the same place.
MIN_USED_UP_S = 0.005
_HASH_RANGE = float(2**64)


@attrs.frozen
class CallerRetry:
    """How the caller of a request will return if it is refused.

    :param key: identifies the request and its retries.
    :param max_wait_s: the longest Retry-After that the caller obeys.
    """

    key: str
    max_wait_s: float


@attrs.frozen
class LimitGrant:
    """A request granted within the limit of an upstream.

    :param incarnation_id: the upstream.
    :param owners: the owners that granted it; none if the upstream has no limit.
    :param is_limit_known: whether this instance would know if the upstream had one.
    :param place: the request's place, if the upstream is brittle.
    """

    incarnation_id: str
    owners: tuple[InstanceRecord, ...] = ()
    is_limit_known: bool = True
    place: PlaceGrant | None = None


class UpstreamLimits(LimitObserver):
    """Acquires grants for requests to upstreams that announced a limit.

    A grant takes the consent of most of the limit's owners, of which there are three in
    a fleet of three instances or more. Whoever reaches only one owner gets its third of
    the limit, and whoever reaches none sends nothing.

    :param owners: the owners of limits.
    :param notified: returns the instances to notify of changes besides the owners.
    :param availabilities: keeps until when upstreams are expected to have no room.
    :param places: grants places at brittle upstreams; ``None`` if there are none.
    """

    def __init__(
        self,
        owners: ShardOwners,
        notified: Callable[[], Sequence[InstanceRecord]] = tuple,
        availabilities: Availabilities | None = None,
        places: UpstreamPlaces | None = None,
    ) -> None:
        self._owners = owners
        self._list_notified = notified
        self.announced = owners.limits
        self.availabilities = availabilities or Availabilities(owners.clock)
        self.places = places
        self.granted = 0
        self.refused = 0
        self.announced.on_change(self._handle_change)

    def observe(
        self,
        incarnation_id: str,
        rate_per_s: float | None,
        sent_s: float,
        is_from_run: bool = True,
    ) -> None:
        if rate_per_s is None:
            _log.bind(upstream=incarnation_id).warning("Unreadable limit ignored.")
            return
        if rate_per_s == NO_LIMIT_PER_S and not is_from_run:
            return
        if self.announced.observe(incarnation_id, rate_per_s, sent_s):
            self._report_to_owners(incarnation_id)

    def note_rest(self, incarnation_id: str, rest_s: float | None) -> None:
        if rest_s is not None:
            self.availabilities.of(incarnation_id).rest(rest_s)

    def note_tracked(
        self,
        incarnation_id: str,
        report: LimitReport | None,
        used_up_s: float,
        brittle: LimitReport | None = None,
    ) -> None:
        """Record what the tracker of an upstream knows of its limit.

        If this instance knows better, its earlier report was lost.

        :param report: the limit, if there is one.
        :param used_up_s: time until the upstream has room for a request.
        :param brittle: what it bears, if it is brittle.
        """
        if brittle is not None:
            self.announced.merge_report(brittle)
        if report is not None:
            self.announced.merge_report(report)
        is_limited = self.announced.of(incarnation_id).is_limited
        if used_up_s > 0 and (is_limited or self.is_brittle(incarnation_id)):
            self._note_used_up(incarnation_id, used_up_s)
        if is_limited != (report is not None):
            self._report_to_owners(incarnation_id)

    def used_up_s(self, incarnation_id: str) -> float:
        """Return the time until an upstream is expected to have room; 0 if it has."""
        return self.availabilities.of(incarnation_id).left_s(Unavailability.LIMITED)

    def is_brittle(self, incarnation_id: str) -> bool:
        """Return whether an upstream takes requests only with a place."""
        places = self.places
        return places is not None and places.bearable_per_s(incarnation_id) is not None

    def acquire(
        self,
        incarnation_id: str,
        request_id: str,
        retry: CallerRetry | None = None,
        is_limit_known: bool = True,
        max_place_wait_s: float = 0.0,
    ) -> LimitGrant:
        """Return a grant for one request, after a round trip to most owners.

        Returns at once if the upstream is known to have no limit and not to be brittle.

        :param retry: if given, a place is reserved for a refused request.
        :param is_limit_known: whether this instance would know of a limit.
        :param max_place_wait_s: how long the request waits for its turn at a brittle
            upstream.
        :raises UpstreamLimitError: if the limit has no room.
        :raises UpstreamFullError: if the upstream is brittle and has no place.
        """
        place = self._acquire_place(incarnation_id, request_id, max_place_wait_s)
        try:
            grant = self.acquire_limit(
                incarnation_id, request_id, retry, is_limit_known
            )
        except UpstreamLimitError:
            if place is not None:
                self.places.release(place)
            raise
        return grant if place is None else attrs.evolve(grant, place=place)

    def _acquire_place(
        self, incarnation_id: str, request_id: str, max_wait_s: float
    ) -> PlaceGrant | None:
        if not self.is_brittle(incarnation_id):
            return None
        try:
            return self.places.acquire(incarnation_id, request_id, max_wait_s)
        except UpstreamFullError as error:
            self._note_used_up(incarnation_id, error.retry_after_s)
            raise

    def acquire_limit(
        self,
        incarnation_id: str,
        request_id: str,
        retry: CallerRetry | None = None,
        is_limit_known: bool = True,
    ) -> LimitGrant:
        """Return a grant for one request that has its place already.

        :raises UpstreamLimitError: if the limit has no room.
        """
        if is_limit_known and not self.announced.of(incarnation_id).is_limited:
            return LimitGrant(incarnation_id)
        shard = QuotaShard(incarnation_id, is_upstream=True)
        owners = self._owners.of(shard) if self._owners.are_known() else ()
        # Loaded with the first upstream that has a limit.
        from kumquatseam.quotas._limit_vote import LimitVote

        ballot = LimitVote(self._owners, self.announced, shard, owners, retry).hold()
        is_limited = self.announced.of(incarnation_id).is_limited
        is_granted = ballot.refusal is None and bool(ballot.granted_by)
        self._log_decision(incarnation_id, request_id, ballot, is_granted)
        if is_granted or not is_limited:
            self.granted += is_limited
            if is_limited:
                self._replicate_usage(shard, owners, ballot.granted_by)
            return LimitGrant(incarnation_id, tuple(ballot.granted_by), is_granted)
        self._give_back(shard, ballot.granted_by)
        self.refused += 1
        raise self._refusal(incarnation_id, ballot.refusal)

    def note_sent(self, grant: LimitGrant) -> None:
        """Record that the request of a grant is sent."""
        if grant.place is not None:
            self.places.note_begun(grant.place)
            self.places.sent += 1

    def release(self, grant: LimitGrant) -> None:
        """Return the grant of a request that was not sent."""
        if grant.place is not None:
            self.places.release(grant.place)
        self._give_back(
            QuotaShard(grant.incarnation_id, is_upstream=True), grant.owners
        )

    def preferred_for_retry(self, key: str, incarnation_ids: Iterable[str]) -> str:
        """Return the upstream that reserves a place for a request if none has room.

        The same for the request's retry on every instance that knows the same limits:
        rendezvous hashing, weighted by the limits.
        """

        def distance(incarnation_id: str) -> float:
            digest = xxhash.xxh3_64_intdigest(f"{key}|{incarnation_id}".encode())
            weight = max(self.announced.of(incarnation_id).rate_per_s, 1e-9)
            return -math.log((digest + 1) / (_HASH_RANGE + 1)) / weight

        return min(incarnation_ids, key=distance)

    def forget(self, incarnation_id: str) -> None:
        """Drop what is known of an upstream that ended."""
        self.announced.forget(incarnation_id)
        if self.places is not None:
            self.places.forget(incarnation_id)
        self.availabilities.of(incarnation_id).end(Unavailability.LIMITED)

    def _replicate_usage(
        self,
        shard: QuotaShard,
        owners: Iterable[InstanceRecord],
        granted_by: Sequence[InstanceRecord],
    ) -> None:
        """Tell the other owners of a grant, since they may have to decide next."""
        report = self.announced.report_of(shard.subject)
        for record in owners:
            if record not in granted_by:
                update = QuotaUsageUpdate(shard, None, 1, report=report)
                self._owners.note_usage(record, update)

    def _refusal(
        self, incarnation_id: str, reply: QuotaLeaseReply | None
    ) -> UpstreamLimitError:
        """Record that an upstream has no room, and return the error that says so."""
        if reply is None:
            wait_s, is_reserved, decided_by = OWNERS_LOST_RETRY_S, False, ""
        else:
            wait_s, is_reserved = reply.wait_ms / 1000.0, reply.is_reserved
            decided_by = reply.keeper
        if not is_reserved:
            # A reserved place may be far later than the next free one.
            self._note_used_up(incarnation_id, wait_s)
        return UpstreamLimitError(
            incarnation_id,
            self.announced.of(incarnation_id).rate_per_s,
            wait_s,
            is_reserved,
            decided_by or self._owners.name,
        )

    def _note_used_up(self, incarnation_id: str, for_s: float) -> None:
        availability = self.availabilities.of(incarnation_id)
        availability.set(Unavailability.LIMITED, max(MIN_USED_UP_S, for_s))

    def _give_back(self, shard: QuotaShard, owners: Iterable[InstanceRecord]) -> None:
        for record in owners:
            self._owners.give_back(record, QuotaLeaseReturn(shard, 1))

    def _report_to_owners(self, incarnation_id: str) -> None:
        """Send what is known of an upstream's limit to its owners; it may get lost."""
        if not self._owners.are_known():
            return
        report = self.announced.report_of(incarnation_id)
        shard = QuotaShard(incarnation_id, is_upstream=True)
        for record in {*self._owners.of(shard), *self._list_notified()}:
            if record.name != self._owners.name:
                self._owners.send(record, report)

    def _handle_change(self, incarnation_id: str) -> None:
        service = brittle_service(incarnation_id)
        if service is not None:
            if self.places is not None:
                self.places.note_brittle(service)
            return
        # The place that was waited for may be free earlier under the new limit.
        self.availabilities.of(incarnation_id).end(Unavailability.LIMITED)

    def _log_decision(
        self, incarnation_id: str, request_id: str, ballot: "Ballot", is_granted: bool
    ) -> None:
        refusal = ballot.refusal
        known = self.announced.of(incarnation_id)
        _log.bind(
            request=request_id,
            upstream=incarnation_id,
            rate_per_s=known.rate_per_s if known.is_limited else None,
            is_granted=is_granted,
            owners=[record.name for record in ballot.granted_by],
            wait_s=refusal.wait_ms / 1000.0 if refusal is not None else None,
            is_reserved=ballot.is_reserved,
        ).debug("Limit asked for.")
