"""What an instance makes of the requests and responses that it carries for others."""

from kumquatseam.gateway._dialect import Dialect
from kumquatseam.http1 import Headers, ResponseHead
from kumquatseam.relays.traffic import TunnelTraffic
from kumquatseam.upstreams import UpstreamDirectory


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
        incarnation_id = self._incarnation(headers)
        return self._directory.availability_of(incarnation_id).stated_for_s

    def note_sent(self, headers: Headers) -> None:
        self._directory.note_sent(self._incarnation(headers))

    def is_answer(self, headers: Headers, head: ResponseHead) -> bool:
        # As the instance that sent the request: ``UpstreamConnection.read_head``.
        id_header = self._dialect.request_id_header
        if not head.headers.get(id_header):
            return self._dialect.read_response(head).is_not_run
        return head.headers.text(id_header) == headers.text(id_header)

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
