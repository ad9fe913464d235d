"""What follows a failed attempt at a request; loaded with the first one."""

import time

from kumquatseam.admission import RetryCause
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._cuts import CutBy
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._failure import FailureResponse
from kumquatseam.gateway._grants import AttemptGrants
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import NotRunError, Progress
from kumquatseam.gateway._refusals import Reason
from kumquatseam.gateway._run_guard import RunGuard
from kumquatseam.http1 import (
    ConnectFailedError,
    RequestUnsentError,
    ResponseInterruptedError,
    ResponseTimeoutError,
)
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement
from kumquatseam.upstreams import Unavailability

_log = part_logger("exchange")

#: a request fails after this many upstreams refused it; each further attempt
#: counts against the retry budget of the whole fleet.
MAX_REFUSALS = 4
#: a request fails after it could not connect to any upstream this many times.
MAX_CONNECT_ROUNDS = 2
#: logged if a request did not start before the grace of replaced weights expired.
GRACE_EXPIRED_DETAIL = "not started before the grace of replaced weights expired"


class FailedAttempts:
    """Decides whether a request may be sent once more after an attempt failed.

    Each method returns if another attempt may follow, and ends the request otherwise.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller: connection to the caller.
    :param progress: what became of its attempts.
    :param grants: of the next attempt.
    :param failure: ends the request.
    :param guard: records what its attempts did to upstreams.
    :param events: the events sent so far.
    :param times: when they arrived.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller: CallerConnection,
        progress: Progress,
        grants: AttemptGrants,
        failure: FailureResponse,
        guard: RunGuard,
        events: EventSplitter,
        times: EventTimes,
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller = caller
        self._progress = progress
        self._grants = grants
        self._failure = failure
        self._guard = guard
        self._events = events
        self._times = times

    def after_not_begun(self, placement: Placement, error: Exception) -> None:
        """Choose again: the upstream has not begun to run the request."""
        match error:
            case NotRunError():
                self._after_refusal(placement)
            case ConnectFailedError():
                self._after_connect_failure(placement, error)
            case RequestUnsentError():
                self._after_unsent(placement, error)
            case _:
                self._after_closed(placement, str(error))

    def _after_refusal(self, placement: Placement) -> None:
        progress = self._progress
        progress.refusals += 1
        progress.excluded.add(placement.status.upstream.incarnation_id)
        if progress.refusals >= MAX_REFUSALS:
            self._failure.fail(Reason.ALL_REFUSED, f"{progress.refusals} refusals")
        self.consume_retry(RetryCause.REFUSED)

    def _after_connect_failure(
        self, placement: Placement, error: ConnectFailedError
    ) -> None:
        # Connecting was given the request's time at most, which may have been short.
        self._failure.check_deadline()
        if error.is_upstream_fault:
            self._parts.directory.note_connection_failure(
                placement.status, "connect failed"
            )
            self._guard.note_unreachable(placement)
        self.log(placement, str(error))
        self._grants.release_limit()
        progress = self._progress
        progress.connect_failures += 1
        upstreams = len(self._parts.directory.of_service(self._job.service.name))
        if not error.is_upstream_fault or (
            progress.connect_failures > MAX_CONNECT_ROUNDS * upstreams
        ):
            # No upstream can be reached, so the request would go round in vain.
            self._failure.fail(Reason.NO_UPSTREAM, str(error))
        self._progress.excluded.add(placement.status.upstream.incarnation_id)

    def _after_unsent(self, placement: Placement, error: RequestUnsentError) -> None:
        """Choose again: the upstream wants no requests from whoever carries them."""
        if error.for_s:
            placement.status.availability.extend(Unavailability.RESTING, error.for_s)
        self._guard.permission.note_refused()
        self._progress.attempts -= 1
        self._after_closed(placement, str(error))

    def _after_closed(self, placement: Placement, detail: str) -> None:
        """Choose again, since nothing was sent to an upstream that wants no requests.

        The placer does not choose it any more.
        """
        self.log(placement, detail)
        self._grants.release_limit()

    def after_interrupted(
        self, placement: Placement, error: ResponseInterruptedError
    ) -> None:
        """Retry if the request may run again, and note what its upstream did."""
        self._events.drop_partial()
        self._progress.failed_by = self._interrupted_by(error)
        if not error.is_upstream_fault:
            self._guard.note_abandoned(placement)
            self._retry_unless_trial(placement, error.detail)
            return
        self._parts.directory.note_connection_failure(
            placement.status, "response interrupted"
        )
        self._parts.pool.drop(placement.status.upstream.address)
        self._guard.note_interrupted(placement)
        self._retry_unless_trial(placement, error.detail)

    def _interrupted_by(self, error: ResponseInterruptedError) -> CutBy:
        if isinstance(error, ResponseTimeoutError):
            is_over = self._job.remaining_s <= 0
            return CutBy.DEADLINE if is_over else CutBy.SILENCE
        return CutBy.UPSTREAM if error.is_upstream_fault else CutBy.TRANSPORT

    def _retry_unless_trial(self, placement: Placement, detail: str) -> None:
        """Retry, except for a trial: it must not crash a second upstream."""
        if self._guard.permission.is_trial:
            self._progress.may_have_run = True
            self.log(placement, detail)
            self._failure.fail(Reason.INTERRUPTED, detail)
        self.after_failure(placement, detail)

    def after_grace_expired(self, placement: Placement) -> None:
        """Retry on an engine with newer weights if the request is retryable.

        The request may have started at the last moment, so it counts as possibly
        run. Its engine is not excluded: once it runs newer weights, it may be chosen
        again.
        """
        self._guard.note_abandoned(placement)
        self._progress.failed_by = CutBy.GRACE
        if self._guard.permission.is_trial:
            self._progress.may_have_run = True
            self._failure.fail(Reason.INTERRUPTED, GRACE_EXPIRED_DETAIL)
        self._retry_or_fail(placement, GRACE_EXPIRED_DETAIL, RetryCause.GRACE_EXPIRED)

    def after_run_given_up(self, is_unanswered: bool) -> None:
        """Retry without the memory of a run that no engine goes on with.

        :param is_unanswered: whether an engine was asked to go on and did not answer.
        """
        # That engine may have begun to go on, and broken off.
        self._progress.failed_by = CutBy.UPSTREAM if is_unanswered else CutBy.MOVE
        if not self._job.route.is_resumable:
            self._failure.fail(
                Reason.INTERRUPTED, "no engine went on with the moved run"
            )
        self.consume_retry(RetryCause.FAILED)

    def after_failure(self, placement: Placement, detail: str) -> None:
        """Retry on another upstream if the request is retryable."""
        self._progress.excluded.add(placement.status.upstream.incarnation_id)
        self._retry_or_fail(placement, detail, RetryCause.FAILED)

    def _retry_or_fail(
        self, placement: Placement, detail: str, cause: RetryCause
    ) -> None:
        """Retry, on the same upstream too, if the request is retryable.

        :raises RefusedError: if it may not be retried.
        """
        job, progress = self._job, self._progress
        progress.may_have_run = True
        self.log(placement, detail)
        self._failure.check_deadline()
        may_go_on = self._caller.phase.may_change_upstream(job.route.is_resumable)
        if not job.route.is_retryable or not may_go_on:
            self._failure.fail(Reason.INTERRUPTED, detail)
        if progress.attempts >= job.route.max_attempts:
            self._failure.fail(Reason.INTERRUPTED, f"{detail}; no attempts left")
        self.consume_retry(cause)

    def consume_retry(self, cause: RetryCause) -> None:
        """Note that the next attempt needs a grant of the service's retry budget.

        :raises RefusedError: if the budget is known to be used up.
        """
        if not self._grants.need_retry(cause) and not self._grants.acquire_retry():
            self._failure.fail_for_budget()

    def log(self, placement: Placement, detail: str) -> None:
        """Log that an attempt failed."""
        now_s = time.monotonic()
        first_s, sent_s = self._times.attempt_first_event_s, self._times.sent_s
        _log.bind(
            request=self._job.call.request_id,
            fingerprint=self._job.fingerprint,
            parts=self._job.prompt_parts.ids,
            upstream=placement.status.upstream.incarnation_id,
            attempt=self._progress.attempts,
            remaining_s=round(self._job.remaining_s, 3),
            sent_ago_s=round(now_s - sent_s, 3) if sent_s is not None else None,
            first_event_ago_s=round(now_s - first_s, 3) if first_s else None,
            detail=detail,
        ).info("Attempt failed.")
