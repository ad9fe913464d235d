"""Messages that instances exchange about quotas."""

import enum

import attrs

from kumquatseam.upstreams import LimitReport

#: shortest duration of a lease.
MIN_LEASE_S = 0.25


@attrs.frozen
class QuotaShard:
    """The part of a quota that one instance owns, or the limit of an upstream.

    :param subject: the team, the incarnation of the upstream, or the service.
    :param number: the shard's index.
    :param count: the number of shards that the quota is split into.
    :param is_upstream: whether it is the limit of an upstream, which is not split.
    :param is_retry_budget: whether it is the retry budget of a service.
    :param is_places: whether it is the places of a brittle upstream.
    """

    subject: str
    number: int = 0
    count: int = 1
    is_upstream: bool = False
    is_retry_budget: bool = False
    is_places: bool = False

    @property
    def key(self) -> str:
        """The key hashed to choose the shard's owners.

        The limit and the places of an upstream have the owners that track its load.
        """
        if self.is_upstream or self.is_places:
            return self.subject
        kind = "retries" if self.is_retry_budget else "quota"
        return f"{kind}/{self.subject}/{self.number}/{self.count}"


class OwnerVote(enum.Enum):
    """What an owner of an upstream or of a retry budget is asked for.

    ``DECIDES`` is the first owner asked, ``CONFIRMS`` a further one, and ``ALONE`` the
    first one again if no further one replied.
    """

    DECIDES = 1
    CONFIRMS = 2
    ALONE = 3


@attrs.frozen
class VersionedLimit:
    """A team's quota in one configuration version.

    :param version: the configuration version; the highest one applies.
    :param rate_per_s: requests or tokens per second.
    :param burst: size of the token bucket, in requests or tokens.
    """

    version: int
    rate_per_s: float
    burst: float


@attrs.frozen
class ServiceCount:
    """What an instance received for a service, and sent once more.

    Totals make up for messages that were lost, or arrived twice.

    :param sender: the instance.
    :param start: identifies the start of its process.
    :param requests: callers' requests since then.
    :param retries: retries sent since then.
    :param settled_number: what was granted to requests with numbers up to this one is
        either among the retries or was not used.
    """

    sender: str
    start: int
    requests: int
    retries: int
    settled_number: int


@attrs.frozen
class PlaceCount:
    """The places that an instance holds at a brittle upstream.

    Totals make up for messages that were lost, or arrived twice.

    :param sender: the instance.
    :param start: identifies the start of its process.
    :param number: rises with each count.
    :param held: requests that it has there, or was granted a place for.
    :param refused: requests that the upstream refused, since the start.
    :param settled_number: what was granted to requests with numbers up to this one is
        either among the held or was not used.
    :param slots: requests that the upstream runs at once.
    :param bearable_per_s: refusals a second that it bears.
    """

    sender: str
    start: int
    number: int
    held: int
    refused: int
    settled_number: int
    slots: int
    bearable_per_s: float


@attrs.frozen
class QuotaLeaseRequest:
    """Requests a lease from the owner of a shard.

    :param number: the request's number, repeated in the reply.
    :param shard: the shard.
    :param limit: the team's whole quota, as the requesting instance knows it.
    :param needed: what the caller's request costs.
    :param wanted: additional quota that later requests will probably need.
    :param unpaid: what the requesting instance admitted while no owner replied.
    :param report: the limit of the upstream, as the requesting instance knows it.
    :param vote: what the owner of an upstream's limit is asked for.
    :param owner_count: owners of an upstream's limit.
    :param is_reserved: whether the first owner had reserved a place for the request.
    :param key: identifies the caller's request and its retries.
    :param max_wait_ms: a place is reserved for a refused request if it is free within
        this time; 0 for none.
    :param count: what the requesting instance counts of a service.
    :param max_share: the share of a retry budget that may be used.
    :param places: what the requesting instance holds at a brittle upstream.
    """

    number: int
    shard: QuotaShard
    limit: VersionedLimit | None
    needed: int
    wanted: int = 0
    unpaid: int = 0
    report: LimitReport | None = None
    vote: OwnerVote = OwnerVote.DECIDES
    owner_count: int = 1
    is_reserved: bool = False
    key: str = ""
    max_wait_ms: int = 0
    count: ServiceCount | None = None
    max_share: float = 1.0
    places: PlaceCount | None = None


@attrs.frozen
class QuotaLeaseReply:
    """Grants or refuses a lease.

    :param number: the number of the lease request.
    :param lent: the amount granted; 0 if no quota is left.
    :param lease_ms: how long the lease lasts; what is unused then must be returned.
    :param wait_ms: if no quota is left, when to retry.
    :param keeper: the instance that decided.
    :param is_over: whether the amount exceeds the quota but not the tolerance: the
        request may run only if it delays no other request.
    :param report: the limit of the upstream, as the owner knows it.
    :param is_reserved: whether the amount was reserved for the request or, if nothing
        was granted, is from now on.
    :param is_unsure: whether the owner does not know what was granted in the past
        window, so that its reply does not count.
    """

    number: int
    lent: int
    lease_ms: int = 0
    wait_ms: int = 0
    keeper: str = ""
    is_over: bool = False
    report: LimitReport | None = None
    is_reserved: bool = False
    is_unsure: bool = False


@attrs.frozen
class QuotaTolerance:
    """How far the fleet may exceed a quota.

    In any window, at most ``(rate * window + burst) * (1 + excess_ratio) + slack``
    may run.

    :param window_s: length of the window.
    :param excess_ratio: allowed excess as a share of the quota.
    :param slack: additional allowed excess, in requests or tokens.
    """

    window_s: float = 10.0
    excess_ratio: float = 0.0
    slack: float = 0.0

    def excess_per_s(self, limit: VersionedLimit) -> float:
        """Return the rate that may run in excess of a quota."""
        quota_in_window = limit.rate_per_s * self.window_s + limit.burst
        return (self.excess_ratio * quota_in_window + self.slack) / self.window_s


@attrs.frozen
class QuotaUsageUpdate:
    """Replicates a shard's usage to an owner that did not decide on it.

    :param shard: the shard.
    :param limit: the team's whole quota.
    :param amount: the amount leased or reported as used.
    :param is_over: whether the amount exceeds the quota.
    :param report: the limit of the upstream, as the sending instance knows it.
    :param count: what the requesting instance counts of a service.
    :param places: what the sending instance holds at a brittle upstream.
    """

    shard: QuotaShard
    limit: VersionedLimit | None
    amount: int
    is_over: bool = False
    report: LimitReport | None = None
    count: ServiceCount | None = None
    places: PlaceCount | None = None


@attrs.frozen
class QuotaLeaseReturn:
    """Returns the unused part of a lease.

    :param shard: the shard.
    :param amount: the unused amount.
    """

    shard: QuotaShard
    amount: int


@attrs.frozen
class RetryHistoryRequest:
    """Asks another owner of a retry budget for what it knows of the past window.

    :param shard: the shard.
    """

    shard: QuotaShard


@attrs.frozen
class RetryHistory:
    """What an owner of a retry budget knows of the past window.

    :param shard: the shard.
    :param earliest: requests by the age that they have at most, in steps of a fixed
        part of the window, the newest first.
    :param latest: requests by the age that they have at least, likewise.
    :param retries: retries by age, likewise.
    """

    shard: QuotaShard
    earliest: tuple[float, ...]
    latest: tuple[float, ...]
    retries: tuple[float, ...]


#: datagram messages by their kind on the wire.
DATAGRAM_KINDS = {
    "quota": QuotaLeaseRequest,
    "lent": QuotaLeaseReply,
    "spent": QuotaUsageUpdate,
    "returned": QuotaLeaseReturn,
    "limit": LimitReport,
    "history?": RetryHistoryRequest,
    "history": RetryHistory,
}
