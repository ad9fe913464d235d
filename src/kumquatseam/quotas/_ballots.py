"""Asking the owners of a shard until most of them agree."""

from collections.abc import Callable, Sequence

import attrs

from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._messages import QuotaLeaseReply


@attrs.define
class Ballot:
    """The replies of a shard's owners to one request.

    :param granted_by: the owners that granted it.
    :param refusal: the reply of the owner that refused it, if any.
    :param is_reserved: whether the first owner had reserved a place for it.
    """

    granted_by: list[InstanceRecord] = attrs.Factory(list)
    refusal: QuotaLeaseReply | None = None
    is_reserved: bool = False

    def is_granted_by_most(self, owner_count: int) -> bool:
        """Return whether most owners granted it, and none refused it."""
        return self.refusal is None and len(self.granted_by) > owner_count // 2

    def add(self, record: InstanceRecord, reply: QuotaLeaseReply) -> None:
        """Count the reply of an owner."""
        if reply.lent:
            self.granted_by.append(record)
            self.is_reserved |= reply.is_reserved
        else:
            self.refusal = reply


def hold_ballot(
    owners: Sequence[InstanceRecord],
    ask: Callable[[InstanceRecord, Ballot], QuotaLeaseReply | None],
) -> Ballot:
    """Ask owners in order until most of them granted a request or one refuses it.

    :param ask: asks one owner; returns ``None`` if it has no say.
    """
    ballot = Ballot()
    for record in owners:
        reply = ask(record, ballot)
        if reply is not None:
            ballot.add(record, reply)
        if ballot.refusal is not None or ballot.is_granted_by_most(len(owners)):
            break
    return ballot
