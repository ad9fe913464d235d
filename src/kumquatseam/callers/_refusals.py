"""HTTP responses for typed errors."""

import json

import bottle

from kumquatseam.buffers import BufferLimitError
from kumquatseam.callers._shapes import error_body
from kumquatseam.errors import KumquatseamError, OverloadedError, UpstreamsRestingError
from kumquatseam.quarantine import QuarantinedError
from kumquatseam.quotas import UpstreamLimitError
from kumquatseam.request_errors import (
    AlreadyClaimedError,
    CallerError,
    ClaimUnavailableError,
    ResponseMemoryError,
    TeamLimitError,
)
from kumquatseam.serving import may_have_run

#: ``Retry-After`` for errors that carry no delay of their own, in seconds.
RETRY_AFTER_S = 1.0
_NOT_RUN = 503
_MAY_HAVE_RUN = 502
_TOO_MANY = 429
_CONFLICT = 409
_CODES = {
    AlreadyClaimedError: "idempotency_conflict",
    ClaimUnavailableError: "claim_unavailable",
    BufferLimitError: "overloaded",
    OverloadedError: "overloaded",
    ResponseMemoryError: "response_memory",
    TeamLimitError: "team_limit",
    QuarantinedError: "quarantined",
    UpstreamLimitError: "upstream_limit",
    UpstreamsRestingError: "upstreams_resting",
}


def json_response(status: int, body: dict) -> bottle.HTTPResponse:
    """Return a JSON response."""
    headers = {"Content-Type": "application/json"}
    return bottle.HTTPResponse(body=json.dumps(body), status=status, headers=headers)


def server_error_text(response: bottle.HTTPError) -> str:
    """Return the text of an error response that the framework makes."""
    bottle.response.content_type = "application/json"
    return json.dumps(error_body(_code_of(response.status_code), response.body))


def _code_of(status: int) -> str:
    return "internal_error" if status >= 500 else "invalid_request_error"


def caller_error_response(error: CallerError) -> bottle.HTTPResponse:
    """Return the response to an invalid request."""
    return json_response(error.status, error_body(error.code, error.detail))


def failure_body(error: KumquatseamError) -> dict:
    """Return the error object for a failed request."""
    code = _CODES.get(type(error), "upstream_unavailable")
    return error_body(code, str(error), may_have_run(error))


def failure_response(error: KumquatseamError) -> bottle.HTTPResponse:
    """Return the response to a request that failed before its first token.

    Status 429 and 503 guarantee that it was not run and carry ``Retry-After``.
    """
    response = json_response(_status(error), failure_body(error))
    if not may_have_run(error):
        retry_after_s = getattr(error, "retry_after_s", RETRY_AFTER_S)
        response.set_header("Retry-After", f"{retry_after_s:g}")
    return response


def _status(error: KumquatseamError) -> int:
    if isinstance(error, AlreadyClaimedError):
        return _CONFLICT
    if may_have_run(error):
        return _MAY_HAVE_RUN
    if isinstance(error, OverloadedError | TeamLimitError):
        return _TOO_MANY
    return _NOT_RUN
