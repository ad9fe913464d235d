"""HTTP client for plain services."""

import abc
from collections.abc import Callable

import attrs
import urllib3

from kumquatseam.clocks import elapsed_s
from kumquatseam.engines import LIMIT_HEADER, NOT_EXECUTED_HEADER, rest_of
from kumquatseam.pools import AddressPools, PooledResponse
from kumquatseam.request_errors import UpstreamError
from kumquatseam.response_limits import ResponseLimits
from kumquatseam.upstreams import LimitObserver, NullLimitObserver, parse_limit

_ID_HEADER = "X-Request-Id"
_FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")
#: size of a response, which is held until it is complete.
_MAX_BYTES = 8_388_608
#: time for a whole response, in multiples of the timeout of each of its pieces.
_TOTAL_TIMEOUTS = 5


@attrs.frozen
class ServiceCall:
    """A caller's call to a plain service.

    :param request_id: the router's id, forwarded to the service.
    :param method: HTTP method.
    :param path: path and query below the replica's base URL.
    :param body: the request body.
    :param content_type: its media type, or ``None``.
    :param team: the caller's team, forwarded to the service.
    :param hold_response: called with the size of what is held of its response, before
        more is received; raises the error that ends the call.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str | None
    team: str
    hold_response: Callable[[int], None] | None = None


@attrs.frozen
class ServiceResponse:
    """The complete response of a service.

    :param status: HTTP status.
    :param body: the response body.
    :param content_type: its media type, or ``None``.
    """

    status: int
    body: bytes
    content_type: str | None


class ServiceClient(abc.ABC):
    """Calls plain services."""

    @abc.abstractmethod
    def call(self, url: str, call: ServiceCall) -> ServiceResponse:
        """Send ``call`` to the replica at ``url`` and return the complete response.

        :raises UpstreamError: with ``started=False`` only if it provably did not run.
        """


class HttpServiceClient(ServiceClient):
    """Calls services over pooled HTTP connections.

    :param connect_timeout_s: connect timeout.
    :param read_timeout_s: read timeout of the response.
    :param limits: the limits that replicas announce, by their URLs.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        read_timeout_s: float,
        limits: LimitObserver | None = None,
    ) -> None:
        self._limits = limits or NullLimitObserver()
        self._timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        self._response_limits = ResponseLimits(
            _MAX_BYTES, connect_timeout_s + _TOTAL_TIMEOUTS * read_timeout_s
        )
        self._pools = AddressPools()

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def close(self) -> None:
        """Close every pooled connection."""
        self._pools.close()

    def call(self, url: str, call: ServiceCall) -> ServiceResponse:
        headers = {_ID_HEADER: call.request_id, "X-Team": call.team}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        limits = attrs.evolve(self._response_limits, hold=call.hold_response)
        sent_s = elapsed_s()
        try:
            response = self._pools.request(
                call.method,
                url,
                f"/{call.path}",
                limits,
                body=call.body or None,
                headers=headers,
                timeout=self._timeout,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamError(url, False, f"cannot connect: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(url, True, f"response interrupted: {error}") from error
        self._check_id(url, call, response)
        is_not_run = NOT_EXECUTED_HEADER in response.headers
        self._limits.note_rest(url, rest_of(response))
        limit_per_s = parse_limit(response.headers.get(LIMIT_HEADER))
        self._limits.observe(url, limit_per_s, sent_s, is_from_run=not is_not_run)
        if is_not_run:
            raise UpstreamError(url, False, f"HTTP {response.status}, not run")
        content_type = response.headers.get("Content-Type")
        body = _first_body(url, call, response)
        return ServiceResponse(response.status, body, content_type)

    def _check_id(self, url: str, call: ServiceCall, response: PooledResponse) -> None:
        """Check that a response is not a late one to an earlier call.

        Services may leave the id out.

        :raises UpstreamError: if it is; the one to this call may still follow.
        """
        if response.headers.get(_ID_HEADER, call.request_id) != call.request_id:
            self._pools.drop(url)
            raise UpstreamError(url, True, "response to another call")


def _first_body(url: str, call: ServiceCall, response: PooledResponse) -> bytes:
    """Return the body of a response without a second response behind it.

    :raises UpstreamError: if it cannot be told where the body ends.
    """
    if any(name in response.headers for name in _FRAMING_HEADERS):
        return response.data
    from kumquatseam.http1 import Headers, ResponseHead
    from kumquatseam.http1.second_response import SecondResponseFinder

    head = ResponseHead(
        response.status, Headers(_encoded_fields(response)), None, False
    )
    finder = SecondResponseFinder(
        head, response.reason, _ID_HEADER.lower().encode(), [call.request_id]
    )
    body = finder.feed(response.data) + finder.finish()
    # The same body twice is whole.
    if finder.has_found and not finder.is_repeated:
        raise UpstreamError(url, True, "another response behind the one to this call")
    return body


def _encoded_fields(response: PooledResponse) -> list[tuple[bytes, bytes]]:
    fields = response.headers.items()
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]
