"""End a request with an error response that tells whether it may have run."""

from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._cuts import CutBy
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import BufferedFailureError, Progress
from kumquatseam.gateway._refusals import Reason, RefusedError

#: Retry-After when all upstreams were busy or loading weights, which takes about
#: this long.
RETRY_AFTER_S = 0.6


class FailureResponse:
    """Ends one request that no upstream answers.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller: connection to the caller.
    :param progress: what became of its attempts.
    :param continuation: follows the stream over the upstreams that write it.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller: CallerConnection,
        progress: Progress,
        continuation: Continuation,
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller = caller
        self._progress = progress
        self._continuation = continuation

    def check_deadline(self) -> None:
        """End the request if its deadline has passed."""
        if self._job.remaining_s <= 0:
            self._progress.failed_by = CutBy.DEADLINE
            self.fail(Reason.TIMED_OUT, "deadline passed")

    def check_stop(self) -> None:
        """End the request if this instance may stop before its response has ended.

        One that may have run goes on for as long as it can: it would have to fail.
        """
        if self._progress.may_have_run or self._caller.phase.has_begun:
            return
        job, parts = self._job, self._parts
        allowed_s = parts.metrics.allowed_s(job.route.name)
        try:
            parts.stop.check(job.request.complete_s, job.end_s, allowed_s)
        except RefusedError as error:
            self.fail(error.reason, error.detail, error.retry_after_s)

    def fail_for_budget(self) -> None:
        """End the request for want of a retry."""
        self.fail(Reason.BUDGET_SPENT, "retry budget used up")

    def fail(
        self,
        reason: Reason,
        detail: str,
        retry_after_s: float | None = RETRY_AFTER_S,
    ) -> None:
        """End the request with a status that tells whether it may have run.

        :param retry_after_s: Retry-After value, sent if the request has not run;
            ``None`` if coming back is in vain.
        :raises BufferedFailureError: if an upstream's own error response is held, and
            no other response was started.
        :raises RefusedError: otherwise; a response that was started ends incomplete.
        """
        progress = self._progress
        has_begun = self._caller.phase.has_begun
        if progress.buffered_failure is not None and not has_begun:
            raise BufferedFailureError(progress.buffered_failure)
        if progress.may_have_run or has_begun:
            status = 504 if reason is Reason.TIMED_OUT else 502
            raise RefusedError(status, reason, detail=detail)
        if retry_after_s is not None:
            rest_s = self._parts.directory.rest_left_s(
                self._job.service.name, self._continuation.software_version
            )
            retry_after_s = max(retry_after_s, rest_s)
        raise RefusedError(503, reason, retry_after_s, detail)
