"""The caller interface: OpenAI-compatible HTTP served by bottle on gevent."""

import itertools
import sys
import time
import uuid
from collections.abc import Callable

import attrs
import bottle

from kumquatseam.buffers import BufferAccount, BufferLimitError
from kumquatseam.callers._calls import (
    IDEMPOTENCY_HEADER,
    CompletionCall,
    read_call,
    read_team,
)
from kumquatseam.callers._refusals import (
    caller_error_response,
    failure_body,
    failure_response,
    server_error_text,
)
from kumquatseam.callers._server import COMPLETION_COPIES, CallerServer
from kumquatseam.callers._shapes import (
    SSE_DONE,
    completion_body,
    sse_event,
    stream_chunk,
    usage_body,
    usage_chunk,
)
from kumquatseam.callers._wsgi import ACCOUNT_KEY, BODY_KEY
from kumquatseam.engines import EngineChunk
from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet import LiveConfiguration
from kumquatseam.logs import part_logger
from kumquatseam.metrics.figures import RequestStatistics
from kumquatseam.request_errors import CallerError, ResponseMemoryError
from kumquatseam.services import ServiceCall
from kumquatseam.serving import (
    Completion,
    CompletionOutcome,
    CompletionResponse,
    CompletionServer,
    RefusalLog,
    ServiceServer,
)
from kumquatseam.settings import CallerSettings, DaemonSettings

_log = part_logger("callers")
_SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]


class CallerInterface:
    """HTTP front end; the requests themselves are processed by ``serving``.

    :param daemon: the daemon's settings.
    :param settings: limits on what callers send and hold.
    :param live: the active configuration.
    :param completions: serves completions.
    :param services: serves calls to plain services.
    :param refusals: records every refusal.
    :param figures: records request metrics.
    :param read_status: returns the ``/kumquatseam/status`` object, to which this adds
        the buffers.
    """

    def __init__(
        self,
        daemon: DaemonSettings,
        settings: CallerSettings,
        live: LiveConfiguration,
        completions: CompletionServer,
        services: ServiceServer,
        refusals: RefusalLog,
        figures: RequestStatistics,
        read_status: Callable[[], dict],
    ) -> None:
        self._daemon = daemon
        self._settings = settings
        self._live = live
        self._completions = completions
        self._services = services
        self._refusals = refusals
        self._figures = figures
        self._ids = itertools.count(1)
        self._instance = uuid.uuid4().hex[:8]
        self._server: CallerServer | None = None
        self.app = bottle.Bottle()
        self.app.default_error_handler = server_error_text
        self.app.post(
            "/v1/completions", callback=lambda: self._serve_completion(chat=False)
        )
        self.app.post(
            "/v1/chat/completions", callback=lambda: self._serve_completion(chat=True)
        )
        self.app.route(
            "/services/<name>/<path:path>",
            method=_SERVICE_METHODS,
            callback=self._serve_service_call,
        )
        self.app.get(
            "/kumquatseam/status",
            callback=lambda: {**read_status(), "buffers": self._server.read_buffers()},
        )
        self.app.get("/health", callback=lambda: {"status": "ok"})

    @property
    def address(self) -> str:
        """The base URL callers use."""
        return f"http://{self._daemon.listen_host}:{self._server.port}"

    def start(self) -> None:
        """Start accepting connections."""
        self._server = CallerServer(self._daemon.listen, self.app, self._settings)
        self._server.start()
        _log.info("Listening on {}.", self.address)

    def close(self) -> None:
        """Stop accepting connections and drain running requests."""
        if self._server is None:
            return
        _log.info(
            "Draining; waiting up to {} s for running requests.",
            self._daemon.drain_timeout_s,
        )
        cut = self._server.drain(self._daemon.drain_timeout_s)
        self._server = None
        if cut:
            _log.warning("{} requests were cut: the drain timeout was over.", cut)
        _log.info("Stopped.")

    def _serve_completion(self, chat: bool):
        started_s = time.monotonic()
        request_id = f"cmpl-{self._instance}-{next(self._ids)}"
        request = bottle.request
        body = request.environ[BODY_KEY]
        try:
            call = read_call(self._live.current, request.headers, body, chat)
        except CallerError as error:
            return self._reject_call(request_id, error)
        try:
            _replace_body(request.environ[ACCOUNT_KEY], call.prompt, body)
        except BufferLimitError as error:
            return self._refuse(request_id, call.team.name, call.model, error)
        _log.info(
            "request={} team={} model={} priority={} idempotency_key={} stream={}",
            request_id,
            call.team.name,
            call.model,
            call.priority.name,
            call.idempotency_key,
            call.stream,
        )
        response = self._completions.serve(
            Completion(
                request_id=request_id,
                team=call.team,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                priority=call.priority,
                idempotency_key=call.idempotency_key,
            )
        )
        chunks = iter(response)
        try:
            first = next(chunks)
        except KumquatseamError as error:
            return self._refuse(request_id, call.team.name, call.model, error)
        self._figures.record_ttft(time.monotonic() - started_s, call.priority.name)
        bottle.response.set_header("X-Request-Id", request_id)
        bottle.response.set_header("X-Kumquatseam-Upstream", response.upstream)
        rest = itertools.chain([first], chunks)
        if not call.stream:
            return self._complete_response(call, request_id, rest, response)
        bottle.response.content_type = "text/event-stream"
        bottle.response.set_header("Cache-Control", "no-cache")
        return _ClosingStream(self._stream(call, request_id, rest, response), response)

    def _stream(self, call: CompletionCall, request_id: str, chunks, response):
        """Yield server-sent events in the order of the engine's chunks."""
        first = True
        try:
            for chunk in chunks:
                yield sse_event(stream_chunk(call, request_id, chunk, first))
                first = False
        except KumquatseamError as error:
            _log.warning("request={} response interrupted: {}", request_id, error)
            yield sse_event(failure_body(error))
            return
        usage = response.outcome.usage
        if usage is not None and call.include_usage:
            yield sse_event(usage_chunk(call, request_id, usage))
        yield SSE_DONE
        self._record(request_id, response.outcome)

    def _complete_response(
        self, call: CompletionCall, request_id: str, chunks, response
    ):
        """Return the complete response in one body."""
        try:
            received: list[EngineChunk] = list(chunks)
        except KumquatseamError as error:
            return self._refuse(request_id, call.team.name, call.model, error)
        outcome = response.outcome
        self._record(request_id, outcome)
        text = "".join(chunk.text for chunk in received)
        finish_reason = received[-1].finish_reason or "stop"
        usage = usage_body(outcome.usage) if outcome.usage else {}
        return completion_body(call, request_id, text, finish_reason, usage)

    def _serve_service_call(self, name: str, path: str):
        request_id = f"call-{self._instance}-{next(self._ids)}"
        request = bottle.request
        configuration = self._live.current
        try:
            team = read_team(configuration, request.headers)
            service = configuration.service(name)
            if service is None or name not in team.services:
                detail = f"no service {name!r} for your team"
                raise CallerError(404, "service_not_found", detail)
        except CallerError as error:
            return self._reject_call(request_id, error)
        held = _HeldResponse(name, request.environ[ACCOUNT_KEY])
        query = f"?{request.query_string}" if request.query_string else ""
        call = ServiceCall(
            request_id=request_id,
            method=request.method,
            path=path + query,
            body=request.environ[BODY_KEY],
            content_type=request.content_type or None,
            team=team.name,
            hold_response=held.hold,
        )
        key = request.headers.get(IDEMPOTENCY_HEADER)
        try:
            response = self._services.serve(team, service, call, key)
        except KumquatseamError as error:
            return self._refuse(request_id, team.name, name, error)
        headers = {"X-Request-Id": request_id}
        if response.content_type:
            headers["Content-Type"] = response.content_type
        return bottle.HTTPResponse(response.body, response.status, headers=headers)

    def _record(self, request_id: str, outcome: CompletionOutcome) -> None:
        usage = outcome.usage
        prompt_tokens = usage.prompt_tokens if usage else 0
        cached_tokens = (usage.cached_tokens if usage else 0) or 0
        self._figures.record_tokens(prompt_tokens, cached_tokens)
        _log.info(
            "request={} answered engine={} attempts={} prompt_tokens={} "
            "cached_tokens={}",
            request_id,
            outcome.upstream,
            outcome.attempts,
            prompt_tokens,
            cached_tokens,
        )

    def _reject_call(self, request_id: str, error: CallerError):
        _log.info(
            "request={} refused status={} code={}", request_id, error.status, error.code
        )
        return caller_error_response(error)

    def _refuse(self, request_id: str, team: str, target: str, error: KumquatseamError):
        refusal = self._refusals.record(request_id, team, target, error)
        self._figures.record_refusal()
        _log.info(
            "request={} refused run={} reason={}",
            request_id,
            "may_have_run" if refusal.may_have_run else "not_run",
            error,
        )
        return failure_response(error)


def _replace_body(account: BufferAccount, prompt: str, body: bytearray) -> None:
    """Let go of a completion's body, and charge what is held in its place.

    The charge for the body stays and covers one of the copies.

    :raises BufferLimitError: if there is no memory for the others.
    """
    body_bytes = len(body)
    body.clear()
    copies_bytes = (COMPLETION_COPIES - 2) * body_bytes
    account.take(sys.getsizeof(prompt) + copies_bytes)


@attrs.define
class _HeldResponse:
    """Charges a service's response to the caller for whom it is held.

    :param service: the service.
    :param account: the memory that the caller makes this process hold.
    """

    service: str
    account: BufferAccount
    _held_bytes: int = 0

    def hold(self, size_bytes: int) -> None:
        """Hold ``size_bytes`` in all.

        :raises ResponseMemoryError: if there is no memory for it.
        """
        more_bytes = max(0, size_bytes - self._held_bytes)
        try:
            self.account.take(more_bytes)
        except BufferLimitError as error:
            raise ResponseMemoryError(self.service) from error
        self._held_bytes += more_bytes


@attrs.frozen
class _ClosingStream:
    """An event stream that cancels its request when the caller disconnects."""

    frames: object
    response: CompletionResponse

    def __iter__(self):
        return iter(self.frames)

    def close(self) -> None:
        """Stop the request; called by the server when the response ends."""
        self.frames.close()
        self.response.close()
