"""Serving a completion: claim, route, send, and go on elsewhere if it breaks.

A completion may be repeated unless its caller marked it with an idempotency
key. So when an engine breaks in the middle of an answer, the request goes on
at another engine after the tokens the caller already has, and the caller
sees one complete answer. A marked request is claimed in the log first and is
sent to a second engine only if the first provably did not run it.
"""

import urllib.parse
from collections.abc import Iterator

import attrs

from kumquatseam.engines import (
    EngineChunk,
    EngineClient,
    EngineRequest,
    EngineTarget,
    tokenize,
)
from kumquatseam.errors import (
    EngineMismatchError,
    NoUpstreamError,
    RetryBudgetError,
    UpstreamError,
)
from kumquatseam.logs import part_logger
from kumquatseam.quarantine import (
    QuarantinedError,
    RunPermission,
    RunUpstream,
    fingerprint,
)
from kumquatseam.routing import Router, RoutingDecision, RoutingRequest
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._running import RunningRequest
from kumquatseam.settings import PrioritySettings, TeamSettings

_log = part_logger("serving")

#: times an engine's word on its own weights or life is taken per request.
MAX_MISMATCHES = 3
#: how long a prompt under which engines crashed is taken to run, at most.
RUN_LASTS_S = 30.0


@attrs.frozen
class Completion:
    """A completion to serve.

    :param request_id: the router's id.
    :param team: the caller's team.
    :param model: the model asked for.
    :param prompt: the prompt text.
    :param max_tokens: tokens to generate at most.
    :param priority: its class.
    :param idempotency_key: marks it as not repeatable; ``None`` otherwise.
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
        """What it has in common with its repeats."""
        return fingerprint(
            self.team.name,
            b"completion",
            self.model,
            b"%d" % self.max_tokens,
            self.prompt.encode(),
        )


@attrs.frozen
class AnswerOutcome:
    """How an answer ended, known once it is complete.

    :param upstream: the engine that completed it.
    :param attempts: engines it was sent to.
    :param usage: the engine's usage piece, or ``None``.
    """

    upstream: str
    attempts: int
    usage: EngineChunk | None


@attrs.define
class _Attempts:
    """What the attempts at one completion have come to so far."""

    upstream: str = ""
    count: int = 0
    mismatches: int = 0
    received_tokens: int = 0
    may_have_run: bool = False
    finished: bool = False
    excluded: set[str] = attrs.Factory(set)
    usage: EngineChunk | None = None
    tokens: tuple[str, ...] = ()
    first_chunk_s: float | None = None
    last_chunk_s: float = 0.0


class CompletionAnswer:
    """An answer being served: iterate its pieces, then read its outcome.

    :param pieces: the generator that serves it.
    :param attempts: what serving it has come to.
    """

    def __init__(self, pieces: Iterator[EngineChunk], attempts: _Attempts) -> None:
        self._pieces = pieces
        self._attempts = attempts
        self.outcome: AnswerOutcome | None = None

    @property
    def upstream(self) -> str:
        """The engine that serves it now."""
        return self._attempts.upstream

    def __iter__(self) -> Iterator[EngineChunk]:
        self.outcome = yield from self._pieces

    def close(self) -> None:
        """Stop serving (the caller left); the engine's work is cancelled."""
        self._pieces.close()


class CompletionServer:
    """Serves completions on engines.

    :param router: chooses engines.
    :param engines: talks to them.
    :param parts: what every request passes through.
    """

    def __init__(
        self, router: Router, engines: EngineClient, parts: ServingParts
    ) -> None:
        self._router = router
        self._engines = engines
        self._parts = parts

    def serve(self, completion: Completion) -> CompletionAnswer:
        """Return the answer to ``completion``; iterating it serves it.

        Iterating raises the typed failure that ended it, if any;
        :func:`~kumquatseam.serving.may_have_run` tells what it promises.
        """
        attempts = _Attempts()
        return CompletionAnswer(self._serve(completion, attempts), attempts)

    def _serve(self, completion: Completion, attempts: _Attempts):
        parts = self._parts
        parts.retry_budget.record_request()
        attempts.tokens = tuple(tokenize(completion.prompt))
        team, key = completion.team, completion.idempotency_key
        claimed = parts.claimed(team.name, key, completion.request_id)
        with parts.limiter.running_request(team), claimed:
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
            self._ask(permission, attempts)
            decision = self._route(completion, attempts)
            attempts.count += 1
            attempts.upstream = decision.upstream.name
            permission.note_sent()
            try:
                yield from self._attempt(completion, decision, attempts)
            except EngineMismatchError as error:
                permission.note_refused()
                self._take_mismatch(completion, decision, attempts, error)
                continue
            except UpstreamError as error:
                attempts.may_have_run |= error.started
                if attempts.finished:
                    # Every token arrived; only the end of the body is missing.
                    return self._outcome(decision, attempts)
                self._note_broken(permission, decision, attempts, error)
                self._take_failure(completion, decision, attempts, error)
                continue
            return self._outcome(decision, attempts)

    def _ask(self, permission: RunPermission, attempts: _Attempts) -> None:
        """Ask whether the completion may run now.

        :raises KumquatseamError: if it may not.
        """
        try:
            permission.acquire(RUN_LASTS_S)
        except QuarantinedError as error:
            if attempts.may_have_run:
                raise UpstreamError(attempts.upstream, True, str(error)) from error
            raise

    def _note_broken(
        self,
        permission: RunPermission,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: UpstreamError,
    ) -> None:
        """Take in how an attempt failed; its engine may have crashed.

        :raises UpstreamError: if it was on trial, which is not tried twice.
        """
        if not error.started:
            permission.note_refused()
            return
        name = decision.upstream.name
        first_s = attempts.first_chunk_s
        epoch = self._router.fleet.epoch(name)
        upstream = RunUpstream(
            f"{name}@{decision.epoch}",
            urllib.parse.urlsplit(decision.upstream.url).netloc,
            self._router.fleet.is_leaving(name),
            is_gone=epoch is not None and epoch != decision.epoch,
        )
        # Up to its last token: the end may be noticed much later.
        answering_s = attempts.last_chunk_s - first_s if first_s is not None else None
        permission.note_interrupted(upstream, answering_s)
        if permission.is_trial:
            raise error

    def _outcome(self, decision: RoutingDecision, attempts: _Attempts) -> AnswerOutcome:
        self._router.record_served(decision)
        return AnswerOutcome(decision.upstream.name, attempts.count, attempts.usage)

    def _route(self, completion: Completion, attempts: _Attempts) -> RoutingDecision:
        request = RoutingRequest(
            request_id=completion.request_id,
            team=completion.team,
            model=completion.model,
            tokens=attempts.tokens,
            priority=completion.priority,
            may_be_shed=attempts.count == 0,
            exclude=frozenset(attempts.excluded),
        )
        try:
            return self._router.route(request)
        except NoUpstreamError:
            if attempts.may_have_run:
                last = ", ".join(sorted(attempts.excluded))
                raise UpstreamError(last, True, "no engine left to go on at") from None
            raise

    def _attempt(
        self, completion: Completion, decision: RoutingDecision, attempts: _Attempts
    ):
        """Yield what one engine adds to the answer."""
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
        target = EngineTarget(name, decision.upstream.url)
        attempts.first_chunk_s = None
        self._router.fleet.add_in_flight(name, completion.priority.rank)
        chunks = self._engines.stream(target, request)
        try:
            for chunk in chunks:
                if chunk.prompt_tokens is not None:
                    attempts.usage = chunk
                    continue
                attempts.received_tokens += 1
                attempts.last_chunk_s = self._parts.clock()
                if attempts.first_chunk_s is None:
                    attempts.first_chunk_s = attempts.last_chunk_s
                attempts.finished = chunk.finish_reason is not None
                yield chunk
        finally:
            chunks.close()
            self._router.fleet.remove_in_flight(name, completion.priority.rank)

    def _take_mismatch(
        self,
        completion: Completion,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: EngineMismatchError,
    ) -> None:
        """Take the engine's word on its weights and life, then route again."""
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

    def _take_failure(
        self,
        completion: Completion,
        decision: RoutingDecision,
        attempts: _Attempts,
        error: UpstreamError,
    ) -> None:
        """Decide whether the request may go on at another engine.

        :raises KumquatseamError: if it may not.
        """
        name = decision.upstream.name
        attempts.excluded.add(name)
        self._router.fleet.mark_failed(name, self._parts.clock())
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
