"""OpenAI-compatible response bodies and server-sent event framing."""

import json
import time

from kumquatseam.callers._calls import CompletionCall
from kumquatseam.engines import EngineChunk

SSE_DONE = b"data: [DONE]\n\n"


def sse_event(data: dict) -> bytes:
    """Frame one JSON object as a server-sent event."""
    return b"data: " + json.dumps(data).encode() + b"\n\n"


def usage_body(chunk: EngineChunk) -> dict:
    """Return the OpenAI ``usage`` object from the engine's usage chunk."""
    prompt = chunk.prompt_tokens or 0
    completion = chunk.completion_tokens or 0
    return {
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
        "prompt_tokens_details": {"cached_tokens": chunk.cached_tokens or 0},
    }


def stream_chunk(
    call: CompletionCall, request_id: str, chunk: EngineChunk, first: bool
) -> dict:
    """Return the streamed chunk for one text chunk of an engine."""
    if call.chat:
        delta = {"content": chunk.text}
        if first:
            delta["role"] = "assistant"
        choice = {"index": 0, "delta": delta, "finish_reason": chunk.finish_reason}
        kind = "chat.completion.chunk"
    else:
        choice = {"index": 0, "text": chunk.text, "finish_reason": chunk.finish_reason}
        kind = "text_completion"
    return _envelope(call, request_id, kind, [choice])


def usage_chunk(call: CompletionCall, request_id: str, usage: EngineChunk) -> dict:
    """Return the final streamed chunk that carries only usage."""
    kind = "chat.completion.chunk" if call.chat else "text_completion"
    body = _envelope(call, request_id, kind, [])
    body["usage"] = usage_body(usage)
    return body


def completion_body(
    call: CompletionCall, request_id: str, text: str, finish_reason: str, usage: dict
) -> dict:
    """Return the body of a response that is not streamed.

    :param usage: the OpenAI ``usage`` object, from :func:`usage_body`.
    """
    if call.chat:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        body = _envelope(call, request_id, "chat.completion", [choice])
    else:
        choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        body = _envelope(call, request_id, "text_completion", [choice])
    body["usage"] = usage
    return body


def error_body(code: str, detail: str, ran: bool | None = None) -> dict:
    """Return an OpenAI-style error object.

    :param ran: whether the request may have run; ``False`` guarantees that it did
        not. ``None`` omits the field (caller errors).
    """
    error = {"message": detail, "type": code, "code": code}
    if ran is not None:
        error["run"] = "may_have_run" if ran else "not_run"
    return {"error": error}


def _envelope(call: CompletionCall, request_id: str, kind: str, choices: list) -> dict:
    return {
        "id": request_id,
        "object": kind,
        "created": int(time.time()),
        "model": call.model,
        "choices": choices,
    }
