"""HTTP client for engines' OpenAI-compatible completions endpoint."""

import json
from collections.abc import Iterator

import attrs
import sseclient
import urllib3

from kumquatseam.errors import UpstreamError

_DONE = "[DONE]"


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
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    cache_salt: str
    priority_rank: int


class EngineClient:
    """Streams completions from engines over pooled HTTP connections.

    :param connect_timeout_s: timeout to connect.
    :param read_timeout_s: timeout between two reads.
    """

    def __init__(self, connect_timeout_s: float, read_timeout_s: float) -> None:
        self._timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        self._pool: urllib3.PoolManager | None = None

    def start(self) -> None:
        """Open the connection pool."""
        self._pool = urllib3.PoolManager(maxsize=64, block=False, retries=False)

    def close(self) -> None:
        """Close every pooled connection."""
        if self._pool is not None:
            self._pool.clear()
            self._pool = None

    def stream(
        self, upstream: str, url: str, request: EngineRequest
    ) -> Iterator[EngineChunk]:
        """Send ``request`` to the engine at ``url`` and yield its answer.

        :param upstream: the engine's name, for errors.
        :param url: the engine's base URL.
        :param request: what to run.
        :returns: an iterator of chunks in the engine's order; a piece that
            carries another request's id ends it with an error, so a crossed
            answer never reaches the wrong caller.
        :raises UpstreamError: ``started=False`` if the connection could not be
            opened; ``started=True`` for any later failure.
        """
        body = {
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "cache_salt": request.cache_salt,
            "priority": request.priority_rank,
            "request_id": request.request_id,
        }
        try:
            response = self._pool.request(
                "POST",
                f"{url}/v1/completions",
                body=json.dumps(body).encode(),
                headers={
                    "Content-Type": "application/json",
                    "X-Request-Id": request.request_id,
                },
                timeout=self._timeout,
                preload_content=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise UpstreamError(upstream, False, f"cannot connect: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(upstream, True, f"request failed: {error}") from error
        return self._chunks(upstream, request.request_id, response)

    def _chunks(
        self, upstream: str, request_id: str, response
    ) -> Iterator[EngineChunk]:
        try:
            if response.status != 200:
                raise UpstreamError(
                    upstream, response.status >= 500, f"HTTP {response.status}"
                )
            finished = False
            for event in sseclient.SSEClient(response.stream(1024)).events():
                if event.data == _DONE:
                    finished = True
                    break
                data = json.loads(event.data)
                if data.get("id", request_id) != request_id:
                    raise UpstreamError(upstream, True, f"crossed answer {data['id']}")
                yield _chunk_from(data)
            if not finished:
                raise UpstreamError(upstream, True, "answer ended before [DONE]")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise UpstreamError(upstream, True, f"answer broke: {error}") from error
        finally:
            response.release_conn()


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
