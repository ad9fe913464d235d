"""What an attempt at a request comes to, and what several have come to."""

import attrs

from kumquatseam.gateway._call import ResponseTraits
from kumquatseam.http1 import ResponseHead, UpstreamConnection
from kumquatseam.placement import Placement
from kumquatseam.upstreams import InFlightRequest


@attrs.define
class Progress:
    """What the attempts at one request have come to.

    :param attempts: upstreams it was sent to.
    :param refusals: of them, those that said that they did not run it.
    :param unreached_moves: attempts to reach the engine that a run was moved to.
    :param may_have_run: whether any of them may have run it.
    :param has_sent: whether any of it may have reached an upstream.
    :param excluded: upstreams that failed or refused it.
    :param kept_failure: an upstream's own failure, if nobody does better.
    """

    attempts: int = 0
    refusals: int = 0
    unreached_moves: int = 0
    may_have_run: bool = False
    has_sent: bool = False
    excluded: set[str] = attrs.Factory(set)
    kept_failure: "WholeAnswer | None" = None


@attrs.frozen
class WholeAnswer:
    """An answer held until whole.

    :param head: its head.
    :param body: its whole body.
    """

    head: ResponseHead
    body: bytes


@attrs.frozen
class StreamReading:
    """A stream whose head was read.

    :param placement: where it runs.
    :param connection: the connection it comes on.
    :param traits: what its head says.
    :param occupancy: its place on the upstream.
    """

    placement: Placement
    connection: UpstreamConnection
    traits: ResponseTraits
    in_flight_request: InFlightRequest


class NotRunError(Exception):
    """The upstream promised that it did not run the request."""


class CalledBackError(Exception):
    """The request may no longer begin where it waits; it may just have begun."""


class RunMovedError(Exception):
    """The run stopped where it was and goes on elsewhere.

    :param placement: where it goes on.
    """

    def __init__(self, placement: Placement) -> None:
        super().__init__()
        self.placement = placement


class FailureHeldError(Exception):
    """The upstream failed the request, and another may still serve it."""


class KeptFailureError(Exception):
    """Nobody served the request; an upstream's own failure is its answer.

    :param answer: that failure.
    """

    def __init__(self, answer: WholeAnswer) -> None:
        super().__init__()
        self.answer = answer
