"""What an instance makes of the requests and responses that it carries for others."""

from kumquatseam.gateway._dialect import Dialect
from kumquatseam.http1 import Headers, ResponseHead
from kumquatseam.relays import TunnelTraffic
from kumquatseam.upstreams import Unavailability, UpstreamDirectory

#: for how long another instance is told not to ask for an upstream that is leaving.
LEAVING_CLOSED_S = 5.0


class GatewayTunnelTraffic(TunnelTraffic):
    """Keeps to what upstreams say to this instance, whoever sent the request.

    An upstream cannot know for whom a connection is carried, so what it says binds the
    instance that it sees.

    :param dialect: translates the platform's headers.
    :param directory: the known upstreams.
    """

    def __init__(self, dialect: Dialect, directory: UpstreamDirectory) -> None:
        self._dialect = dialect
        self._directory = directory

    def closed_for_s(self, headers: Headers) -> float:
        return self.closed_incarnation_for_s(self._incarnation(headers))

    def closed_incarnation_for_s(self, incarnation_id: str) -> float:
        """Return for how long an incarnation of an upstream wants no requests."""
        availability = self._directory.availability_of(incarnation_id)
        if availability.left_s(Unavailability.LEAVING):
            return LEAVING_CLOSED_S
        return availability.left_s(Unavailability.RESTING)

    def note_sent(self, headers: Headers) -> None:
        self._directory.note_sent(self._incarnation(headers))

    def note_response(
        self, headers: Headers, head: ResponseHead, sent_s: float
    ) -> None:
        traits = self._dialect.read_response(head)
        incarnation_id = self._incarnation(headers)
        if traits.responding_id:
            incarnation_id = self._directory.incarnation_of(traits.responding_id)
        self._directory.note_availability(incarnation_id, traits.availability)
        if not traits.is_not_run:
            availability = self._directory.availability_of(incarnation_id)
            availability.note_served(sent_s)

    def _incarnation(self, headers: Headers) -> str:
        upstream_id = self._dialect.expected_upstream(headers)
        return self._directory.incarnation_of(upstream_id)
