"""Serving of completions: claim, route, send, and resume after failures.

A completion without an idempotency key may be retried. If an engine fails in
the middle of a response, the request is resumed on another engine after the
tokens that the caller already has, so the caller gets one complete response.
A completion with an idempotency key is first claimed in the log, and is sent to
a second engine only if the first one provably did not run it.
"""

import urllib.parse
from collections.abc import Iterable, Iterator

import attrs

from kumquatseam.engines import (
    EngineChunk,
    EngineClient,
    EngineRequest,
    EngineTarget,
    PromptTokens,
)
from kumquatseam.errors import UpstreamsRestingError
from kumquatseam.logs import part_logger
from kumquatseam.quarantine import (
    QuarantinedError,
    RunPermission,
    RunUpstream,
    fingerprint,
)
from kumquatseam.quotas import UpstreamLimitError
from kumquatseam.request_errors import (
    EngineMismatchError,
    NoUpstreamError,
    RetryBudgetError,
    UpstreamError,
)
from kumquatseam.routing import Router, RoutingDecision, RoutingRequest
from kumquatseam.serving._limits import (
    BackEnd,
    LimitedChooser,
    LimitedRequest,
    raise_if_run,
)
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._running import RunningRequest
from kumquatseam.settings import PrioritySettings, TeamSettings

_log = part_logger("serving")

#: maximum number of reroutes of one request after an engine reports other weights or
#: another epoch than expected.
MAX_MISMATCHES = 3
#: assumed maximum run time of a request that is suspected of crashing engines.
MAX_RUN_DURATION_S = 30.0


@attrs.frozen
class Completion:
    """A completion to serve.

    :param request_id: the router's id.
    :param team: the caller's team.
    :param model: the requested model.
    :param prompt: the prompt text.
    :param max_tokens: maximum number of tokens to generate.
    :param priority: its priority class.
    :param idempotency_key: the caller's key, which rules out retries of work that
        may have run; ``None`` if the request may be retried.
    """

    request_id: str
    team: TeamSettings
    model: str
    prompt: str
    max_tokens: int
    priority: PrioritySettings
    idempotency_key: str | None = None

    @property
    def fingerprint(self) -> str:
        """The fingerprint, equal for repeated sends of the same completion."""
        return fingerprint(
            self.team.name,
            b"completion",
            self.model,
            b"%d" % self.max_tokens,
            self.prompt.encode(),
        )


@attrs.frozen
class CompletionOutcome:
    """Result of a completion, known once its response is complete.

    :param upstream: the engine that completed it.
    :param attempts: number of engines it was sent to.
    :param usage: the engine's usage chunk, or ``None``.
    """

    upstream: str
    attempts: int
    usage: EngineChunk | None


@attrs.define
class _Attempts:
    """State of one completion across its attempts."""

    upstream: str = ""
    count: int = 0
    mismatches: int = 0
    received_tokens: int = 0
    #: software version that began the response; ``None`` until then.
    software: str | None = None
    may_have_run: bool = False
    finished: bool = False
    excluded: set[str] = attrs.Factory(set)
    usage: EngineChunk | None = None
    tokens: Iterable[str] = ()
    first_chunk_s: float | None = None
    last_chunk_s: float = 0.0


class CompletionResponse:
    """A response being served: iterate over its chunks, then read its outcome.

    :param chunks: the generator of chunks.
    :param attempts: the state of its attempts.
    """

    def __init__(self, chunks: Iterator[EngineChunk], attempts: _Attempts) -> None:
        self._chunks = chunks
        self._attempts = attempts
        self.outcome: CompletionOutcome | None = None

    @property
    def upstream(self) -> str:
        """The engine that currently serves it."""
        return self._attempts.upstream

    def __iter__(self) -> Iterator[EngineChunk]:
        self.outcome = yield from self._chunks

    def close(self) -> None:
        """Cancel the work on the engine (the caller disconnected)."""
        self._chunks.close()


class CompletionServer:
    """Serves completions on engines.

    :param router: chooses engines.
    :param engines: sends requests to them.
    :param parts: the dependencies shared with other servers.
    """

    def __init__(
        self, router: Router, engines: EngineClient, parts: ServingParts
    ) -> None:
        self._router = router
        self._engines = engines
        self._parts = parts
        self._chooser = LimitedChooser(parts.limits)

    def serve(self, completion: Completion) -> CompletionResponse:
        """Return the response to ``completion``; iterating over it does the work.

        Iteration raises the typed error that ended the request, if any;
        :func:`~kumquatseam.serving.may_have_run` tells whether the request may
        have run.
        """
        attempts = _Attempts()
        return CompletionResponse(self._serve(completion, attempts), attempts)

    def _serve(self, completion: Completion, attempts: _Attempts):
        parts = self._parts
        parts.retry_budget.record_request()
        attempts.tokens = PromptTokens(completion.prompt)
        team, key = completion.team, completion.idempotency_key
        claim = parts.hold_claim(team.name, key, completion.request_id)
        with parts.limiter.running_request(team), claim:
            try:
                return (yield from self._attempt_all(completion, attempts))
            finally:
                parts.running.remove(completion.request_id)

    def _attempt_all(self, completion: Completion, attempts: _Attempts):
        permission = RunPermission(self._parts.quarantine, completion.fingerprint)
        try:
            outcome = yield from self._attempt_permitted(
                completion, attempts, permission
            )
        finally:
            permission.close()
        permission.note_answered()
        return outcome

    def _attempt_permitted(
        self, completion: Completion, attempts: _Attempts, permission: RunPermission
    ):
        while True:
            self._acquire_permission(permission, attempts)
            decision = self._route(completion, attempts)
            attempts.count += 1
            attempts.upstream = decision.upstream.name
            permission.note_sent()
            try:
                yield from self._attempt(completion, decision, attempts)
            except EngineMismatchError as error:
                permission.note_refused()
                self._handle_mismatch(completion, decision, attempts, error)
                continue
            except UpstreamError as error:
                attempts.may_have_run |= error.started
                if attempts.finished:
                    # All tokens were received; only the end of the body is missing.
                    return self._outcome(decision, attempts)
                self._note_interrupted(permission, decision, attempts, error)
                self._handle_failure(completion, decision, attempts, error)
                continue
            return self._outcome(decision, attempts)

    def _acquire_permission(
        self, permission: RunPermission, attempts: _Attempts
    ) -> None:
        """Acquire permission for the next attempt from the quarantine.

        :raises KumquatseamError: if it is refused.
        """
        try:
            permission.acquire(MAX_RUN_DURATION_S)
        except QuarantinedError as error:
            if attempts.may_have_run:
                raise UpstreamError(attempts.upstream, True, str(error)) from error
            raise

    def _note_interrupted(
        self,
        permission: RunPermission,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: UpstreamError,
    ) -> None:
        """Report a failed attempt to the quarantine; the engine may have crashed.

        :raises UpstreamError: if the attempt was a trial, which is not retried.
        """
        if not error.started:
            permission.note_refused()
            return
        name = decision.upstream.name
        first_s = attempts.first_chunk_s
        epoch = self._router.fleet.epoch(name)
        upstream = RunUpstream(
            decision.incarnation_id,
            urllib.parse.urlsplit(decision.upstream.url).netloc,
            self._router.fleet.is_leaving(name),
            is_gone=epoch is not None and epoch != decision.epoch,
        )
        # Measured to the last token: the failure may be detected much later.
        answering_s = attempts.last_chunk_s - first_s if first_s is not None else None
        permission.note_interrupted(upstream, answering_s)
        if permission.is_trial:
            raise error

    def _outcome(
        self, decision: RoutingDecision, attempts: _Attempts
    ) -> CompletionOutcome:
        self._router.record_served(decision)
        return CompletionOutcome(decision.upstream.name, attempts.count, attempts.usage)

    def _route(self, completion: Completion, attempts: _Attempts) -> RoutingDecision:
        request = RoutingRequest(
            request_id=completion.request_id,
            team=completion.team,
            model=completion.model,
            tokens=attempts.tokens,
            priority=completion.priority,
            may_be_shed=attempts.count == 0,
            exclude=frozenset(attempts.excluded),
            software=attempts.software,
        )
        try:
            return self._choose(request, completion.fingerprint)
        except (UpstreamLimitError, UpstreamsRestingError) as error:
            last = ", ".join(sorted(attempts.excluded))
            raise_if_run(error, attempts.may_have_run, last)
            raise
        except NoUpstreamError:
            if attempts.may_have_run:
                last = ", ".join(sorted(attempts.excluded))
                raise UpstreamError(last, True, "no engine left to resume on") from None
            raise

    def _choose(self, request: RoutingRequest, key: str) -> RoutingDecision:
        """Choose an engine that has room for the request."""
        router = self._router
        return self._chooser.choose(
            LimitedRequest(request.request_id, key),
            lambda left_out: router.route(
                attrs.evolve(request, exclude=request.exclude.union(left_out))
            ),
            lambda decision: BackEnd(decision.upstream.name, decision.incarnation_id),
        )

    def _attempt(
        self, completion: Completion, decision: RoutingDecision, attempts: _Attempts
    ):
        """Yield the chunks that one engine adds to the response."""
        name = decision.upstream.name
        self._parts.running.put(
            RunningRequest(
                completion.request_id,
                completion.team.name,
                completion.model,
                name,
                completion.priority.name,
                self._parts.clock(),
            )
        )
        request = EngineRequest(
            request_id=completion.request_id,
            model=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            cache_salt=decision.salt,
            priority_rank=completion.priority.rank,
            expected_version=decision.version,
            expected_epoch=decision.epoch,
            resume_after_tokens=attempts.received_tokens,
        )
        target = EngineTarget(name, decision.upstream.url, decision.incarnation_id)
        attempts.first_chunk_s = None
        self._router.fleet.add_in_flight(name, completion.priority.rank)
        chunks = self._engines.stream(target, request)
        try:
            for chunk in chunks:
                if chunk.prompt_tokens is not None:
                    attempts.usage = chunk
                    continue
                self._check_software(name, chunk, attempts)
                attempts.received_tokens += 1
                attempts.last_chunk_s = self._parts.clock()
                if attempts.first_chunk_s is None:
                    attempts.first_chunk_s = attempts.last_chunk_s
                attempts.finished = chunk.finish_reason is not None
                yield chunk
        finally:
            chunks.close()
            self._router.fleet.remove_in_flight(name, completion.priority.rank)

    @staticmethod
    def _check_software(name: str, chunk: EngineChunk, attempts: _Attempts) -> None:
        """Bind the response to the software version that began it.

        :raises UpstreamError: if another one goes on with it; an engine's report may be
            older than its restart at another version.
        """
        if attempts.software is None:
            attempts.software = chunk.software
        elif chunk.software != attempts.software:
            detail = f"software {chunk.software!r} instead of {attempts.software!r}"
            raise UpstreamError(name, True, detail)

    def _handle_mismatch(
        self,
        completion: Completion,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: EngineMismatchError,
    ) -> None:
        """Record the weights and epoch that the engine reports, before rerouting."""
        name = decision.upstream.name
        attempts.mismatches += 1
        if attempts.mismatches > MAX_MISMATCHES:
            raise UpstreamError(name, attempts.may_have_run, str(error)) from error
        attempts.count -= 1
        self._router.record_mismatch(name, completion.model, error)
        _log.info(
            "request={} refused by {}: epoch={} version={}.",
            completion.request_id,
            name,
            error.epoch,
            error.version,
        )

    def _handle_failure(
        self,
        completion: Completion,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: UpstreamError,
    ) -> None:
        """Check whether the request may be retried on another engine.

        :raises KumquatseamError: if it may not.
        """
        name = decision.upstream.name
        attempts.excluded.add(name)
        self._router.fleet.mark_failed(name)
        repeatable = completion.idempotency_key is None or not attempts.may_have_run
        if not repeatable or attempts.count >= self._parts.admission.max_attempts:
            raise UpstreamError(name, attempts.may_have_run, error.detail) from error
        if not self._parts.retry_budget.try_acquire():
            raise RetryBudgetError(name, attempts.may_have_run) from error
        _log.info(
            "request={} retry attempt={} after_tokens={}: {}.",
            completion.request_id,
            attempts.count + 1,
            attempts.received_tokens,
            error,
        )
