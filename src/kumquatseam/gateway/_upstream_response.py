"""A response of an upstream that is being read."""

import time

import attrs

from kumquatseam.gateway._call import ResponseTraits
from kumquatseam.gateway._first_event_wait import FirstEventWait
from kumquatseam.gateway._job import Job
from kumquatseam.http1 import ConnectionPool, ResponseHead, UpstreamConnection
from kumquatseam.placement import Placement, SentRequest
from kumquatseam.upstreams import InFlightRequest

#: idle timeout of a stream that can be resumed on another engine. Engines may be silent
#: for a second and go on; clients time out after 2 s.
STREAM_IDLE_TIMEOUT_S = 1.6


@attrs.define
class UpstreamResponse:
    """A response whose head was received.

    :param placement: the upstream that responds.
    :param connection: the connection it is read from.
    :param head: its status line and headers.
    :param traits: data of its head.
    :param wait: waits for its body.
    :param in_flight_request: the request as counted on the upstream.
    :param sent_request: its record for the estimate of the engine's slowdown, if any.
    """

    placement: Placement
    connection: UpstreamConnection
    head: ResponseHead
    traits: ResponseTraits
    wait: FirstEventWait
    in_flight_request: InFlightRequest
    sent_request: SentRequest | None
    is_released: bool = False

    @property
    def incarnation_id(self) -> str:
        """The incarnation that responds."""
        return self.placement.status.upstream.incarnation_id

    def limit_silence(self, job: Job) -> None:
        """Limit the wait for the next bytes, if the request can go on elsewhere."""
        self.wait.until_s = job.end_s
        if job.route.is_resumable:
            until_s = time.monotonic() + STREAM_IDLE_TIMEOUT_S
            self.wait.until_s = min(job.end_s, until_s)

    def allow_silence(self, job: Job) -> None:
        """Wait until the deadline: only this upstream can send the rest."""
        self.wait.until_s = job.end_s

    def release(self, pool: ConnectionPool) -> None:
        """Return the connection of a response that was read to its end."""
        self.is_released = True
        pool.release(self.connection, self.traits.keep_alive_s)
