"""Headers of the platform's requests and responses."""

import math
import re

from kumquatseam.gateway import (
    Call,
    Dialect,
    MalformedCallError,
    ResponseTraits,
    SendOptions,
)
from kumquatseam.http1 import Headers, Request, ResponseHead
from kumquatseam.platform._availability import decode_availability
from kumquatseam.platform._values import MAX_COUNT
from kumquatseam.prompts import PromptChain, PromptPart
from kumquatseam.upstreams import parse_limit

_DEADLINE = b"x-deadline-ms"
_USAGE = b"x-token-usage"
_PREFIX = b"x-prompt-prefix"
_VERSION = b"x-weight-versions"
_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"
_KEY_SCHEME = "token "
#: a thousand times the longest prompts.
_MAX_TOKENS = 10**9
_TOKENS = re.compile("[0-9]{1,9}")

#: addressed to the router or set only by it, so never forwarded.
_NOT_FORWARDED = frozenset(
    (
        b"authorization",
        _DEADLINE,
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-cache-salt",
        b"x-kv-source",
        b"x-kv-target",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-from",
        b"last-event-id",
    )
)


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    request_id_header = b"x-request-id"
    retry_wait_share = 1 / 3

    def read_call(self, request: Request) -> Call:
        headers = request.headers
        request_id = headers.text(self.request_id_header)
        if not request_id:
            raise MalformedCallError("X-Request-Id", "missing")
        usage = _usage(headers)
        prompt_tokens, max_output_tokens = usage or (0, 0)
        return Call(
            request_id=request_id,
            key=_key(headers),
            deadline_s=_deadline_s(headers),
            model=headers.text(b"x-model"),
            prompt=_prompt(headers),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            states_tokens=usage is not None,
            resume_after=headers.text(b"last-event-id"),
            resumes=_resumes(headers),
        )

    def upstream_fields(
        self, request: Request, options: SendOptions
    ) -> list[tuple[bytes, bytes]]:
        fields = request.headers.forwardable_fields(_NOT_FORWARDED)
        remaining_ms = max(1, int(options.remaining_s * 1000))
        fields.append((b"X-Deadline-Ms", b"%d" % remaining_ms))
        optional = (
            (b"X-Expect-Instance", options.upstream_id),
            (b"X-Tenant", options.team),
            (b"X-Cache-Salt", options.cache_salt),
            (b"X-Kv-Source", options.cache_source),
            (b"X-Kv-Target", options.cache_target),
            (b"X-Expect-Version", options.expected_version),
            (b"X-Request-Priority", options.engine_priority),
            (b"Last-Event-Id", options.resume_after),
            (b"Kv-From", options.resume_run),
        )
        for name, value in optional:
            if value is not None and value != "":
                fields.append((name, str(value).encode("latin-1")))
        return fields

    def expected_upstream(self, headers: Headers) -> str:
        return headers.text(b"x-expect-instance")

    def read_response(self, head: ResponseHead) -> ResponseTraits:
        headers = head.headers
        is_refused = headers.get(b"x-not-executed") is not None
        return ResponseTraits(
            is_not_run=is_refused or head.status == 421,
            weights_version=_integer_or_none(headers.text(_VERSION)),
            keep_alive_s=_keep_alive_s(headers),
            is_signed=headers.get(b"x-replica-signature") is not None,
            responding_id=headers.text(b"x-replica-id") if head.status == 421 else "",
            limit_per_s=parse_limit(_text_or_none(headers, _LIMIT)),
            brittle_refusals=_number_or_none(headers.text(_BRITTLE)),
            availability=decode_availability(
                head.status, lambda name: headers.all(name.lower().encode())
            ),
        )


def _key(headers: Headers) -> str:
    value = headers.text(b"authorization")
    if value[: len(_KEY_SCHEME)].lower() == _KEY_SCHEME:
        return value[len(_KEY_SCHEME) :].strip()
    return ""


def _resumes(headers: Headers) -> tuple[str, ...]:
    """Return the different attempts that the request names."""
    if headers.get(b"resumes") is None:
        return ()
    return tuple(dict.fromkeys(filter(None, headers.all(b"resumes"))))


def _deadline_s(headers: Headers) -> float | None:
    text = headers.text(_DEADLINE)
    if not text:
        return None
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError as error:
        raise MalformedCallError("X-Deadline-Ms", f"not a number: {text!r}") from error


def _usage(headers: Headers) -> tuple[int, int] | None:
    """Return the prompt's tokens and the maximum output tokens, if stated."""
    text = headers.text(_USAGE)
    if not text:
        return None
    prompt_tokens, _, output_tokens = text.partition(",")
    try:
        usage = int(prompt_tokens), int(output_tokens or 0)
    except ValueError as error:
        raise MalformedCallError("X-Token-Usage", f"not numbers: {text!r}") from error
    if min(usage) < 0 or max(usage) > _MAX_TOKENS:
        raise MalformedCallError("X-Token-Usage", f"out of range: {text[:80]!r}")
    return usage


def _prompt(headers: Headers) -> PromptChain:
    text = headers.text(_PREFIX)
    if not text:
        return PromptChain()
    parts = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        # Not of other scripts, and not so many that sums and messages overflow.
        if not part_id or not _TOKENS.fullmatch(tokens):
            raise MalformedCallError("X-Prompt-Prefix", f"invalid entry: {entry!r}")
        parts.append(PromptPart(part_id, int(tokens)))
    return PromptChain(tuple(parts))


def _keep_alive_s(headers: Headers) -> float | None:
    for item in headers.text(b"keep-alive").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            number = _integer_or_none(value)
            return None if number is None else float(number)
    return None


def _text_or_none(headers: Headers, name: bytes) -> str | None:
    return headers.text(name) if headers.get(name) is not None else None


def _number_or_none(text: str) -> float | None:
    """Return a number that is finite and not negative."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _integer_or_none(text: str) -> int | None:
    try:
        number = int(text)
    except ValueError:
        return None
    return number if abs(number) <= MAX_COUNT else None
