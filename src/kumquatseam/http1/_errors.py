"""Errors of HTTP connections, by what they mean for the request."""

import attrs

from kumquatseam.errors import KumquatseamError


class TransportError(KumquatseamError):
    """What carries a connection to an upstream sent something invalid."""


@attrs.define(frozen=True, eq=False)
class BadRequestError(KumquatseamError):
    """A caller sent an invalid or too large request, or sent it too slowly.

    :param status: HTTP status to respond with before closing.
    :param detail: what is wrong.
    :param retry_after_s: Retry-After value, if the same request can succeed later.
    """

    status: int
    detail: str
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"http: {self.status}: {self.detail}"


@attrs.define(frozen=True, eq=False)
class IdleConnectionError(KumquatseamError):
    """A caller's connection closed or timed out between requests."""

    def __str__(self) -> str:
        return "http: connection idle or closed between requests"


@attrs.define(frozen=True, eq=False)
class CallerDisconnectedError(KumquatseamError):
    """The caller closed its connection while its request was in progress."""

    def __str__(self) -> str:
        return "http: the caller disconnected"


@attrs.define(frozen=True, eq=False)
class ConnectFailedError(KumquatseamError):
    """A connection to an upstream failed; nothing of the request was sent.

    :param address: host and port.
    :param detail: how it failed.
    :param is_upstream_fault: whether the upstream may be the cause; otherwise this
        instance has no path to any.
    """

    address: str
    detail: str
    is_upstream_fault: bool = True

    def __str__(self) -> str:
        return f"http: cannot connect to {self.address}: {self.detail}"


@attrs.define(frozen=True, eq=False)
class RequestUnsentError(KumquatseamError):
    """What carries a connection did not send a request, nor will it.

    :param address: host and port of the upstream.
    :param for_s: for how long the upstream wants no requests from there.
    """

    address: str
    for_s: float

    def __str__(self) -> str:
        return f"http: request to {self.address} not sent on the way"


@attrs.define(frozen=True, eq=False)
class ResponseInterruptedError(KumquatseamError):
    """A request was sent and no complete response received; it may have run.

    :param address: host and port.
    :param detail: how it failed.
    :param is_upstream_fault: whether the upstream may be the cause; otherwise what
        carried the connection was.
    """

    address: str
    detail: str
    is_upstream_fault: bool = True

    def __str__(self) -> str:
        return f"http: response of {self.address} interrupted: {self.detail}"


@attrs.define(frozen=True, eq=False)
class ResponseTimeoutError(ResponseInterruptedError):
    """No further bytes of a response arrived in time."""
