"""The interface to a platform's header names."""

import abc

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.gateway._call import Call, ResponseTraits, SendOptions
from kumquatseam.http1 import Request, ResponseHead


@attrs.define(frozen=True, eq=False)
class MalformedCallError(KumquatseamError):
    """A request's headers cannot be understood.

    :param header: the header at fault.
    :param reason: what is wrong with it.
    """

    header: str
    reason: str

    def __str__(self) -> str:
        return f"gateway: header {self.header}: {self.reason}"


class Dialect(abc.ABC):
    """Translates headers to and from the types of this package."""

    #: lower-case name of the header with the request's id.
    request_id_header: bytes

    @abc.abstractmethod
    def read_call(self, request: Request) -> Call:
        """Return what ``request`` asks for.

        :raises MalformedCallError: if a header cannot be understood.
        """

    @abc.abstractmethod
    def upstream_fields(
        self, request: Request, options: SendOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields to pass on.

        Fields that are the router's to set are never taken from the caller.
        """

    @abc.abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseTraits:
        """Return what an answer's head says."""
