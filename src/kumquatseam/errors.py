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
class CodecError(KumquatseamError):
    """A message between our processes could not be decoded.

    :param kind: the message kind expected or found.
    :param detail: what was wrong with it.
    """

    kind: str
    detail: str

    def __str__(self) -> str:
        return f"codec: cannot decode {self.kind}: {self.detail}"
