"""The owners' votes on a request within a limit; loaded with the first one."""

from collections.abc import Sequence

import attrs

from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._ballots import Ballot, hold_ballot
from kumquatseam.quotas._messages import (
    OwnerVote,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
)
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.quotas._upstreams import CallerRetry
from kumquatseam.upstreams import AnnouncedLimits


@attrs.frozen
class LimitVote:
    """The vote on one request to an upstream that announced a limit.

    :param owners: calls the owners.
    :param announced: what upstreams announced; replies may bring newer limits.
    :param shard: the limit.
    :param records: its owners.
    :param retry: how the caller of the request will return if it is refused.
    """

    owners: ShardOwners
    announced: AnnouncedLimits
    shard: QuotaShard
    records: Sequence[InstanceRecord]
    retry: CallerRetry | None

    def hold(self) -> Ballot:
        """Ask owners for a grant until most of them granted it or one refuses."""

        def ask(record: InstanceRecord, ballot: Ballot) -> QuotaLeaseReply | None:
            vote = OwnerVote.CONFIRMS if ballot.granted_by else OwnerVote.DECIDES
            return self._ask(record, self._request(vote, ballot))

        ballot = hold_ballot(self.records, ask)
        is_granted = ballot.is_granted_by_most(len(self.records))
        if ballot.refusal is None and not is_granted:
            self._ask_alone(ballot)
        return ballot

    def _ask_alone(self, ballot: Ballot) -> None:
        """Ask the only owner that replied for its own part of the limit."""
        if not ballot.granted_by:
            return
        (first,) = ballot.granted_by
        ballot.granted_by.clear()
        reply = self._ask(first, self._request(OwnerVote.ALONE, ballot))
        if reply is not None:
            ballot.add(first, reply)

    def _request(self, vote: OwnerVote, ballot: Ballot) -> QuotaLeaseRequest:
        retry = self.retry
        return QuotaLeaseRequest(
            self.owners.calls.next_number(),
            self.shard,
            None,
            1,
            report=self.announced.report_of(self.shard.subject),
            vote=vote,
            owner_count=len(self.records),
            is_reserved=ballot.is_reserved,
            key=retry.key if retry is not None else "",
            max_wait_ms=int(retry.max_wait_s * 1000) if retry is not None else 0,
        )

    def _ask(
        self, record: InstanceRecord, request: QuotaLeaseRequest
    ) -> QuotaLeaseReply | None:
        """Return an owner's reply; ``None`` without one in time."""
        reply = self.owners.call(record, request)
        if reply is not None and reply.report is not None:
            self.announced.merge_report(reply.report)
        return reply
