"""HTTP client for engines' OpenAI-compatible completions endpoint."""

import abc
import json
from collections.abc import Iterator

import attrs
import sseclient
import urllib3

from kumquatseam.errors import EngineMismatchError, UpstreamError
from kumquatseam.pools import AddressPools

_DONE = "[DONE]"
_OK = 200
_MISDIRECTED = 421
_SERVER_FAULTS = range(500, 600)
#: header by which an engine says it did not run a request it refused.
NOT_EXECUTED_HEADER = "X-Not-Executed"
#: headers by which an engine that refuses a request names itself.
EPOCH_HEADER = "X-Engine-Epoch"
VERSION_HEADER = "X-Model-Version"


@attrs.frozen
class EngineChunk:
    """One piece of an engine's streamed answer.

    :param text: generated text of this piece (may be empty).
    :param finish_reason: ``None`` until the last piece, then e.g. ``"length"``.
    :param prompt_tokens: set on the usage piece at the end, else ``None``.
    :param cached_tokens: prompt tokens the engine served from its cache.
    :param completion_tokens: tokens generated, on the usage piece.
    """

    text: str
    finish_reason: str | None = None
    prompt_tokens: int | None = None
    cached_tokens: int | None = None
    completion_tokens: int | None = None


@attrs.frozen
class EngineRequest:
    """What the router asks an engine to do.

    :param request_id: the router's id, sent end to end.
    :param model: model name.
    :param prompt: the full prompt text.
    :param max_tokens: tokens to generate at most.
    :param cache_salt: scopes cached blocks to team and model version.
    :param priority_rank: ``0`` is the most urgent.
    :param expected_version: the engine refuses if it runs other weights.
    :param expected_epoch: the engine refuses if it is in another life.
    :param resume_after_tokens: tokens of the same answer the caller already
        has; the engine goes on after them.
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
    """Where an engine is.

    :param name: its name, for errors.
    :param url: its base URL.
    """

    name: str
    url: str


class EngineClient(abc.ABC):
    """Streams completions from engines."""

    @abc.abstractmethod
    def stream(
        self, target: EngineTarget, request: EngineRequest
    ) -> Iterator[EngineChunk]:
        """Send ``request`` and yield its answer in the engine's order.

        A piece that carries another request's id ends the answer with an
        error, so a crossed answer never reaches the wrong caller. Closing the
        iterator early closes the connection, which cancels the work.

        :raises EngineMismatchError: if it runs other weights or is in another
            life than expected; nothing was run.
        :raises UpstreamError: ``started=False`` only if it provably never ran.
        """


class HttpEngineClient(EngineClient):
    """Streams completions over pooled HTTP connections.

    Connections that went silent for good are dropped together
    (:mod:`kumquatseam.pools`).

    :param connect_timeout_s: timeout to connect.
    :param read_timeout_s: timeout between two reads.
    :param first_byte_timeout_s: timeout until the answer begins.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        read_timeout_s: float,
        first_byte_timeout_s: float,
    ) -> None:
        self._timeout = urllib3.Timeout(
            connect=connect_timeout_s, read=first_byte_timeout_s
        )
        self._read_timeout_s = read_timeout_s
        self._pools = AddressPools()

    def start(self) -> None:
        """Connections open as requests need them."""

    def close(self) -> None:
        """Close every pooled connection."""
        self._pools.close()

    def stream(
        self, target: EngineTarget, request: EngineRequest
    ) -> Iterator[EngineChunk]:
        try:
            response = self._pools.request(
                "POST",
                target.url,
                "/v1/completions",
                body=json.dumps(_body(request)).encode(),
                headers={
                    "Content-Type": "application/json",
                    "X-Request-Id": request.request_id,
                },
                timeout=self._timeout,
                preload_content=False,
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
            _check_status(target.name, response)
            yield from _chunks(target.name, request.request_id, response)
            finished = True
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise UpstreamError(target.name, True, f"answer broke: {error}") from error
        finally:
            # An unfinished answer must not go back to the pool: its remains
            # would be read as the next request's answer.
            if finished:
                response.release_conn()
            else:
                response.close()


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
    """Give the rest of an answer its own timeout, now that it has begun."""
    connection = response.connection
    if connection is not None and connection.sock is not None:
        connection.sock.settimeout(timeout_s)


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
    started = response.status in _SERVER_FAULTS and not not_run
    raise UpstreamError(upstream, started, f"HTTP {response.status}")


def _chunks(upstream: str, request_id: str, response) -> Iterator[EngineChunk]:
    for event in sseclient.SSEClient(response.stream(1024)).events():
        if event.data == _DONE:
            # Read to the end of the body so the connection can be reused.
            response.drain_conn()
            return
        data = json.loads(event.data)
        if data.get("id", request_id) != request_id:
            raise UpstreamError(upstream, True, f"crossed answer {data['id']}")
        yield _chunk_from(data)
    raise UpstreamError(upstream, True, "answer ended before [DONE]")


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
    )
