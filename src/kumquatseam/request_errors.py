"""Errors that end a request on the routers' own interface.

They are apart from :mod:`kumquatseam.errors` since a gateway does not load them.
"""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class CallerError(KumquatseamError):
    """A caller's request is invalid; it was not run.

    :param status: HTTP status code sent to the caller, e.g. ``401``.
    :param code: OpenAI-style error code, e.g. ``"invalid_api_key"``.
    :param detail: a short sentence for the caller.
    """

    status: int
    code: str
    detail: str

    def __str__(self) -> str:
        return f"callers: {self.status} {self.code}: {self.detail}"


@attrs.define(frozen=True, eq=False)
class ResponseMemoryError(KumquatseamError):
    """There is no memory for the response to a call, which has run.

    :param service: the service that responds.
    """

    service: str

    def __str__(self) -> str:
        return f"callers: no memory for a response of service {self.service}"


@attrs.define(frozen=True, eq=False)
class NoUpstreamError(KumquatseamError):
    """No live engine may serve this team and model; the request was not run.

    :param team: the caller's team.
    :param model: the requested model name.
    """

    team: str
    model: str

    def __str__(self) -> str:
        return f"routing: no live engine for team {self.team} model {self.model}"


@attrs.define(frozen=True, eq=False)
class UpstreamError(KumquatseamError):
    """An engine failed while serving a request.

    :param upstream: the engine's name from the settings.
    :param started: ``True`` if the engine may have run the request (a response
        started, or the connection failed after the request was sent); ``False``
        only if it provably did not run it.
    :param detail: what failed, in a short sentence.
    """

    upstream: str
    started: bool
    detail: str

    def __str__(self) -> str:
        ran = "may have run" if self.started else "not run"
        return f"engines: {self.upstream} failed ({ran}): {self.detail}"


@attrs.define(frozen=True, eq=False)
class EngineMismatchError(KumquatseamError):
    """An engine's weights or epoch differ from the expected ones.

    It refused the request without running it.

    :param upstream: the engine's name.
    :param epoch: its current epoch (one per engine start), if reported.
    :param version: its weights version of the requested model, if reported.
    """

    upstream: str
    epoch: str | None
    version: str | None

    def __str__(self) -> str:
        return (
            f"engines: {self.upstream} refused: it has epoch {self.epoch} "
            f"and weights version {self.version}"
        )


@attrs.define(frozen=True, eq=False)
class RetryBudgetError(KumquatseamError):
    """The retry budget is exhausted; the request is not retried.

    :param upstream: the engine that failed last.
    :param started: whether any engine may have run the request.
    """

    upstream: str
    started: bool

    def __str__(self) -> str:
        ran = "may have run" if self.started else "not run"
        return f"admission: retry budget exhausted after {self.upstream} failed ({ran})"


@attrs.define(frozen=True, eq=False)
class TeamLimitError(KumquatseamError):
    """A team is at its limit of running requests; the request was not run.

    :param team: the team's name.
    :param max_running: this router's share of the team's limit.
    :param retry_after_s: delay before a retry, in seconds.
    """

    team: str
    max_running: int
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"admission: team {self.team} is at its limit of {self.max_running} "
            "running requests"
        )


@attrs.define(frozen=True, eq=False)
class AlreadyClaimedError(KumquatseamError):
    """The idempotency key of a request is already claimed.

    The request may have run, or be running, under the earlier claim.

    :param key: the caller's idempotency key.
    :param request_id: the request that holds the claim.
    """

    key: str
    request_id: str

    def __str__(self) -> str:
        return (
            f"idempotency: key {self.key!r} is already claimed by request "
            f"{self.request_id}"
        )


@attrs.define(frozen=True, eq=False)
class ClaimUnavailableError(KumquatseamError):
    """A claim could not be recorded, so the request was not run.

    :param key: the caller's idempotency key.
    :param detail: why the claim could not be recorded.
    """

    key: str
    detail: str

    def __str__(self) -> str:
        return f"idempotency: cannot claim key {self.key!r}: {self.detail}"
