"""Forward one request: choose upstreams, retry, and pass the response on."""

import functools
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatseam.clocks import elapsed_s
from kumquatseam.gateway._call import SendOptions
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._cuts import Cut, CutBy
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._failure import FailureResponse
from kumquatseam.gateway._first_event_wait import FirstEventWait
from kumquatseam.gateway._forwarding import ResponseForwarder
from kumquatseam.gateway._grants import AttemptGrants
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import (
    BufferedFailureError,
    GraceExpiredError,
    NotRunError,
    Progress,
    RetryableFailureError,
    RunMovedError,
    UpstreamClosedError,
)
from kumquatseam.gateway._refusals import Reason
from kumquatseam.gateway._response_notes import ResponseNotes
from kumquatseam.gateway._run_guard import RunGuard
from kumquatseam.gateway._upstream_choice import UpstreamChoice
from kumquatseam.gateway._upstream_response import UpstreamResponse
from kumquatseam.http1 import (
    CallerDisconnectedError,
    ConnectFailedError,
    RequestUnsentError,
    ResponseHead,
    ResponseInterruptedError,
    UpstreamConnection,
    encode_request,
)
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement, SentRequest
from kumquatseam.quarantine import QuarantinedError
from kumquatseam.rollouts import MovedRun
from kumquatseam.upstreams import (
    STATED_REASONS,
    InFlightRequest,
    Unavailability,
)

if TYPE_CHECKING:
    from kumquatseam.gateway._failed_attempts import FailedAttempts
    from kumquatseam.gateway._stopped_run import StoppedRun

_log = part_logger("exchange")

#: ends of an attempt after which its upstream has not begun to run the request.
NOT_BEGUN_ERRORS = (
    NotRunError,
    ConnectFailedError,
    RequestUnsentError,
    UpstreamClosedError,
)
#: status of an upstream that is not the expected one, or not on the expected weights.
MISDIRECTED = 421
#: share of its remaining time that a retryable request waits for the first byte of
#: one upstream.
FIRST_BYTE_TIMEOUT_SHARE = 0.45


class Exchange:
    """Forwards one admitted request, with retries, and sends the response.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller: connection to the caller.
    :param may_keep_alive: whether the caller's connection stays open afterwards.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller = caller
        self._progress = Progress()
        self._events = EventSplitter(job.call.resume_after)
        self._times = EventTimes(job.request.received_s)
        self._guard = RunGuard(parts, job, self._times)
        self._permission = self._guard.permission
        self._continuation = Continuation(parts, job)
        self._forwarder = ResponseForwarder(
            parts,
            job,
            caller,
            may_keep_alive,
            self._events,
            self._times,
            self._continuation,
            self._guard,
        )
        self._notes = ResponseNotes(parts, job, self._times)
        #: the run that a move stopped, until an engine goes on with it.
        self._stopped_run: StoppedRun | None = None
        #: the upstream of the last attempt.
        self._placement: Placement | None = None
        self._grants = AttemptGrants(parts, job)
        self._failure = FailureResponse(
            parts, job, caller, self._progress, self._continuation
        )
        self._choice = UpstreamChoice(
            parts,
            job,
            caller,
            self._progress,
            self._continuation,
            self._grants,
            self._failure,
        )
        #: the time of sending for the observation of limits.
        self._sent_elapsed_s = 0.0
        self._sent_request: SentRequest | None = None
        self._response: UpstreamResponse | None = None

    @property
    def has_sent(self) -> bool:
        """Whether any byte of the request may have reached an upstream."""
        return self._progress.has_sent

    def cut(self, by: CutBy | None = None, detail: str = "") -> Cut:
        """Return how the request ended without a complete response.

        :param by: who ended it; ``None`` for whoever ended the last attempt.
        """
        placement = self._placement
        return Cut(
            by or self._progress.failed_by,
            detail,
            placement.status.upstream.incarnation_id if placement else "",
            placement.version if placement else None,
            self._progress.attempts,
            self._forwarder.begun,
            self._times.silent_s,
        )

    def run(self) -> tuple[bool, str]:
        """Serve the request.

        :returns: whether the caller's connection can carry another request, and
            the outcome for the metrics.
        :raises RefusedError: if the router itself must respond with an error.
        :raises CallerDisconnectedError: if the caller closed its connection.
        """
        try:
            while True:
                outcome = self._try_once()
                if outcome is not None:
                    return outcome
        except BufferedFailureError as error:
            keep = self._forwarder.send_buffered(error.response)
            return self._end_answered(error.response.head, keep)
        finally:
            self._permission.close()
            self._grants.release()
            if self._stopped_run is not None:
                self._stopped_run.close()

    def _try_once(self) -> tuple[bool, str] | None:
        """Make one attempt; return ``None`` if it failed and another may follow."""
        placement = self._next_placement()
        try:
            return self._attempt(placement)
        except RunMovedError as moved:
            self._take_stopped_run(moved.run)
        except NOT_BEGUN_ERRORS as error:
            if self._stopped_run is None:
                self._failures.after_not_begun(placement, error)
            else:
                self._failures.log(placement, str(error))
                self._grants.release_limit()
                if isinstance(error, NotRunError) and error.is_misdirected:
                    self._stopped_run.note_misdirected(placement)
        except RetryableFailureError as error:
            self._progress.buffered_failure = error.response
            self._failures.after_failure(placement, "server error response")
        except ResponseInterruptedError as error:
            run = self._stopped_run
            if run is not None and run.may_ask_again(placement, error, self._response):
                self._failures.log(placement, error.detail)
            else:
                self._continuation.note_broken_off()
                self._failures.after_interrupted(placement, error)
        except GraceExpiredError:
            self._failures.after_grace_expired(placement)
        except CallerDisconnectedError:
            self._guard.note_abandoned(placement)
            raise
        return None

    # Placement.

    def _next_placement(self) -> Placement:
        """Return the upstream of the next attempt.

        :raises RefusedError: if there is none.
        """
        if self._stopped_run is not None:
            self._failure.check_deadline()
            placement = self._stopped_run.next_placement(self._grants)
            if placement is not None:
                self._caller.check_connected()
                return placement
            self._give_up_run()
        self._acquire_permission()
        return self._choice.place_in_turn()

    def _take_stopped_run(self, run: "StoppedRun") -> None:
        """Go on with a run that a move stopped."""
        self._progress.may_have_run = True
        self._stopped_run = run
        run.hand_over_grants(self._grants)

    def _give_up_run(self) -> None:
        """Go on without the memory of a run that no engine goes on with.

        :raises RefusedError: if it must not be restarted.
        """
        run, self._stopped_run = self._stopped_run, None
        run.close()
        self._failures.after_run_given_up(run.is_unanswered)

    def _acquire_permission(self) -> None:
        """Get the quarantine's permission for the next attempt.

        Requests that crashed upstreams are held back from others.

        :raises RefusedError: if the request is quarantined.
        """
        try:
            self._guard.acquire()
        except QuarantinedError as error:
            self._failure.fail(Reason.QUARANTINED, str(error), error.retry_after_s)

    def _acquire_retry_grant(self) -> None:
        """Get a grant for the attempt that is about to be sent, if it needs one.

        :raises RefusedError: if the retry budget is used up.
        """
        if not self._grants.acquire_retry():
            self._failure.fail_for_budget()

    @functools.cached_property
    def _failures(self) -> "FailedAttempts":
        """What follows a failed attempt; loaded with the first one."""
        from kumquatseam.gateway._failed_attempts import FailedAttempts

        return FailedAttempts(
            self._parts,
            self._job,
            self._caller,
            self._progress,
            self._grants,
            self._failure,
            self._guard,
            self._events,
            self._times,
        )

    # One attempt.

    def _attempt(self, placement: Placement) -> tuple[bool, str]:
        self._placement = placement
        self._times.begin_attempt()
        self._sent_request = self._response = None
        # Counted before connecting, so that further requests are not placed there
        # meanwhile as if it had room.
        in_flight_request = self._parts.work.begin(
            placement.request_work(self._job.remaining_s)
        )
        try:
            self._acquire_retry_grant()
            connection = self._connect(placement)
        except BaseException:
            in_flight_request.end()
            raise
        try:
            self._check_open(placement)
            return self._send_and_receive(placement, connection, in_flight_request)
        finally:
            in_flight_request.end()
            if self._sent_request is not None:
                self._sent_request.end()
            if self._response is None or not self._response.is_released:
                connection.close()

    def _connect(self, placement: Placement) -> UpstreamConnection:
        """Return a connection to an upstream.

        :raises ConnectFailedError: if none can be opened.
        """
        job, run = self._job, self._stopped_run
        connection = run.take_connection(placement) if run is not None else None
        return connection or self._parts.pool.acquire(
            placement.status.upstream.address, job.remaining_s, job.call.request_id
        )

    def _check_open(self, placement: Placement) -> None:
        """Check that the upstream still wants requests, just before one is sent.

        Permissions, grants and connections take time, in which it may say that it does
        not. A moved run is continued all the same by an engine that is leaving: only
        that one has its copy.

        :raises UpstreamClosedError: if it does not, or the request would start too late
            on its weights.
        :raises RefusedError: if this instance may stop before it has ended.
        """
        self._failure.check_stop()
        reasons = STATED_REASONS
        if placement.moved_run is not None:
            reasons = tuple(r for r in reasons if r is not Unavailability.LEAVING)
        if placement.status.availability.left_s(*reasons):
            raise UpstreamClosedError(placement.status.upstream.incarnation_id)
        if not placement.can_start_in_time():
            raise UpstreamClosedError("too little time left on replaced weights")

    def _send_and_receive(
        self,
        placement: Placement,
        connection: UpstreamConnection,
        in_flight_request: InFlightRequest,
    ) -> tuple[bool, str]:
        job = self._job
        if placement.moved_run is None:
            self._progress.attempts += 1
        self._times.sent_s = time.monotonic()
        self._sent_elapsed_s = elapsed_s()
        pieces = self._request_pieces(placement)
        self._progress.has_sent = True
        self._permission.note_sent()
        self._parts.directory.note_sent(placement.status.upstream.incarnation_id)
        self._parts.limits.announced.note_sent(placement.status.upstream.incarnation_id)
        self._grants.note_sent()
        self._sent_request = placement.note_sent()
        connection.send(*pieces)
        wait = self._first_event_wait(placement)
        dialect = self._parts.dialect
        head = connection.read_head(
            job.call.request_id,
            dialect.request_id_header,
            wait,
            lambda head: dialect.read_response(head).is_not_run,
            self._forwarder.may_hold_head,
        )
        in_flight_request.note_answering()
        traits = dialect.read_response(head)
        self._notes.record(placement.status, head, traits, self._sent_elapsed_s)
        response = self._response = UpstreamResponse(
            placement,
            connection,
            head,
            traits,
            wait,
            in_flight_request,
            self._sent_request,
        )
        response.limit_silence(job)
        if head.status != 200:
            wait.note_first_event()
        if traits.is_not_run:
            self._permission.note_refused()
            self._forwarder.drain(response)
            raise NotRunError(head.status == MISDIRECTED)
        self._note_resumed()
        if not traits.is_signed:
            raise ResponseInterruptedError(connection.address, "response is not signed")
        keep = self._forwarder.forward(response, self._may_retry())
        return self._end_answered(head, keep)

    def _note_resumed(self) -> None:
        """Record that the upstream goes on with the run that a move stopped, if any."""
        run, self._stopped_run = self._stopped_run, None
        if run is not None:
            run.note_resumed()
            self._grants.release_spare_retry()

    def _may_retry(self) -> bool:
        route = self._job.route
        return route.is_retryable and self._progress.attempts < route.max_attempts

    def _request_pieces(self, placement: Placement) -> list[bytes | bytearray]:
        job, request = self._job, self._job.request
        options = SendOptions(
            upstream_id=placement.status.upstream.upstream_id,
            remaining_s=job.remaining_s,
            team=job.team.name if job.team else "",
            cache_salt=placement.salt,
            cache_source=placement.cache_source,
            cache_target=placement.cache_target,
            expected_version=placement.version,
            resume_after=self._events.last_id,
            resume_run=_resume_run_id(placement.moved_run),
        )
        fields = self._parts.dialect.upstream_fields(request, options)
        return encode_request(request.method, request.target, fields, request.body)

    def _first_event_wait(self, placement: Placement) -> FirstEventWait:
        until_s = self._job.end_s
        if self._may_retry():
            share_s = self._job.remaining_s * FIRST_BYTE_TIMEOUT_SHARE
            until_s = min(until_s, time.monotonic() + share_s)
        wait = FirstEventWait(
            until_s,
            placement.status.upstream.address,
            self._caller.socket,
            self._caller.check_connected,
            placement.remaining_grace_s,
        )
        if not self._job.route.is_stream:
            # It starts long before its response, so its start cannot be observed.
            wait.note_first_event()
        return wait

    def _end_answered(self, head: ResponseHead, keep: bool) -> tuple[bool, str]:
        """Record that the caller got a complete response of an upstream."""
        if head.status < 500:
            self._permission.note_answered()
        else:
            self._permission.note_refused()
        begun = self._forwarder.begun
        _log.bind(
            request=self._job.call.request_id,
            status=begun.head.status,
            begun_by=begun.upstream,
            framing=head.framing.value,
            attempts=self._progress.attempts,
            refusals=self._progress.refusals,
            first_event_s=self._times.first_event_s,
            took_s=round(time.monotonic() - self._job.request.received_s, 4),
        ).debug("Answered.")
        return keep, f"answered_{head.status // 100}xx"


def _resume_run_id(moved: MovedRun | None) -> str:
    return f"{moved.source}/{moved.handle}" if moved is not None else ""
