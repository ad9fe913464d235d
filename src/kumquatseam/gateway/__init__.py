"""The HTTP front end, which forwards requests and responses unchanged.

Callers identify the parts of their prompts in headers, and receive the upstream's
response bytes. :class:`GatewayServer` accepts connections, whose requests a
:class:`ConnectionHandler` serves: :class:`RequestHandler` forwards them, and a
:class:`Dialect` translates between a platform's header names and the types of this
package. To support a platform, implement :class:`Adapter`.
"""

from kumquatseam.gateway._adapter import Adapter
from kumquatseam.gateway._call import (
    Call,
    ResponseTraits,
    SendOptions,
)
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._caller_buffers import CallerBuffers
from kumquatseam.gateway._connection_admission import ConnectionAdmission
from kumquatseam.gateway._connection_handler import ConnectionHandler
from kumquatseam.gateway._dialect import Dialect, MalformedCallError
from kumquatseam.gateway._handler import RequestHandler
from kumquatseam.gateway._server import GatewayServer
from kumquatseam.gateway._stop_clock import StopClock

__all__ = [
    "Adapter",
    "ResponseTraits",
    "Call",
    "CallerBuffers",
    "CallerConnection",
    "ConnectionAdmission",
    "ConnectionHandler",
    "Dialect",
    "GatewayServer",
    "MalformedCallError",
    "RequestHandler",
    "SendOptions",
    "StopClock",
]
