"""Client of the engines' OpenAI-compatible completions endpoint."""

import abc
import json
from collections.abc import Iterator

import attrs
import sseclient
import urllib3

from kumquatseam.clocks import elapsed_s
from kumquatseam.pools import AddressPools
from kumquatseam.request_errors import EngineMismatchError, UpstreamError
from kumquatseam.response_limits import ResponseLimits
from kumquatseam.upstreams import (
    LimitObserver,
    NullLimitObserver,
    parse_limit,
    parse_rest,
)

_ID_HEADER = "X-Request-Id"
_DONE = "[DONE]"
_OK = 200
_UNAVAILABLE = 503
_MISDIRECTED = 421
_SERVER_ERRORS = range(500, 600)
#: size of a response beside its tokens, and for each token: an event holds one or more.
_BASE_BYTES = 65_536
_BYTES_PER_TOKEN = 4096
#: size of one event, which is held until it is complete.
_MAX_EVENT_BYTES = 65_536
#: ends of an event.
_EVENT_ENDS = (b"\n\n", b"\r\r", b"\r\n\r\n")
#: response header of a refused request that was not run.
NOT_EXECUTED_HEADER = "X-Not-Executed"
#: response headers of a refused request: the engine's epoch and weights version.
EPOCH_HEADER = "X-Engine-Epoch"
VERSION_HEADER = "X-Model-Version"
#: response header with the requests a second that the engine accepts from all routers
#: together, for as long as its responses have it.
LIMIT_HEADER = "X-Request-Limit"


@attrs.frozen
class EngineChunk:
    """One chunk of an engine's streamed response.

    :param text: generated text of this chunk (may be empty).
    :param finish_reason: ``None`` until the last text, then e.g. ``"length"``.
    :param prompt_tokens: set on the final usage chunk, else ``None``.
    :param cached_tokens: prompt tokens served from the engine's cache; set on the
        usage chunk if the engine sends it.
    :param completion_tokens: generated tokens, set on the usage chunk.
    :param software: the version of the software that wrote it; empty if the engine
        states none.
    """

    text: str
    finish_reason: str | None = None
    prompt_tokens: int | None = None
    cached_tokens: int | None = None
    completion_tokens: int | None = None
    software: str = ""


@attrs.frozen
class EngineRequest:
    """A completion request from the router to an engine.

    :param request_id: id given by the router; the engine returns it in its chunks.
    :param model: the model's name.
    :param prompt: the full prompt text.
    :param max_tokens: maximum number of tokens to generate.
    :param cache_salt: scopes cached blocks to a team and weights version.
    :param priority_rank: ``0`` is the most urgent.
    :param expected_version: if set, the engine refuses the request if it runs
        other weights.
    :param expected_epoch: if set, the engine refuses the request if its epoch
        differs.
    :param resume_after_tokens: tokens of the same response that the caller
        already received; the engine continues after them.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    cache_salt: str
    priority_rank: int
    expected_version: str | None = None
    expected_epoch: str | None = None
    resume_after_tokens: int = 0


@attrs.frozen
class EngineTarget:
    """Address of an engine.

    :param name: the engine's name, for error messages.
    :param url: its base URL.
    :param incarnation_id: the incarnation that is expected there.
    """

    name: str
    url: str
    incarnation_id: str = ""


class EngineClient(abc.ABC):
    """Streams completions from engines."""

    @abc.abstractmethod
    def stream(
        self, target: EngineTarget, request: EngineRequest
    ) -> Iterator[EngineChunk]:
        """Send ``request`` and yield the chunks of the response in order.

        A chunk with another request's id ends the response with an error, so
        that no caller receives the response to another request. Closing the
        iterator early closes the connection, which cancels the request.

        :raises EngineMismatchError: if the engine's weights or epoch differ from
            the expected ones; nothing was run.
        :raises UpstreamError: if the request failed; ``started=False`` only if it
            was certainly never run.
        """


class HttpEngineClient(EngineClient):
    """Streams completions over pooled HTTP connections.

    A timeout while waiting for a response drops the idle connections to that
    engine (:mod:`kumquatseam.pools`).

    :param connect_timeout_s: timeout to connect.
    :param read_timeout_s: timeout between two reads.
    :param first_byte_timeout_s: timeout until the first byte of the response.
    :param limits: the limits that engines announce.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        read_timeout_s: float,
        first_byte_timeout_s: float,
        limits: LimitObserver | None = None,
    ) -> None:
        self._timeout = urllib3.Timeout(
            connect=connect_timeout_s, read=first_byte_timeout_s
        )
        self._read_timeout_s = read_timeout_s
        self._limits = limits or NullLimitObserver()
        self._pools = AddressPools()

    def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    def close(self) -> None:
        """Close every pooled connection."""
        self._pools.close()

    def stream(
        self, target: EngineTarget, request: EngineRequest
    ) -> Iterator[EngineChunk]:
        sent_s = elapsed_s()
        try:
            response = self._pools.stream(
                "POST",
                target.url,
                "/v1/completions",
                self._response_limits(request),
                body=json.dumps(_body(request)).encode(),
                headers={
                    "Content-Type": "application/json",
                    _ID_HEADER: request.request_id,
                },
                timeout=self._timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamError(target.name, False, f"cannot connect: {error}") from (
                error
            )
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(target.name, True, f"request failed: {error}") from (
                error
            )
        finished = False
        try:
            _set_read_timeout(response, self._read_timeout_s)
            _check_id(target.name, request.request_id, response)
            if response.status != _MISDIRECTED:
                self._limits.note_rest(target.incarnation_id, rest_of(response))
                self._limits.observe(
                    target.incarnation_id,
                    parse_limit(response.headers.get(LIMIT_HEADER)),
                    sent_s,
                    is_from_run=response.status == _OK,
                )
            _check_status(target.name, response)
            yield from _chunks(target.name, request.request_id, response)
            finished = True
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise UpstreamError(
                target.name, True, f"response failed: {error}"
            ) from error
        finally:
            # A connection with an unfinished response must not return to the
            # pool: the rest would be read as the next request's response.
            if finished:
                response.release_conn()
            else:
                response.close()

    def _response_limits(self, request: EngineRequest) -> ResponseLimits:
        """Return what a response may take that comes token by token."""
        max_bytes = _BASE_BYTES + _BYTES_PER_TOKEN * request.max_tokens
        tokens_s = self._read_timeout_s * (request.max_tokens + 1)
        return ResponseLimits(max_bytes, self._timeout.read_timeout + tokens_s)


def rest_of(response) -> float | None:
    """Return the seconds of rest that a refusal asks for.

    :param response: urllib3's response.
    """
    if response.status != _UNAVAILABLE:
        return None
    headers = response.headers
    return parse_rest(headers.getlist("Retry-After"), headers.getlist("Date"))


def _body(request: EngineRequest) -> dict:
    return {
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_salt": request.cache_salt,
        "priority": request.priority_rank,
        "request_id": request.request_id,
        "expected_version": request.expected_version,
        "expected_epoch": request.expected_epoch,
        "resume_after_tokens": request.resume_after_tokens,
    }


def _set_read_timeout(response, timeout_s: float) -> None:
    """Set the timeout of further reads once the response has started."""
    connection = response.connection
    if connection is not None and connection.sock is not None:
        connection.sock.settimeout(timeout_s)


def _check_id(upstream: str, request_id: str, response) -> None:
    """Check that a response is not a late one to an earlier request.

    Engines may leave the id out.
    """
    if response.headers.get(_ID_HEADER, request_id) != request_id:
        raise UpstreamError(upstream, True, "response to another request")


def _check_status(upstream: str, response) -> None:
    if response.status == _OK:
        return
    if response.status == _MISDIRECTED:
        raise EngineMismatchError(
            upstream,
            response.headers.get(EPOCH_HEADER),
            response.headers.get(VERSION_HEADER),
        )
    not_run = NOT_EXECUTED_HEADER in response.headers
    started = response.status in _SERVER_ERRORS and not not_run
    raise UpstreamError(upstream, started, f"HTTP {response.status}")


def _chunks(upstream: str, request_id: str, response) -> Iterator[EngineChunk]:
    pieces = _bounded_events(response.stream(1024))
    for event in sseclient.SSEClient(pieces).events():
        if event.data == _DONE:
            # Read the rest of the body, so that the connection can be reused.
            response.drain_conn()
            return
        data = json.loads(event.data)
        if data.get("id", request_id) != request_id:
            raise UpstreamError(
                upstream, True, f"response to another request: {data['id']}"
            )
        yield _chunk_from(data)
    raise UpstreamError(upstream, True, "response ended before [DONE]")


def _bounded_events(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Pass on the pieces of an event stream.

    :raises ValueError: if an event is too large; its pieces would be gathered.
    """
    event_bytes = 0
    for piece in pieces:
        end = max(piece.rfind(mark) for mark in _EVENT_ENDS)
        event_bytes = len(piece) - end if end >= 0 else event_bytes + len(piece)
        if event_bytes > _MAX_EVENT_BYTES:
            raise ValueError(f"event over {_MAX_EVENT_BYTES} bytes")
        yield piece


def _chunk_from(data: dict) -> EngineChunk:
    choices = data.get("choices") or [{}]
    usage = data.get("usage") or {}
    details = usage.get("prompt_tokens_details") or {}
    return EngineChunk(
        text=choices[0].get("text", ""),
        finish_reason=choices[0].get("finish_reason"),
        prompt_tokens=usage.get("prompt_tokens"),
        cached_tokens=details.get("cached_tokens"),
        completion_tokens=usage.get("completion_tokens"),
        software=data.get("system_fingerprint") or "",
    )
