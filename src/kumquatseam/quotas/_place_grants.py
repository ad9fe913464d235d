"""Asking the owners of a brittle upstream for places, and telling them what is held."""

import time
from collections.abc import Iterable, Sequence

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._ballots import Ballot, hold_ballot
from kumquatseam.quotas._errors import UpstreamFullError
from kumquatseam.quotas._messages import (
    OwnerVote,
    PlaceCount,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    QuotaUsageUpdate,
)
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.quotas._place_grant import PlaceGrant
from kumquatseam.upstreams import Brittleness, UpstreamDirectory, UpstreamStatus

_log = part_logger("places")

#: interval at which owners are told of places that are still held; several fit into
#: the time after which an owner takes a silent instance for ended.
RENEWAL_INTERVAL_S = 1.5
#: when to try again while no owner of an upstream's places can be reached.
OWNERS_LOST_RETRY_S = 0.5


@attrs.define
class _Held:
    """What this instance has to do with one brittle upstream.

    :param deciding: numbers of the first requests for places that are not decided yet.
    :param pending: places granted to requests that do not count as running yet.
    :param refused: requests that it refused, since the start of this process.
    :param reported_s: when its owners were told.
    """

    deciding: set[int] = attrs.Factory(set)
    pending: int = 0
    refused: int = 0
    reported_s: float = float("-inf")


class PlaceGrants:
    """Acquires places at brittle upstreams from their owners.

    A place takes the consent of most of the upstream's owners, which count the requests
    of all instances there, like the grant of a limit.

    :param owners: the owners of places.
    :param brittleness: which services are brittle.
    """

    def __init__(self, owners: ShardOwners, brittleness: Brittleness) -> None:
        self._owners = owners
        self._brittleness = brittleness
        self._clock = owners.clock
        # Tells the counts of this process from those of an earlier one.
        self._start = time.time_ns()
        self._numbers = 0
        self._held: dict[str, _Held] = {}

    def acquire(
        self, status: UpstreamStatus, key: str, max_wait_s: float
    ) -> PlaceGrant | None:
        """Return a place for one request.

        :param key: identifies the request while it waits.
        :param max_wait_s: how long it waits for its turn.
        :returns: ``None`` if the upstream turns out not to be brittle.
        :raises UpstreamFullError: if there is none.
        """
        incarnation_id = status.upstream.incarnation_id
        shard = _shard(incarnation_id)
        held = self._of(status)
        owners = self._known_owners(shard)
        number = self._owners.calls.next_number()
        held.deciding.add(number)
        try:
            ballot = self._vote(status, shard, owners, key, max_wait_s)
        finally:
            held.deciding.discard(number)
        is_granted = ballot.refusal is None and bool(ballot.granted_by)
        self._log_decision(incarnation_id, key, ballot, is_granted)
        if is_granted:
            held.pending += 1
            self.report(status, set(owners) - set(ballot.granted_by))
            return PlaceGrant(incarnation_id)
        self.report(status, ballot.granted_by)
        if self._brittleness.bearable_per_s(status.upstream.service) is None:
            # An owner knew that it is not brittle any more.
            return None
        raise self._refusal(incarnation_id, ballot.refusal)

    def note_begun(self, grant: PlaceGrant) -> None:
        """Record that the request counts as running, or is not sent."""
        held = self._held.get(grant.incarnation_id)
        if held is not None and held.pending:
            held.pending -= 1

    def release(self, grant: PlaceGrant, status: UpstreamStatus | None) -> None:
        """Return the place of a request that is not sent.

        :param status: the upstream, if it is listed.
        """
        self.note_begun(grant)
        if status is not None:
            self.report(status)

    def note_refused(self, status: UpstreamStatus) -> None:
        """Record that an upstream refused a request."""
        self._of(status).refused += 1

    def tell_brittleness(self, status: UpstreamStatus) -> None:
        """Tell the owners of an upstream what is known of its service."""
        report = self._brittleness.report_of(status.upstream.service)
        for record in self._known_owners(_shard(status.upstream.incarnation_id)):
            if record.name != self._owners.name:
                self._owners.send(record, report)

    def forget(self, incarnation_id: str) -> None:
        """Drop what is known of an upstream that ended."""
        self._held.pop(incarnation_id, None)

    def sweep(self, directory: UpstreamDirectory) -> None:
        """Tell owners again of places that are held for long.

        :param directory: the listed upstreams.
        """
        oldest_s = self._clock() - RENEWAL_INTERVAL_S
        for incarnation_id, held in list(self._held.items()):
            status = directory.status(incarnation_id)
            if status is None:
                del self._held[incarnation_id]
                continue
            service = status.upstream.service
            is_brittle = self._brittleness.bearable_per_s(service) is not None
            if is_brittle and status.running and held.reported_s <= oldest_s:
                self.report(status)

    def report(
        self, status: UpstreamStatus, records: Iterable[InstanceRecord] | None = None
    ) -> None:
        """Tell owners of the places that this instance holds.

        :param records: these owners; by default all.
        """
        shard = _shard(status.upstream.incarnation_id)
        count = self._count(status)
        report = self._brittleness.report_of(status.upstream.service)
        update = QuotaUsageUpdate(shard, None, 0, report=report, places=count)
        if records is None:
            records = self._known_owners(shard)
            self._of(status).reported_s = self._clock()
        for record in records:
            self._owners.note_usage(record, update)

    def _of(self, status: UpstreamStatus) -> _Held:
        return self._held.setdefault(status.upstream.incarnation_id, _Held())

    def _vote(
        self,
        status: UpstreamStatus,
        shard: QuotaShard,
        owners: Sequence[InstanceRecord],
        key: str,
        max_wait_s: float,
    ) -> Ballot:
        """Ask owners for a place until most of them granted it or one refuses."""

        def ask(record: InstanceRecord, ballot: Ballot) -> QuotaLeaseReply | None:
            vote = OwnerVote.CONFIRMS if ballot.granted_by else OwnerVote.DECIDES
            # Only the first owner keeps the order of those that wait.
            wait_s = max_wait_s if vote is OwnerVote.DECIDES else 0.0
            return self._ask(record, status, shard, len(owners), vote, key, wait_s)

        ballot = hold_ballot(owners, ask)
        is_alone = bool(ballot.granted_by) and not ballot.is_granted_by_most(
            len(owners)
        )
        if ballot.refusal is None and is_alone:
            (first,) = ballot.granted_by
            vote = OwnerVote.ALONE
            reply = self._ask(first, status, shard, len(owners), vote, key, 0.0)
            if reply is None or not reply.lent:
                ballot.refusal = reply
                ballot.granted_by.clear()
        return ballot

    def _ask(
        self,
        record: InstanceRecord,
        status: UpstreamStatus,
        shard: QuotaShard,
        owner_count: int,
        vote: OwnerVote,
        key: str,
        max_wait_s: float,
    ) -> QuotaLeaseReply | None:
        """Return an owner's reply; ``None`` without one in time."""
        request = QuotaLeaseRequest(
            self._owners.calls.next_number(),
            shard,
            None,
            1,
            report=self._brittleness.report_of(status.upstream.service),
            vote=vote,
            owner_count=owner_count,
            key=key,
            max_wait_ms=int(max_wait_s * 1000),
            places=self._count(status),
        )
        reply = self._owners.call(record, request)
        if reply is not None and reply.report is not None:
            self._brittleness.merge_report(reply.report)
        return reply

    def _count(self, status: UpstreamStatus) -> PlaceCount:
        upstream = status.upstream
        held = self._of(status)
        self._numbers += 1
        first_open = min(held.deciding, default=self._owners.calls.next_number())
        return PlaceCount(
            self._owners.name,
            self._start,
            self._numbers,
            status.running + held.pending,
            held.refused,
            first_open - 1,
            upstream.slots,
            self._brittleness.bearable_per_s(upstream.service) or 0.0,
        )

    def _known_owners(self, shard: QuotaShard) -> Sequence[InstanceRecord]:
        return self._owners.of(shard) if self._owners.are_known() else ()

    def _refusal(
        self, incarnation_id: str, reply: QuotaLeaseReply | None
    ) -> UpstreamFullError:
        if reply is None:
            name = self._owners.name
            return UpstreamFullError(incarnation_id, OWNERS_LOST_RETRY_S, False, name)
        return UpstreamFullError(
            incarnation_id, reply.wait_ms / 1000.0, reply.is_reserved, reply.keeper
        )

    def _log_decision(
        self, incarnation_id: str, key: str, ballot: Ballot, is_granted: bool
    ) -> None:
        refusal = ballot.refusal
        _log.bind(
            request=key,
            upstream=incarnation_id,
            is_granted=is_granted,
            owners=[record.name for record in ballot.granted_by],
            refused_by=refusal.keeper if refusal is not None else None,
            wait_s=refusal.wait_ms / 1000.0 if refusal is not None else None,
            is_waiting=refusal.is_reserved if refusal is not None else False,
        ).debug("Place asked for.")


def _shard(incarnation_id: str) -> QuotaShard:
    return QuotaShard(incarnation_id, is_places=True)
