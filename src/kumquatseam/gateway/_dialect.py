"""The interface for translating a platform's headers."""

import abc

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.gateway._call import Call, ResponseTraits, SendOptions
from kumquatseam.http1 import Headers, Request, ResponseHead


@attrs.define(frozen=True, eq=False)
class MalformedCallError(KumquatseamError):
    """A request has an invalid header.

    :param header: the invalid header.
    :param reason: why it is invalid.
    """

    header: str
    reason: str

    def __str__(self) -> str:
        return f"gateway: header {self.header}: {self.reason}"


class Dialect(abc.ABC):
    """Translates headers to and from the types of this package."""

    #: lower-case name of the header with the request's id.
    request_id_header: bytes
    #: share of their remaining time for which callers obey a Retry-After.
    retry_wait_share: float

    @abc.abstractmethod
    def read_call(self, request: Request) -> Call:
        """Decode the headers of ``request``.

        :raises MalformedCallError: if a header is invalid.
        """

    @abc.abstractmethod
    def upstream_fields(
        self, request: Request, options: SendOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of the forwarded request.

        Fields that the router sets are never copied from the caller.
        """

    @abc.abstractmethod
    def expected_upstream(self, headers: Headers) -> str:
        """Return the id of the only upstream that may run a forwarded request."""

    @abc.abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseTraits:
        """Decode the head of an upstream's response."""
