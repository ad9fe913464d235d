"""What can go wrong with a call to the log service, by what it promises."""

import attrs

from kumquatseam.errors import KumquatseamError


class LogServiceError(KumquatseamError):
    """Base class of every failed call to the log service."""


@attrs.define(frozen=True, eq=False)
class LogUnavailableError(LogServiceError):
    """The log service did nothing: down, throttling, or unreachable.

    :param detail: what it answered.
    """

    detail: str

    def __str__(self) -> str:
        return f"logservice: unavailable, nothing was done: {self.detail}"


@attrs.define(frozen=True, eq=False)
class LogAnswerLostError(LogServiceError):
    """No answer came: the call may have taken effect, or may do so later.

    :param detail: how the connection ended.
    """

    detail: str

    def __str__(self) -> str:
        return f"logservice: answer lost, may have been done: {self.detail}"


@attrs.define(frozen=True, eq=False)
class LogConflictError(LogServiceError):
    """A conditional append came too late: the log had already moved on.

    :param topic: the topic.
    :param end_offset: where the topic ends now.
    """

    topic: str
    end_offset: int

    def __str__(self) -> str:
        return f"logservice: {self.topic} already ends at {self.end_offset}"


@attrs.define(frozen=True, eq=False)
class LogRecordsExpiredError(LogServiceError):
    """The records asked for are past the log's retention.

    :param topic: the topic.
    :param first_offset: the oldest offset still kept.
    """

    topic: str
    first_offset: int

    def __str__(self) -> str:
        return f"logservice: {self.topic} now begins at {self.first_offset}"
