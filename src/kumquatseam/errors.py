"""The typed errors of kumquatseam.

Every error that the system reports is an instance of one of these classes, or of those
in :mod:`kumquatseam.request_errors`, never a bare string, map or tuple. Errors of
several components at once (for example while closing the daemon) are raised as an
:class:`ExceptionGroup`.
"""

import attrs


class KumquatseamError(Exception):
    """Base class of all errors raised by kumquatseam."""


@attrs.define(frozen=True, eq=False)
class SettingsError(KumquatseamError):
    """A setting is missing, malformed or refers to something unknown.

    :param path: the INI file, or ``"<embedded default>"``.
    :param section: the INI section, e.g. ``"team:zarszamadas-pecs"``.
    :param key: the key in the section, or ``""`` for the section itself.
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
class OverloadedError(KumquatseamError):
    """Every engine that may serve this class is overloaded; the request was not run.

    :param team: the caller's team.
    :param priority_class: the priority class that is shed.
    :param retry_after_s: delay before a retry, in seconds.
    """

    team: str
    priority_class: str
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"routing: engines overloaded; class {self.priority_class} of team "
            f"{self.team} is shed"
        )


@attrs.define(frozen=True, eq=False)
class LimitsUsedUpError(KumquatseamError):
    """Every upstream that may serve a request has used up the limit it announced.

    :param service: the service, or the model.
    :param upstreams: these upstreams.
    :param retry_after_s: time until one of them is expected to have room, in seconds.
    """

    service: str
    upstreams: tuple[str, ...]
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"routing: the limits of all {len(self.upstreams)} upstreams of "
            f"{self.service} are used up"
        )


@attrs.define(frozen=True, eq=False)
class UpstreamsRestingError(KumquatseamError):
    """Every upstream that may serve a request asked for rest.

    :param service: the service, or the model.
    :param retry_after_s: time until the first of them is used again, in seconds.
    """

    service: str
    retry_after_s: float

    def __str__(self) -> str:
        return f"routing: all upstreams of {self.service} rest"


@attrs.define(frozen=True, eq=False)
class CodecError(KumquatseamError):
    """A message between processes of this system could not be encoded or decoded.

    :param kind: the message kind or family.
    :param detail: what is wrong with it.
    """

    kind: str
    detail: str

    def __str__(self) -> str:
        return f"codec: invalid {self.kind}: {self.detail}"
