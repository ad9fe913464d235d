"""The caller interface: OpenAI-compatible HTTP served by bottle on gevent."""

import itertools
import json
import time
import uuid

import attrs
import bottle
import gevent.pool
import gevent.pywsgi

from kumquatseam.callers._calls import CompletionCall, read_call
from kumquatseam.callers._shapes import (
    SSE_DONE,
    error_body,
    sse_event,
    stream_chunk,
    usage_chunk,
    whole_answer,
)
from kumquatseam.engines import EngineClient, EngineRequest, cache_salt, tokenize
from kumquatseam.errors import CallerError, NoUpstreamError, UpstreamError
from kumquatseam.logs import part_logger
from kumquatseam.metrics import RequestFigures
from kumquatseam.routing import Router, RoutingDecision, RoutingRequest
from kumquatseam.settings import Settings

_log = part_logger("callers")

#: attempts on engines that provably never received the request.
MAX_ATTEMPTS = 2
#: how long an engine that refused a connection stays out of routing.
FAILED_ENGINE_HOLD_S = 1.0
#: seconds a caller is told to wait before asking again after "not run".
RETRY_AFTER_S = 1


class CallerInterface:
    """Serves callers and relays their requests to engines.

    :param settings: the daemon's settings.
    :param router: chooses engines.
    :param client: talks to engines.
    :param figures: records the users' measures.
    """

    def __init__(
        self,
        settings: Settings,
        router: Router,
        client: EngineClient,
        figures: RequestFigures,
    ) -> None:
        self._settings = settings
        self._router = router
        self._client = client
        self._figures = figures
        self._ids = itertools.count(1)
        self._instance = uuid.uuid4().hex[:8]
        self._server: gevent.pywsgi.WSGIServer | None = None
        self.app = bottle.Bottle()
        self.app.post("/v1/completions", callback=lambda: self._complete(chat=False))
        self.app.post(
            "/v1/chat/completions", callback=lambda: self._complete(chat=True)
        )
        self.app.get("/kumquatseam/status", callback=self._status)
        self.app.get("/health", callback=lambda: {"status": "ok"})

    @property
    def address(self) -> str:
        """The base URL callers use."""
        host, port = self._server.address[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Begin accepting callers."""
        daemon = self._settings.daemon
        # A pool, not the default spawn: only with a pool does stop() wait for
        # running handlers, which is what lets a shutdown drain.
        self._server = gevent.pywsgi.WSGIServer(
            (daemon.listen_host, daemon.listen_port),
            self.app,
            log=None,
            spawn=gevent.pool.Pool(),
        )
        self._server.start()
        _log.info("listening on {}", self.address)

    def close(self) -> None:
        """Stop accepting, let running requests finish, then stop."""
        if self._server is None:
            return
        _log.info(
            "Draining; waiting up to {} s for running requests.",
            self._settings.daemon.drain_timeout_s,
        )
        self._server.stop(timeout=self._settings.daemon.drain_timeout_s)
        self._server = None
        _log.info("Stopped.")

    def _complete(self, chat: bool):
        started_s = time.monotonic()
        request_id = f"cmpl-{self._instance}-{next(self._ids)}"
        try:
            call = read_call(
                self._settings, bottle.request.headers, bottle.request.body.read(), chat
            )
        except CallerError as error:
            _log.info(
                "request={} refused status={} code={}",
                request_id,
                error.status,
                error.code,
            )
            return _json_response(error.status, error_body(error.code, error.detail))
        _log.info(
            "request={} team={} model={} priority={} idempotency_key={} stream={}",
            request_id,
            call.team.name,
            call.model,
            call.priority_class,
            call.idempotency_key,
            call.stream,
        )
        try:
            decision, chunks = self._open(call, request_id)
        except (NoUpstreamError, UpstreamError) as error:
            return self._refuse(request_id, error)
        bottle.response.set_header("X-Request-Id", request_id)
        bottle.response.set_header("X-Kumquatseam-Upstream", decision.upstream)
        relay = self._relay(call, request_id, decision, chunks, started_s)
        if call.stream:
            bottle.response.content_type = "text/event-stream"
            bottle.response.set_header("Cache-Control", "no-cache")
            return relay
        return self._gather(call, request_id, relay)

    def _open(self, call: CompletionCall, request_id: str):
        model = self._settings.model(call.model)
        routing_request = RoutingRequest(
            request_id=request_id,
            team=call.team,
            model=call.model,
            salt=cache_salt(call.team.name, model.name, model.version),
            tokens=tuple(tokenize(call.prompt)),
        )
        engine_request = EngineRequest(
            request_id=request_id,
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            cache_salt=routing_request.salt,
            priority_rank=call.priority_rank,
        )
        excluded: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            decision = self._router.route(
                attrs.evolve(routing_request, exclude=frozenset(excluded))
            )
            url = self._settings.upstream(decision.upstream).url
            try:
                chunks = self._client.stream(decision.upstream, url, engine_request)
            except UpstreamError as error:
                if error.started or attempt == MAX_ATTEMPTS:
                    raise
                _log.info(
                    "request={} retry: {} was not reached.",
                    request_id,
                    decision.upstream,
                )
                self._router.fleet.mark_failed(
                    decision.upstream, time.monotonic(), FAILED_ENGINE_HOLD_S
                )
                excluded.add(decision.upstream)
                continue
            self._router.fleet.begin(decision.upstream)
            return decision, chunks
        raise AssertionError("unreachable")

    def _relay(
        self, call, request_id: str, decision: RoutingDecision, chunks, started_s: float
    ):
        """Yield SSE frames in the engine's order; record figures at the end."""
        ttft_s = None
        usage = None
        try:
            for chunk in chunks:
                if chunk.prompt_tokens is not None:
                    usage = chunk
                    continue
                first = ttft_s is None
                if first:
                    ttft_s = time.monotonic() - started_s
                yield sse_event(stream_chunk(call, request_id, chunk, first))
            if usage is not None and (call.include_usage or not call.stream):
                yield sse_event(usage_chunk(call, request_id, usage))
            yield SSE_DONE
        except UpstreamError as error:
            _log.warning("request={} broke: {}", request_id, error)
            yield sse_event(error_body("upstream_error", str(error), ran=True))
            return
        finally:
            self._router.fleet.end(decision.upstream)
        prompt_tokens = usage.prompt_tokens if usage else 0
        cached_tokens = usage.cached_tokens if usage else 0
        self._figures.record(ttft_s or 0.0, prompt_tokens, cached_tokens or 0)
        _log.info(
            "request={} answered engine={} prompt_tokens={} cached_tokens={} "
            "ttft_ms={:.1f}",
            request_id,
            decision.upstream,
            prompt_tokens,
            cached_tokens,
            (ttft_s or 0) * 1000,
        )

    def _gather(self, call, request_id: str, relay):
        texts = []
        finish_reason = "stop"
        usage = None
        for frame in relay:
            if frame == SSE_DONE:
                break
            data = json.loads(frame[len(b"data: ") :])
            if "error" in data:
                return _json_response(502, data)
            if "usage" in data:
                usage = data["usage"]
            for choice in data["choices"]:
                texts.append(
                    choice.get("text") or choice.get("delta", {}).get("content", "")
                )
                finish_reason = choice.get("finish_reason") or finish_reason
        return whole_answer(
            call, request_id, "".join(texts), finish_reason, usage or {}
        )

    def _refuse(self, request_id: str, error: NoUpstreamError | UpstreamError):
        ran = isinstance(error, UpstreamError) and error.started
        self._figures.record_refusal()
        _log.info(
            "request={} refused run={} reason={}",
            request_id,
            "may_have_run" if ran else "not_run",
            error,
        )
        response = _json_response(
            502 if ran else 503, error_body("upstream_unavailable", str(error), ran)
        )
        if not ran:
            response.set_header("Retry-After", str(RETRY_AFTER_S))
        return response

    def _status(self):
        now_s = time.monotonic()
        fleet = self._router.fleet
        engines = {
            name: {
                "live": fleet.is_live(name, now_s),
                "epoch": fleet.epoch(name),
                "load_requests": fleet.load_requests(name),
                "index_blocks": self._router.index.size_blocks(name),
                "lost_event_batches": self._router.index.lost_batches(name),
            }
            for name in fleet.names()
        }
        summary = self._figures.summary()
        figures = {**attrs.asdict(summary), "prefix_hit_rate": summary.prefix_hit_rate}
        return {
            "policy": self._router.policy_name,
            "engines": engines,
            "figures": figures,
        }


def _json_response(status: int, body: dict) -> bottle.HTTPResponse:
    return bottle.HTTPResponse(
        body=json.dumps(body),
        status=status,
        headers={"Content-Type": "application/json"},
    )
