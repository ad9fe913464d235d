"""The owners' votes on a retry; loaded with the first one."""

from collections.abc import Callable, Sequence

from kumquatseam.admission import RetryCause
from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._ballots import Ballot, hold_ballot
from kumquatseam.quotas._messages import (
    OwnerVote,
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    ServiceCount,
)
from kumquatseam.quotas._owners import ShardOwners

#: share of a budget that moved runs may use. Without a move a run ends where it is;
#: without a retry a request fails.
MAX_MOVED_SHARE = 0.5


def vote_on_retry(
    owners: ShardOwners,
    shard: QuotaShard,
    records: Sequence[InstanceRecord],
    cause: RetryCause,
    service_count: Callable[[], ServiceCount],
) -> Ballot:
    """Ask owners for a grant until most of them granted it or one refuses.

    :param records: the owners of the budget.
    :param service_count: returns what this instance counts of the service.
    """

    def ask(record: InstanceRecord, ballot: Ballot) -> QuotaLeaseReply | None:
        request = QuotaLeaseRequest(
            owners.calls.next_number(),
            shard,
            None,
            1,
            vote=OwnerVote.CONFIRMS if ballot.granted_by else OwnerVote.DECIDES,
            owner_count=len(records),
            count=service_count(),
            max_share=MAX_MOVED_SHARE if cause is RetryCause.MOVED else 1.0,
        )
        reply = owners.call(record, request)
        return None if reply is None or reply.is_unsure else reply

    return hold_ballot(records, ask)


def log_fields(ballot: Ballot, settings: RetrySettings) -> dict[str, object]:
    """Return what is logged of the votes."""
    refusal = ballot.refusal
    return {
        "owners": [record.name for record in ballot.granted_by],
        "refused_by": refusal.keeper if refusal is not None else None,
        "ratio": settings.ratio,
        "slack": settings.slack,
    }
