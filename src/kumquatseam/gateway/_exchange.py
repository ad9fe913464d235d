"""Sending one request to upstreams until one of them answers it."""

import math
import time
from collections.abc import Callable

import gevent

from kumquatseam.errors import OverloadedError
from kumquatseam.gateway._begin_wait import BeginWait
from kumquatseam.gateway._call import ResponseTraits, SendOptions
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import (
    CalledBackError,
    FailureHeldError,
    KeptFailureError,
    NotRunError,
    Progress,
    RunMovedError,
    StreamReading,
    WholeAnswer,
)
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.gateway._relocation import Relocation
from kumquatseam.http1 import (
    AnswerBrokenError,
    CallerLeftError,
    ConnectFailedError,
    ResponseHead,
    UpstreamConnection,
    Wait,
    encode_request,
)
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement, PlacementRequest, SentRequest
from kumquatseam.quarantine import QuarantinedError, RunPermission, RunUpstream
from kumquatseam.rollouts import MovedRun
from kumquatseam.upstreams import InFlightRequest

_log = part_logger("exchange")

#: answers up to this size are held until whole, so that one that breaks off
#: can still be asked for elsewhere or answered with a failure.
BUFFERED_BYTES = 262_144
#: refusals by upstreams after which a request stops asking further ones; each
#: refused arrival counts against the retry budget of the whole fleet.
MAX_REFUSALS = 4
#: attempts to reach an engine that a run was moved to. Each takes 0.3 s at most,
#: and callers give a silent stream up after two seconds.
MAX_UNREACHED_MOVES = 4
#: share of its time a repeatable request waits for one upstream's first byte.
FIRST_BYTE_SHARE = 0.45
#: longest silence of a stream that may go on elsewhere; clients give up at 2 s.
STREAM_SILENCE_S = 1.2
#: says of a request that it could have begun only after the bound.
CALLED_BACK = "waited on replaced weights"
#: pause before looking again for an upstream that may take a request.
RECHECK_S = 0.02
#: a request whose first event is expected later than this many times what its route
#: aims at is refused with a time to come back. Without a limit all requests of an
#: overload wait behind each other, and all are late.
MAX_WAIT_AIMS = 1.0
#: the same for a request beyond its team's quota: nobody is to wait for it.
MAX_OVER_QUOTA_AIMS = 0.5
#: and one that would wait for more than this share of its time, since reading
#: its prompt and the first events take about the rest.
MAX_WAIT_SHARE = 0.7
#: share of its time a request waits for any upstream before it is refused.
WAIT_SHARE = 0.25
#: when to come back after every upstream was busy or loading; a load of new
#: weights takes about this long.
RETRY_AFTER_S = 0.6
#: how long an upstream that refused for want of room is left out.
REFUSED_BLOCK_S = 0.1


class Exchange:
    """Serves one admitted request.

    :param parts: what serving needs (``HandlerParts``).
    :param job: the request.
    :param caller: who waits for the answer.
    :param may_keep: whether the caller's connection stays open afterwards.
    """

    def __init__(
        self, parts, job: Job, caller: CallerConnection, may_keep: Callable[[], bool]
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller = caller
        self._may_keep = may_keep
        self._progress = Progress()
        self._events = EventSplitter(job.call.resume_after)
        self._has_kept_connection = False
        self._permission = RunPermission(parts.quarantine, job.fingerprint)
        self._next_placement: Placement | None = None
        self._first_event_s: float | None = None
        self._last_event_s: float | None = None
        self._paused_since_s: float | None = None
        self._sent_s: float | None = None
        self._attempt_first_event_s: float | None = None
        self._placement: Placement | None = None
        self._sent_request: SentRequest | None = None

    @property
    def has_sent(self) -> bool:
        """Whether any of it may have reached an upstream."""
        return self._progress.has_sent

    def run(self) -> tuple[bool, str]:
        """Serve the request.

        :returns: whether the caller's connection is still in step, and the
            outcome for the metrics.
        :raises RefusedError: with the router's own answer.
        :raises CallerLeftError: if the caller closed its connection.
        """
        try:
            while True:
                outcome = self._try_once()
                if outcome is not None:
                    return outcome
        except KeptFailureError as error:
            return self._send_whole(error.answer)
        finally:
            self._permission.close()

    def _try_once(self) -> tuple[bool, str] | None:
        """Make one attempt; return ``None`` if another may follow."""
        if self._next_placement is None:
            self._ask_permission()
        placement = self._next_placement or self._place()
        self._next_placement = None
        try:
            return self._attempt(placement)
        except RunMovedError as moved:
            self._next_placement = moved.placement
        except NotRunError:
            self._after_refusal(placement)
        except FailureHeldError:
            self._after_failure(placement, "failed answer")
        except ConnectFailedError as error:
            self._after_connect_failure(placement, error)
        except AnswerBrokenError as error:
            self._after_broken(placement, error)
        except CalledBackError:
            self._after_called_back(placement)
        except CallerLeftError:
            self._note_abandoned(placement)
            raise
        return None

    # Choosing.

    def _ask_permission(self) -> None:
        """Keep upstreams from a request under which others crashed.

        :raises RefusedError: if it may not run now.
        """
        try:
            self._permission.acquire(max(0.0, self._job.remaining_s))
        except QuarantinedError as error:
            self._give_up(Reason.QUARANTINED, str(error), error.retry_after_s)

    def _place(self) -> Placement:
        """Return an upstream, waiting a little for one.

        :raises RefusedError: if none takes the request in time.
        """
        job, progress = self._job, self._progress
        give_up_s = time.monotonic() + job.remaining_s * WAIT_SHARE
        while True:
            self._check_time()
            placement = self._ask_placer()
            if placement is not None:
                return placement
            if progress.excluded and not progress.may_have_run:
                progress.excluded.clear()
            # A resumable stream may wait for an engine that just loads; whatever
            # else may have run has been tried wherever it may go.
            may_wait = not progress.may_have_run or job.route.is_resumable
            if time.monotonic() >= give_up_s or not may_wait:
                self._give_up(Reason.NO_UPSTREAM, "no upstream takes it")
            gevent.sleep(RECHECK_S)
            self._caller.check_present()

    def _ask_placer(self) -> Placement | None:
        job, progress = self._job, self._progress
        is_first = not progress.attempts and not progress.refusals
        request = PlacementRequest(
            job.call.request_id,
            job.service,
            job.team,
            job.call.model,
            job.call.prompt,
            frozenset(progress.excluded),
            progress.attempts + 1,
            self._longest_wait_s() if is_first else math.inf,
            job.remaining_s * MAX_WAIT_SHARE,
            job.table.cache_stores,
            job.call.max_output_tokens,
        )
        try:
            return self._parts.placer.place(request)
        except OverloadedError as error:
            if job.is_over_quota:
                raise RefusedError(
                    429, Reason.OVER_QUOTA, error.retry_after_s, str(error)
                ) from error
            raise RefusedError(
                503, Reason.OVERLOADED, error.retry_after_s, str(error)
            ) from error

    def _longest_wait_s(self) -> float:
        """Return how long the request may wait for its first event."""
        job = self._job
        aims = MAX_OVER_QUOTA_AIMS if job.is_over_quota else MAX_WAIT_AIMS
        aimed_s = job.route.target_latency_s * aims
        return min(aimed_s, job.remaining_s * MAX_WAIT_SHARE)

    def _check_time(self) -> None:
        if self._job.remaining_s <= 0:
            self._give_up(Reason.TIMED_OUT, "out of time")

    def _give_up(
        self, reason: Reason, detail: str, retry_after_s: float = RETRY_AFTER_S
    ) -> None:
        """End the request with what is true of it.

        :param retry_after_s: when to come back, if it has not run.
        :raises RefusedError: always.
        """
        progress = self._progress
        if progress.kept_failure is not None:
            raise KeptFailureError(progress.kept_failure)
        if progress.may_have_run or self._caller.has_answered:
            status = 504 if reason is Reason.TIMED_OUT else 502
            raise RefusedError(status, reason, detail=detail)
        raise RefusedError(503, reason, retry_after_s, detail)

    # After attempts that did not answer.

    def _after_refusal(self, placement: Placement) -> None:
        progress = self._progress
        if placement.moved_run is not None and not self._job.route.is_retryable:
            # It ran before it moved, so it cannot begin again elsewhere.
            progress.may_have_run = True
            self._give_up(Reason.BROKEN, "refused after a move")
        progress.refusals += 1
        progress.excluded.add(placement.status.upstream.incarnation_id)
        if progress.refusals >= MAX_REFUSALS:
            self._give_up(Reason.ALL_REFUSED, f"{progress.refusals} refusals")
        self._spend_retry()

    def _after_connect_failure(
        self, placement: Placement, error: ConnectFailedError
    ) -> None:
        self._parts.directory.note_connection_failure(
            placement.status, "connect failed"
        )
        self._log_failure(placement, str(error))
        if placement.moved_run is not None:
            self._after_unreached_move(placement, error)
            return
        self._progress.excluded.add(placement.status.upstream.incarnation_id)

    def _after_unreached_move(
        self, placement: Placement, error: ConnectFailedError
    ) -> None:
        """Try again to reach the engine that a run was moved to.

        Nothing was sent, but the run began where it was before: placed afresh, it
        would run twice. Its memory waits where it was copied to.
        """
        progress = self._progress
        progress.may_have_run = True
        progress.unreached_moves += 1
        if progress.unreached_moves < MAX_UNREACHED_MOVES:
            self._check_time()
            self._next_placement = placement
            return
        progress.excluded.add(placement.status.upstream.incarnation_id)
        if not self._job.route.is_resumable:
            self._give_up(Reason.BROKEN, f"not reached after a move: {error}")

    def _after_broken(self, placement: Placement, error: AnswerBrokenError) -> None:
        self._parts.directory.note_connection_failure(placement.status, "answer broken")
        self._parts.pool.drop(placement.status.upstream.address)
        self._events.drop_partial()
        upstream = self._run_upstream(placement)
        self._permission.note_interrupted(upstream, self._answering_s())
        if self._permission.is_trial:
            # Two upstreams must not crash under what was let run on one.
            self._progress.may_have_run = True
            self._log_failure(placement, error.detail)
            self._give_up(Reason.BROKEN, error.detail)
        self._after_failure(placement, error.detail)

    def _after_called_back(self, placement: Placement) -> None:
        """Go on at an engine on newer weights if the request may be repeated.

        It may just have begun, so nothing may be promised of it. Its engine takes it
        again once it runs newer weights.
        """
        self._note_abandoned(placement)
        if self._permission.is_trial:
            self._progress.may_have_run = True
            self._give_up(Reason.BROKEN, CALLED_BACK)
        self._after_unfinished(placement, CALLED_BACK)

    def _note_abandoned(self, placement: Placement) -> None:
        """Note that nobody will see how this attempt ends."""
        if self._sent_s is not None:
            upstream = self._run_upstream(placement)
            self._permission.note_abandoned(upstream, self._answering_s())

    def _answering_s(self) -> float | None:
        """Return how long the answer of this attempt came; ``None`` if it did not.

        Counted up to its last event, since its end may be noticed much later.
        """
        first_s = self._attempt_first_event_s
        return self._last_event_s - first_s if first_s is not None else None

    def _run_upstream(self, placement: Placement) -> RunUpstream:
        upstream = placement.status.upstream
        current = self._parts.directory.status(upstream.incarnation_id)
        return RunUpstream(
            upstream.incarnation_id,
            upstream.address,
            upstream.is_leaving,
            is_gone=current is None,
        )

    def _after_failure(self, placement: Placement, detail: str) -> None:
        """Go on elsewhere if the request may be repeated."""
        self._progress.excluded.add(placement.status.upstream.incarnation_id)
        self._after_unfinished(placement, detail)

    def _after_unfinished(self, placement: Placement, detail: str) -> None:
        """Go on if the request may be repeated."""
        job, progress = self._job, self._progress
        progress.may_have_run = True
        self._log_failure(placement, detail)
        self._check_time()
        can_go_on = not self._caller.has_answered or job.route.is_resumable
        if not job.route.is_retryable or not can_go_on:
            self._give_up(Reason.BROKEN, detail)
        if progress.attempts >= job.route.max_attempts:
            self._give_up(Reason.BROKEN, f"{detail}; no attempts left")
        self._spend_retry()

    def _spend_retry(self) -> None:
        if not self._parts.retry_budget(self._job.service.name).try_acquire():
            self._give_up(Reason.BUDGET_SPENT, "retry budget")

    def _log_failure(self, placement: Placement, detail: str) -> None:
        now_s = time.monotonic()
        first_s, sent_s = self._attempt_first_event_s, self._sent_s
        _log.bind(
            request=self._job.call.request_id,
            fingerprint=self._job.fingerprint,
            upstream=placement.status.upstream.incarnation_id,
            attempt=self._progress.attempts,
            remaining_s=round(self._job.remaining_s, 3),
            sent_ago_s=round(now_s - sent_s, 3) if sent_s is not None else None,
            first_event_ago_s=round(now_s - first_s, 3) if first_s else None,
            detail=detail,
        ).info("Attempt failed.")

    # One attempt.

    def _attempt(self, placement: Placement) -> tuple[bool, str]:
        address = placement.status.upstream.address
        self._sent_s = self._attempt_first_event_s = None
        self._placement = placement
        self._sent_request = None
        connection = self._parts.pool.take(address, self._job.remaining_s)
        in_flight_request = self._parts.work.begin(
            placement.request_work(self._job.remaining_s)
        )
        self._has_kept_connection = False
        try:
            return self._converse(placement, connection, in_flight_request)
        finally:
            in_flight_request.end()
            if self._sent_request is not None:
                self._sent_request.end()
            if not self._has_kept_connection:
                connection.close()

    def _converse(
        self,
        placement: Placement,
        connection: UpstreamConnection,
        in_flight_request: InFlightRequest,
    ) -> tuple[bool, str]:
        job = self._job
        if placement.moved_run is None:
            self._progress.attempts += 1
        self._sent_s = time.monotonic()
        request_bytes = self._request_bytes(placement)
        self._progress.has_sent = True
        self._permission.note_sent()
        self._sent_request = placement.note_sent()
        connection.send(request_bytes)
        wait = self._wait(placement)
        dialect = self._parts.dialect
        head = connection.read_head(
            job.call.request_id,
            dialect.request_id_header,
            wait,
            lambda head: dialect.read_response(head).is_not_run,
        )
        in_flight_request.note_answering()
        traits = dialect.read_response(head)
        self._learn(placement, head, traits)
        wait.until_s = self._body_until_s()
        if head.status != 200:
            wait.note_begun()
        if traits.is_not_run:
            self._permission.note_refused()
            self._drain(connection, wait, traits)
            raise NotRunError
        if not traits.is_signed:
            raise AnswerBrokenError(connection.address, "answer is not signed")
        if self._caller.has_answered and head.status != 200:
            raise AnswerBrokenError(connection.address, f"no resume: {head.status}")
        if job.route.is_stream and head.status == 200:
            reading = StreamReading(placement, connection, traits, in_flight_request)
            return self._pass_stream(reading, head, wait)
        return self._pass_whole(connection, head, traits, wait)

    def _request_bytes(self, placement: Placement) -> bytes:
        job = self._job
        options = SendOptions(
            upstream_id=placement.status.upstream.upstream_id,
            remaining_s=job.remaining_s,
            team=job.team.name if job.team else "",
            cache_salt=placement.salt,
            cache_source=placement.cache_source,
            cache_target=placement.cache_target,
            expected_version=placement.version,
            resume_after=self._events.last_id,
            resume_run=_run_name(placement.moved_run),
        )
        fields = self._parts.dialect.upstream_fields(job.request, options)
        request = job.request
        return encode_request(request.method, request.target, fields, request.body)

    def _wait(self, placement: Placement) -> BeginWait:
        until_s = self._job.end_s
        attempts_left = self._job.route.max_attempts - self._progress.attempts
        if self._job.route.is_retryable and attempts_left > 0:
            share_s = self._job.remaining_s * FIRST_BYTE_SHARE
            until_s = min(until_s, time.monotonic() + share_s)
        wait = BeginWait(
            until_s,
            placement.status.upstream.address,
            self._caller.socket,
            self._caller.check_present,
            placement.remaining_grace_s,
        )
        if not self._job.route.is_stream:
            # It begins long before its answer, so its beginning cannot be seen.
            wait.note_begun()
        return wait

    def _body_until_s(self) -> float:
        until_s = self._job.end_s
        if self._job.route.is_resumable:
            until_s = min(until_s, time.monotonic() + STREAM_SILENCE_S)
        return until_s

    def _learn(
        self, placement: Placement, head: ResponseHead, traits: ResponseTraits
    ) -> None:
        status, model = placement.status, self._job.call.model
        if model and traits.weights_version is not None:
            status.record_version(model, traits.weights_version, time.monotonic())
        if traits.is_not_run:
            _log.bind(
                request=self._job.call.request_id,
                upstream=status.upstream.incarnation_id,
                status=head.status,
                version=traits.weights_version,
            ).info("Refused by the upstream.")
            if traits.responding_id not in ("", status.upstream.upstream_id):
                self._parts.directory.note_address_reused(status, traits.responding_id)
            else:
                self._parts.directory.block(status, REFUSED_BLOCK_S)
            return
        self._parts.directory.note_answer(status, head.status >= 500)

    def _drain(
        self, connection: UpstreamConnection, wait: Wait, traits: ResponseTraits
    ) -> None:
        """Read a refusal's body so that the connection can be kept."""
        while connection.read_body(wait):
            pass
        self._keep(connection, traits)

    def _keep(self, connection: UpstreamConnection, traits: ResponseTraits) -> None:
        self._has_kept_connection = True
        self._parts.pool.give_back(connection, traits.keep_alive_s)

    # Passing answers on.

    def _pass_whole(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        traits: ResponseTraits,
        wait: Wait,
    ) -> tuple[bool, str]:
        body = bytearray()
        while data := connection.read_body(wait):
            body += data
            if len(body) > BUFFERED_BYTES:
                return self._pass_large(connection, head, traits, wait, bytes(body))
        self._keep(connection, traits)
        answer = WholeAnswer(head, bytes(body))
        if head.status >= 500 and self._may_try_again():
            self._progress.kept_failure = answer
            raise FailureHeldError
        return self._send_whole(answer)

    def _may_try_again(self) -> bool:
        route = self._job.route
        return route.is_retryable and self._progress.attempts < route.max_attempts

    def _send_whole(self, answer: WholeAnswer) -> tuple[bool, str]:
        """Send a whole answer of an upstream to the caller."""
        keep = self._may_keep()
        fields = self._answer_fields(answer.head, keep)
        self._caller.send_whole(answer.head.status, fields, answer.body)
        self._note_answered(answer.head.status)
        return keep, f"answered_{answer.head.status // 100}xx"

    def _pass_large(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        traits: ResponseTraits,
        wait: Wait,
        first: bytes,
    ) -> tuple[bool, str]:
        keep = self._may_keep()
        self._caller.begin_answer(
            head.status, self._answer_fields(head, keep), head.length_bytes, first
        )
        while data := connection.read_body(wait):
            self._caller.send_part(data)
        self._caller.end_answer()
        self._keep(connection, traits)
        self._note_answered(head.status)
        return keep, f"answered_{head.status // 100}xx"

    def _pass_stream(
        self, reading: "StreamReading", head: ResponseHead, wait: BeginWait
    ) -> tuple[bool, str]:
        """Pass whole events on as they come, so that it may go on elsewhere."""
        keep = self._may_keep()
        connection = reading.connection
        relocation = Relocation(self._parts, self._job, reading.placement)
        try:
            while data := connection.read_body(wait):
                wait.note_begun()
                reading.in_flight_request.note_heard()
                wait.until_s = self._body_until_s()
                self._send_events(head, keep, self._events.feed(data))
                relocation.begin_if_due()
        except AnswerBrokenError:
            self._paused_since_s = self._last_event_s
            moved = relocation.finish()
            if moved is None:
                raise
            self._events.drop_partial()
            raise RunMovedError(moved) from None
        self._send_events(head, keep, self._events.rest())
        if not self._caller.has_answered:
            self._caller.begin_answer(200, self._answer_fields(head, keep), None)
        self._caller.end_answer()
        self._keep(connection, reading.traits)
        self._note_answered(head.status)
        return keep, "answered_2xx"

    def _send_events(self, head: ResponseHead, keep: bool, data: bytes) -> None:
        if not data:
            return
        self._note_event()
        if self._caller.has_answered:
            self._caller.send_part(data)
            return
        fields = self._answer_fields(head, keep)
        self._caller.begin_answer(head.status, fields, None, data)
        self._parts.metrics.note_first_event(
            self._job.route.name, time.monotonic() - self._job.request.received_s
        )

    def _note_event(self) -> None:
        """Log how long the stream paused while it went elsewhere."""
        now_s = time.monotonic()
        if self._attempt_first_event_s is None:
            self._attempt_first_event_s = now_s
        if self._first_event_s is None:
            self._placement.note_first_event(now_s - self._sent_s)
            if self._sent_request is not None:
                self._sent_request.note_first_event()
            self._first_event_s = now_s - self._job.request.received_s
        if self._paused_since_s is not None:
            _log.bind(
                request=self._job.call.request_id,
                pause_s=round(now_s - self._paused_since_s, 3),
                went_on_s=round(now_s - self._sent_s, 3),
            ).info("Stream went on.")
            self._paused_since_s = None
        self._last_event_s = now_s

    def _answer_fields(
        self, head: ResponseHead, keep: bool
    ) -> list[tuple[bytes, bytes]]:
        fields = head.headers.forwardable_fields(frozenset())
        if not keep:
            fields.append((b"Connection", b"close"))
        return fields

    def _note_answered(self, status: int) -> None:
        self._permission.note_answered()
        _log.bind(
            request=self._job.call.request_id,
            status=status,
            attempts=self._progress.attempts,
            refusals=self._progress.refusals,
            first_event_s=self._first_event_s,
            took_s=round(time.monotonic() - self._job.request.received_s, 4),
        ).debug("Answered.")


def _run_name(moved: MovedRun | None) -> str:
    return f"{moved.source}/{moved.handle}" if moved is not None else ""
