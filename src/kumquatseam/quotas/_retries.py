"""Acquiring retries within the budget that all instances share."""

import time
from collections.abc import Callable, Sequence

import attrs

from kumquatseam.admission import RetryCause
from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.logs import part_logger
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._messages import QuotaShard, QuotaUsageUpdate, ServiceCount
from kumquatseam.quotas._owners import ShardOwners

_log = part_logger("retries")

#: interval at which owners are told how many requests arrived.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class RetryGrant:
    """One retry within the budget of a service.

    :param service: the service.
    :param number: the number of the first request for it.
    :param owners: the owners that granted it.
    """

    service: str
    number: int
    owners: tuple[InstanceRecord, ...]


@attrs.define
class _ServiceCounts:
    """What this instance counts of one service.

    :param requests: callers' requests since the start.
    :param retries: retries sent since the start.
    :param undecided: numbers of the first requests for retries that are neither sent
        nor given up yet.
    :param reported_s: when the owners were told of them.
    :param refused_until_s: until when the budget is known to be used up.
    """

    requests: int = 0
    retries: int = 0
    undecided: set[int] = attrs.Factory(set)
    reported_s: float = float("-inf")
    refused_until_s: float = float("-inf")


class RetryBudgets:
    """The retry budgets of all services, each shared by the whole fleet.

    A budget has three owners, which count the requests and the retries of all
    instances. A retry takes the consent of two of them: so no restart forgets what was
    spent, and instances that cannot reach each other do not spend it twice. An instance
    that reaches fewer owners retries nothing, since the others may have spent all.

    :param owners: the owners of budgets.
    :param list_services: returns the names of the services in use.
    """

    def __init__(
        self,
        owners: ShardOwners,
        list_services: Callable[[], list[str]] = list,
    ) -> None:
        self._owners = owners
        self._list_services = list_services
        self._clock = owners.retry_clock
        # Tells the counts of this process from those of an earlier one.
        self._start = time.time_ns()
        self._services: dict[str, _ServiceCounts] = {}
        self.undecided = 0

    def record_request(self, service: str) -> None:
        """Count a caller's request, which enlarges the budget."""
        self._counts(service).requests += 1

    def is_used_up(self, service: str) -> bool:
        """Return whether the budget was used up a moment ago."""
        return self._counts(service).refused_until_s > self._clock()

    def acquire(
        self, service: str, cause: RetryCause, request_id: str
    ) -> RetryGrant | None:
        """Return a grant for one retry, after a round trip to most owners.

        :returns: ``None`` if the budget does not allow it, or most owners do not reply.
        """
        if self.is_used_up(service):
            return None
        counts, shard = self._counts(service), self._shard(service)
        owners = self._known_owners(shard)
        number = self._owners.calls.next_number()
        counts.undecided.add(number)
        # Loaded with the first retry.
        from kumquatseam.quotas._retry_vote import log_fields, vote_on_retry

        ballot = vote_on_retry(
            self._owners, shard, owners, cause, lambda: self._service_count(service)
        )
        is_allowed = ballot.is_granted_by_most(len(owners))
        _log.bind(
            request=request_id,
            service=service,
            cause=cause.value,
            is_allowed=is_allowed,
            requests=counts.requests,
            **log_fields(ballot, self._owners.retry_settings),
        ).debug("Retry budget asked.")
        if is_allowed:
            return RetryGrant(service, number, tuple(ballot.granted_by))
        counts.undecided.discard(number)
        if ballot.refusal is None:
            self.undecided += 1
        elif cause is not RetryCause.MOVED:
            # Moved runs are refused while retries still are not.
            wait_s = ballot.refusal.wait_ms / 1000.0
            counts.refused_until_s = self._clock() + wait_s
        return None

    def note_sent(self, grant: RetryGrant) -> None:
        """Record that a granted retry is sent."""
        counts, shard = self._counts(grant.service), self._shard(grant.service)
        counts.undecided.discard(grant.number)
        counts.retries += 1
        # The other owners may have to decide next.
        for record in self._known_owners(shard):
            if record not in grant.owners:
                self._report(record, shard)

    def release(self, grant: RetryGrant) -> None:
        """Return the grant of a retry that is not sent."""
        self._counts(grant.service).undecided.discard(grant.number)

    def sweep(self) -> None:
        """Tell owners of the requests and retries since the last time."""
        now_s = self._clock()
        for service in {*self._list_services(), *self._services}:
            counts = self._counts(service)
            if now_s - counts.reported_s >= REPORT_INTERVAL_S:
                counts.reported_s = now_s
                shard = self._shard(service)
                for record in self._known_owners(shard):
                    self._report(record, shard)

    def apply_settings(self, settings: RetrySettings) -> None:
        """Apply changed settings."""
        self._owners.retry_allocator.apply_settings(settings)

    def _counts(self, service: str) -> _ServiceCounts:
        return self._services.setdefault(service, _ServiceCounts())

    def _shard(self, service: str) -> QuotaShard:
        count = self._owners.count_shards()
        number = self._owners.preferred_number(service, count)
        return QuotaShard(service, number, count, is_retry_budget=True)

    def _known_owners(self, shard: QuotaShard) -> Sequence[InstanceRecord]:
        return self._owners.of(shard) if self._owners.are_known() else ()

    def _service_count(self, service: str) -> ServiceCount:
        counts = self._counts(service)
        first_open = min(counts.undecided, default=self._owners.calls.next_number())
        return ServiceCount(
            self._owners.name,
            self._start,
            counts.requests,
            counts.retries,
            first_open - 1,
        )

    def _report(self, record: InstanceRecord, shard: QuotaShard) -> None:
        count = self._service_count(shard.subject)
        self._owners.note_usage(record, QuotaUsageUpdate(shard, None, 0, count=count))
