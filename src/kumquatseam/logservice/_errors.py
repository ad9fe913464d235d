"""Errors of log service calls, by whether the call may have taken effect."""

import attrs

from kumquatseam.errors import KumquatseamError


class LogServiceError(KumquatseamError):
    """Base class of the errors of log service calls."""


@attrs.define(frozen=True, eq=False)
class LogUnavailableError(LogServiceError):
    """The call had no effect: the log service is unreachable or rejected it.

    :param detail: the HTTP status or connection error.
    """

    detail: str

    def __str__(self) -> str:
        return f"logservice: unavailable, the call had no effect: {self.detail}"


@attrs.define(frozen=True, eq=False)
class LogAnswerLostError(LogServiceError):
    """No usable response: the call may have taken effect, or may do so later.

    :param detail: the connection error, or what is wrong with the response.
    """

    detail: str

    def __str__(self) -> str:
        return (
            f"logservice: response lost, the call may have taken effect: {self.detail}"
        )


@attrs.define(frozen=True, eq=False)
class LogConflictError(LogServiceError):
    """A conditional append failed: the topic does not end at the given offset.

    :param topic: the topic.
    :param end_offset: the topic's current end.
    """

    topic: str
    end_offset: int

    def __str__(self) -> str:
        return f"logservice: append conflict: {self.topic} ends at {self.end_offset}"


@attrs.define(frozen=True, eq=False)
class LogRecordsExpiredError(LogServiceError):
    """The requested records are no longer in the log.

    :param topic: the topic.
    :param first_offset: the oldest offset still retained.
    """

    topic: str
    first_offset: int

    def __str__(self) -> str:
        return (
            f"logservice: records expired: {self.topic} starts at {self.first_offset}"
        )
