"""The response to one request, as its caller receives it."""

from collections.abc import Callable

from kumquatseam.gateway._begun_response import BegunResponse
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._outcomes import BufferedResponse
from kumquatseam.gateway._upstream_response import UpstreamResponse
from kumquatseam.http1 import ResponseHead, ResponseInterruptedError


class CallerResponse:
    """Sends the response to one request, whichever upstreams it comes from.

    :param caller: connection to the caller.
    :param may_keep_alive: whether the caller's connection stays open afterwards.
    """

    def __init__(
        self, caller: CallerConnection, may_keep_alive: Callable[[], bool]
    ) -> None:
        self._caller = caller
        self._may_keep = may_keep_alive
        #: what the caller has received a part of, if anything.
        self.begun: BegunResponse | None = None
        #: whether the caller's connection stays open, as it was told.
        self.keeps_connection = False

    def check_continues(self, response: UpstreamResponse) -> None:
        """Check that a response belongs to what its caller has received, if anything.

        :raises ResponseInterruptedError: if it does not.
        """
        mismatch = self.begun.mismatch(response.head) if self.begun else ""
        if mismatch:
            raise ResponseInterruptedError(response.connection.address, mismatch)

    def send_buffered(self, response: BufferedResponse) -> None:
        """Send a complete response."""
        fields = self._begin(response.upstream, response.head)
        self._caller.send_response(response.head.status, fields, response.body)

    def start_body(self, response: UpstreamResponse, first: bytes | bytearray) -> None:
        """Send the head of a response, and the first bytes of its body."""
        head = response.head
        fields = self._begin(response.incarnation_id, head)
        self._caller.start_response(head.status, fields, head.length_bytes, first)

    def send_body(self, data: bytes) -> None:
        """Send further bytes of a body."""
        self._caller.send_body(data)

    def send_events(self, response: UpstreamResponse, data: bytes) -> bool:
        """Send events of a stream, and its head before the first ones.

        :returns: whether the head was sent now.
        """
        if self._caller.phase.has_begun:
            self._caller.send_events(data)
            return False
        head = response.head
        fields = self._begin(response.incarnation_id, head)
        self._caller.start_events(head.status, fields, data)
        return True

    def finish(self) -> None:
        """Mark a body or a stream as complete."""
        self._caller.finish_response()

    def _begin(self, upstream: str, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Record who begins the response; return the header fields for the caller."""
        self.keeps_connection = self._may_keep()
        self.begun = BegunResponse(upstream, head)
        fields = head.headers.forwardable_fields(frozenset())
        if not self.keeps_connection:
            fields.append((b"Connection", b"close"))
        return fields
