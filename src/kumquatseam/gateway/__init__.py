"""The front end that passes HTTP requests on as they are.

Callers name the parts of their prompts instead of sending text, and get the
upstream's own bytes back. :class:`GatewayServer` accepts connections,
:class:`RequestHandler` serves one request, and a :class:`Dialect` translates
between a platform's header names and the types used here. An :class:`Adapter` is all
that a platform brings.
"""

from kumquatseam.gateway._adapter import Adapter
from kumquatseam.gateway._call import (
    Call,
    ResponseTraits,
    SendOptions,
)
from kumquatseam.gateway._dialect import Dialect, MalformedCallError
from kumquatseam.gateway._handler import RequestHandler
from kumquatseam.gateway._health import HealthServer, MetricsServer
from kumquatseam.gateway._server import GatewayServer

__all__ = [
    "Adapter",
    "ResponseTraits",
    "Call",
    "Dialect",
    "GatewayServer",
    "HealthServer",
    "MalformedCallError",
    "MetricsServer",
    "RequestHandler",
    "SendOptions",
]
