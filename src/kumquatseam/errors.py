"""The typed failures of kumquatseam.

Every failure the system reports is one of these classes; no failure travels
as a bare string, map or tuple. Where several parts fail together (for example
when closing the daemon) they are raised as an :class:`ExceptionGroup` of these.
"""

import attrs


class KumquatseamError(Exception):
    """Base class of every failure raised by kumquatseam."""


@attrs.define(frozen=True, eq=False)
class SettingsError(KumquatseamError):
    """A setting is missing, malformed or refers to something unknown.

    :param path: the INI file read, or ``"<embedded default>"``.
    :param section: the INI section, e.g. ``"team:zarszamadas-pecs"``.
    :param key: the key inside the section, or ``""`` for the section itself.
    :param reason: what is wrong, in one short sentence.
    """

    path: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        where = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"settings: {self.path} {where}: {self.reason}"


@attrs.define(frozen=True, eq=False)
class CallerError(KumquatseamError):
    """A caller's request cannot be served; nothing was run for it.

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
class NoUpstreamError(KumquatseamError):
    """No live engine may serve this team and model; nothing was run.

    :param team: the caller's team.
    :param model: the requested model name.
    """

    team: str
    model: str

    def __str__(self) -> str:
        return f"routing: no live engine for team {self.team} model {self.model}"


@attrs.define(frozen=True, eq=False)
class OverloadedError(KumquatseamError):
    """Every engine that may serve this class is too busy; nothing was run.

    :param team: the caller's team.
    :param priority_class: the class that is shed.
    :param retry_after_s: when to come back, in seconds.
    """

    team: str
    priority_class: str
    retry_after_s: float

    def __str__(self) -> str:
        return f"routing: class {self.priority_class} of team {self.team} is shed"


@attrs.define(frozen=True, eq=False)
class UpstreamError(KumquatseamError):
    """An engine failed while serving a request.

    :param upstream: the engine's name from the settings.
    :param started: ``True`` if the engine may have begun the work (an answer
        began, or the request was sent and the connection then broke);
        ``False`` only when it provably never received the request.
    :param detail: a short sentence on what failed.
    """

    upstream: str
    started: bool
    detail: str

    def __str__(self) -> str:
        ran = "may have run" if self.started else "not run"
        return f"engines: {self.upstream} failed ({ran}): {self.detail}"


@attrs.define(frozen=True, eq=False)
class EngineMismatchError(KumquatseamError):
    """An engine runs other weights, or is in another life, than expected.

    It refused the request before running it.

    :param upstream: the engine's name.
    :param epoch: the life it is in, if it said.
    :param version: the weights of the model asked for, if it said.
    """

    upstream: str
    epoch: str | None
    version: str | None

    def __str__(self) -> str:
        return (
            f"engines: {self.upstream} is in epoch {self.epoch} "
            f"with version {self.version}"
        )


@attrs.define(frozen=True, eq=False)
class RetryBudgetError(KumquatseamError):
    """The budget of retries is spent; the request goes nowhere else.

    :param upstream: the engine that failed last.
    :param started: whether any engine may have begun the work.
    """

    upstream: str
    started: bool

    def __str__(self) -> str:
        ran = "may have run" if self.started else "not run"
        return f"admission: retry budget spent after {self.upstream} ({ran})"


@attrs.define(frozen=True, eq=False)
class TeamLimitError(KumquatseamError):
    """A team has as many requests running as it may; nothing was run.

    :param team: the team's name.
    :param max_running: this router's share of the team's limit.
    :param retry_after_s: when to come back, in seconds.
    """

    team: str
    max_running: int
    retry_after_s: float

    def __str__(self) -> str:
        return f"admission: team {self.team} already runs {self.max_running} requests"


@attrs.define(frozen=True, eq=False)
class AlreadyClaimedError(KumquatseamError):
    """A request that must run at most once was claimed before.

    It may have run, or be running, under the earlier claim.

    :param key: the caller's idempotency key.
    :param request_id: the request that holds the claim.
    """

    key: str
    request_id: str

    def __str__(self) -> str:
        return f"idempotency: key {self.key!r} is claimed by {self.request_id}"


@attrs.define(frozen=True, eq=False)
class ClaimUnavailableError(KumquatseamError):
    """A claim could not be recorded, so the request was not run.

    :param key: the caller's idempotency key.
    :param detail: why the log did not take it.
    """

    key: str
    detail: str

    def __str__(self) -> str:
        return f"idempotency: cannot claim {self.key!r}: {self.detail}"


@attrs.define(frozen=True, eq=False)
class CodecError(KumquatseamError):
    """A message between our processes could not be decoded.

    :param kind: the message kind expected or found.
    :param detail: what was wrong with it.
    """

    kind: str
    detail: str

    def __str__(self) -> str:
        return f"codec: cannot decode {self.kind}: {self.detail}"
