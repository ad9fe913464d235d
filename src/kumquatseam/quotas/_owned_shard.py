"""The state that the owner of a shard keeps of it."""

import abc

from kumquatseam.quotas._messages import QuotaLeaseReply, QuotaLeaseRequest


class OwnedShard(abc.ABC):
    """A shard owned by this instance; decides on requests for leases from it.

    :param now_s: the current time.
    """

    def __init__(self, now_s: float) -> None:
        #: time of the last lease request or usage update.
        self.last_request_s = now_s

    @abc.abstractmethod
    def decide(
        self, request: QuotaLeaseRequest, now_s: float, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        """Grant or refuse a lease.

        :param charge_factor: how often a granted amount is deducted.
        """

    @abc.abstractmethod
    def refund(self, amount: float, now_s: float) -> None:
        """Add the unused part of a lease."""
