"""HTTP/1.1 messages over gevent sockets, parsed by llhttp.

- :class:`RequestReader` reads callers' requests from one connection, within
  :class:`RequestLimits`.
- :class:`UpstreamConnection` sends one request at a time to an upstream and detects
  whether its response is complete, truncated, or followed by unexpected bytes.
- :class:`ResponseParser` finds the responses in received bytes; it is how all of them
  are parsed.
- :class:`ConnectionPool` keeps idle connections for reuse; a :class:`Connector` opens
  new ones for it.
"""

from kumquatseam.http1._connection import (
    ConnectionWatch,
    SocketWait,
    TransportDecoder,
    UpstreamConnection,
    open_connection,
    open_socket,
)
from kumquatseam.http1._errors import (
    BadRequestError,
    CallerDisconnectedError,
    ConnectFailedError,
    IdleConnectionError,
    RequestUnsentError,
    ResponseInterruptedError,
    ResponseTimeoutError,
    TransportError,
)
from kumquatseam.http1._messages import (
    MAX_JOINED_BYTES,
    Framing,
    Headers,
    Request,
    RequestLimits,
    ResponseHead,
    encode_request,
    encode_response_head,
    is_joined_head,
)
from kumquatseam.http1._pool import ConnectionPool, Connector
from kumquatseam.http1._readiness import queued_bytes
from kumquatseam.http1._request_reader import RequestReader
from kumquatseam.http1._response_parser import ResponseParser

__all__ = [
    "ResponseInterruptedError",
    "ResponseTimeoutError",
    "BadRequestError",
    "CallerDisconnectedError",
    "ConnectFailedError",
    "ConnectionPool",
    "ConnectionWatch",
    "Connector",
    "Framing",
    "Headers",
    "IdleConnectionError",
    "MAX_JOINED_BYTES",
    "Request",
    "RequestLimits",
    "RequestReader",
    "RequestUnsentError",
    "ResponseHead",
    "ResponseParser",
    "TransportDecoder",
    "TransportError",
    "UpstreamConnection",
    "SocketWait",
    "encode_request",
    "encode_response_head",
    "is_joined_head",
    "open_connection",
    "open_socket",
    "queued_bytes",
]
