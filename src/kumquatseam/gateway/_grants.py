"""What the next attempt at a request was granted: a limit's permit and a retry."""

from kumquatseam.admission import RetryCause
from kumquatseam.gateway._job import Job
from kumquatseam.quotas import LimitGrant, RetryGrant, UpstreamLimitError


class AttemptGrants:
    """The grants of the attempt that is about to be sent.

    Each is used when the attempt is sent, and returned if it is not.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    """

    def __init__(self, parts, job: Job) -> None:
        self._parts = parts
        self._job = job
        self._limit: LimitGrant | None = None
        self._retry: RetryGrant | None = None
        #: a retry for the attempt after the next one.
        self._spare_retry: RetryGrant | None = None
        #: why the next attempt is one more; ``None`` for the first.
        self._retry_cause: RetryCause | None = None

    def put_limit(self, grant: LimitGrant | None) -> None:
        """Keep the permit of an upstream's limit."""
        self._limit = grant

    def acquire_limit(self, incarnation_id: str) -> bool:
        """Acquire the permit of an upstream's limit; return whether it has room.

        For a run that has its place there already.
        """
        if self._limit is not None and self._limit.incarnation_id == incarnation_id:
            return True
        self.release_limit()
        try:
            self._limit = self._parts.limits.acquire_limit(
                incarnation_id, self._job.call.request_id
            )
        except UpstreamLimitError:
            return False
        return True

    def hand_over(self, other: "AttemptGrants") -> None:
        """Let ``other`` have these grants in place of its own."""
        other.release()
        other._limit, self._limit = self._limit, None
        other._retry, self._retry = self._retry, None
        other._spare_retry, self._spare_retry = self._spare_retry, None
        other._retry_cause = self._retry_cause

    def need_retry(self, cause: RetryCause) -> bool:
        """Record that the next attempt is a retry.

        :returns: whether the budget may have one left.
        """
        self._retry_cause = cause
        return not self._parts.retries.is_used_up(self._job.service.name)

    def acquire_retry(self) -> bool:
        """Acquire the retry that the next attempt needs, if it needs one.

        :returns: whether the budget allows it.
        """
        cause = self._retry_cause
        if cause is None or self._retry is not None:
            return True
        self._retry, self._spare_retry = self._spare_retry, None
        if self._retry is None:
            self._retry = self._acquire(cause)
        return self._retry is not None

    def acquire_spare_retry(self, cause: RetryCause) -> bool:
        """Acquire a retry for the attempt after the next one.

        :returns: whether the budget allows it.
        """
        self._spare_retry = self._acquire(cause)
        return self._spare_retry is not None

    def _acquire(self, cause: RetryCause) -> RetryGrant | None:
        grant = self._parts.retries.acquire(
            self._job.service.name, cause, self._job.call.request_id
        )
        self._parts.metrics.record_retry(cause.value, grant is not None)
        return grant

    def note_sent(self) -> None:
        """Record that the attempt is sent."""
        if self._limit is not None:
            self._parts.limits.note_sent(self._limit)
        self._limit = None
        if self._retry is not None:
            self._parts.retries.note_sent(self._retry)
            self._retry = self._retry_cause = None

    def release_limit(self) -> None:
        """Return the permit of an attempt that was not sent."""
        grant, self._limit = self._limit, None
        if grant is not None:
            self._parts.limits.release(grant)

    def release(self) -> None:
        """Return what was not used."""
        self.release_limit()
        self.release_spare_retry()
        grant, self._retry = self._retry, None
        if grant is not None:
            self._parts.retries.release(grant)

    def release_spare_retry(self) -> None:
        """Return the retry of an attempt that will not be needed."""
        grant, self._spare_retry = self._spare_retry, None
        if grant is not None:
            self._parts.retries.release(grant)
