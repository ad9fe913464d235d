"""Parsing and validation of callers' HTTP requests."""

import json

import attrs

from kumquatseam.request_errors import CallerError
from kumquatseam.settings import Configuration, PrioritySettings, TeamSettings

PRIORITY_HEADER = "X-Kumquatseam-Priority"
IDEMPOTENCY_HEADER = "Idempotency-Key"
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 4096


@attrs.frozen
class CompletionCall:
    """A validated completion request.

    :param team: the team its API key belongs to.
    :param model: the requested model.
    :param prompt: the prompt text (chat messages joined, see
        :func:`chat_prompt`).
    :param max_tokens: maximum number of tokens to generate.
    :param stream: stream the response as server-sent events.
    :param include_usage: send a usage chunk at the end of a stream.
    :param chat: ``True`` for ``/v1/chat/completions``.
    :param priority: the requested priority class, or the team's default.
    :param idempotency_key: the caller's key, or ``None``.
    """

    team: TeamSettings
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool
    priority: PrioritySettings
    idempotency_key: str | None


def chat_prompt(messages: list) -> str:
    """Join chat messages into one prompt, one ``role: content`` line each.

    :param messages: OpenAI-style ``[{"role": ..., "content": ...}, ...]``.
    :raises CallerError: if a message is malformed.
    """
    if not isinstance(messages, list):
        raise CallerError(400, "invalid_request_error", "messages must be a list")
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            raise CallerError(
                400, "invalid_request_error", "each message needs content"
            )
        role = message.get("role", "user")
        if not isinstance(role, str):
            raise CallerError(400, "invalid_request_error", "roles must be strings")
        lines.append(f"{role}: {message['content']}")
    return "\n".join(lines)


def read_call(
    configuration: Configuration, headers, body: bytes, chat: bool
) -> CompletionCall:
    """Validate a completion request's headers and body.

    :param configuration: the active configuration.
    :param headers: the HTTP headers (case-insensitive mapping).
    :param body: the raw JSON body.
    :param chat: whether this is the chat endpoint.
    :returns: the validated call.
    :raises CallerError: 401 for an unknown key, 400 or 404 for an invalid body.
    """
    team = read_team(configuration, headers)
    try:
        data = json.loads(body or b"{}")
    except (ValueError, RecursionError) as error:
        raise CallerError(400, "invalid_request_error", "body is not JSON") from error
    if not isinstance(data, dict):
        raise CallerError(400, "invalid_request_error", "body must be a JSON object")
    model = data.get("model")
    if not isinstance(model, str):
        raise CallerError(404, "model_not_found", "no model is named")
    if model not in team.models:
        raise CallerError(404, "model_not_found", f"no model {model!r} for your team")
    prompt = chat_prompt(data.get("messages") or []) if chat else data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise CallerError(
            400, "invalid_request_error", "prompt must be a non-empty string"
        )
    _check_text(prompt)
    stream_options = data.get("stream_options") or {}
    if not isinstance(stream_options, dict):
        raise CallerError(
            400, "invalid_request_error", "stream_options must be an object"
        )
    max_tokens = data.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(max_tokens, int) or not 0 < max_tokens <= MAX_TOKENS_LIMIT:
        raise CallerError(400, "invalid_request_error", "max_tokens out of range")
    priority_class = headers.get(PRIORITY_HEADER) or team.priority_classes[0]
    if priority_class not in team.priority_classes:
        raise CallerError(
            400, "invalid_priority", f"unknown priority {priority_class!r}"
        )
    return CompletionCall(
        team=team,
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        stream=bool(data.get("stream", False)),
        include_usage=bool(stream_options.get("include_usage")),
        chat=chat,
        priority=configuration.priority(priority_class),
        idempotency_key=headers.get(IDEMPOTENCY_HEADER),
    )


def _check_text(prompt: str) -> None:
    """Check that a prompt has an encoding: JSON can state half a surrogate pair.

    :raises CallerError: 400 if it has none.
    """
    try:
        prompt.encode()
    except UnicodeEncodeError as error:
        raise CallerError(
            400, "invalid_request_error", "prompt is not valid Unicode"
        ) from error


def read_team(configuration: Configuration, headers) -> TeamSettings:
    """Return the team that owns the API key of a request.

    :raises CallerError: 401 for an unknown key.
    """
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    is_bearer = scheme.lower() == "bearer"
    team = configuration.team_for_key(key.strip()) if is_bearer else None
    if team is None:
        raise CallerError(401, "invalid_api_key", "unknown API key")
    return team
