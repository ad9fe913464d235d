"""HTTP/1.1 messages over gevent sockets, parsed by llhttp.

- :class:`RequestReader` reads callers' requests from one connection, within
  :class:`RequestLimits`.
- :class:`UpstreamConnection` sends one request at a time to an upstream and
  shows how its answer ends: whole, cut, or followed by bytes of nobody's.
- :class:`ConnectionPool` keeps idle connections that are still sound.
"""

from kumquatseam.http1._connection import UpstreamConnection, Wait, open_connection
from kumquatseam.http1._errors import (
    AnswerBrokenError,
    BadRequestError,
    CallerLeftError,
    ConnectFailedError,
    IdleConnectionError,
)
from kumquatseam.http1._messages import (
    Headers,
    Request,
    RequestLimits,
    ResponseHead,
    encode_request,
    encode_response_head,
)
from kumquatseam.http1._pool import ConnectionPool
from kumquatseam.http1._request_reader import RequestReader

__all__ = [
    "AnswerBrokenError",
    "BadRequestError",
    "CallerLeftError",
    "ConnectFailedError",
    "ConnectionPool",
    "Headers",
    "IdleConnectionError",
    "Request",
    "RequestLimits",
    "RequestReader",
    "ResponseHead",
    "UpstreamConnection",
    "Wait",
    "encode_request",
    "encode_response_head",
    "open_connection",
]
