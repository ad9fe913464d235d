"""Accepted requests that end without a complete response, and who ended them."""

import enum

import attrs

from kumquatseam.gateway._begun_response import BegunResponse


class CutBy(enum.Enum):
    """Who ended an accepted request."""

    #: its caller closed the connection.
    CALLER = "caller"
    #: its caller received slowly, and the memory was needed for others.
    SLOW_CALLER = "slow_caller"
    #: the upstream broke its response off, or did not respond properly.
    UPSTREAM = "upstream"
    #: what carried the connection to the upstream ended.
    TRANSPORT = "transport"
    #: the caller's deadline or the route's timeout passed.
    DEADLINE = "deadline"
    #: no bytes arrived from the upstream for too long.
    SILENCE = "silence"
    #: its run was moved and could not go on.
    MOVE = "move"
    #: it did not start within the grace of replaced weights.
    GRACE = "grace"
    #: this instance stopped.
    STOP = "stop"
    #: an error of the router.
    INTERNAL_ERROR = "internal_error"


@attrs.frozen
class Cut:
    """How an accepted request ended without a complete response.

    :param by: who ended it.
    :param detail: inputs of the decision.
    :param upstream: the incarnation that ran it last.
    :param version: version of the weights that it ran on, if any.
    :param attempts: how often it was sent to an upstream.
    :param begun: the response that the caller had received a part of, if any.
    :param silent_s: time since the last event of a stream, if there was one.
    """

    by: CutBy
    detail: str = ""
    upstream: str = ""
    version: int | None = None
    attempts: int = 0
    begun: BegunResponse | None = None
    silent_s: float | None = None
