"""What serves the requests on callers' connections."""

import abc
from collections.abc import Callable

from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._stop_clock import StopClock
from kumquatseam.http1 import BadRequestError, Request


class ConnectionHandler(abc.ABC):
    """Serves the requests that a :class:`GatewayServer` reads.

    :param stop_clock: begun when the server is to stop.
    """

    def __init__(self, stop_clock: StopClock) -> None:
        self.stop_clock = stop_clock

    @abc.abstractmethod
    def handle(
        self,
        request: Request,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> bool:
        """Serve ``request``; return whether its connection can carry another one.

        What it takes from the caller's account is given back afterwards.

        :param may_keep_alive: whether the connection stays open after the response.
        :raises CallerDisconnectedError: if the caller closed its connection.
        """

    def describe(
        self, error: BadRequestError
    ) -> tuple[list[tuple[bytes, bytes]], bytes]:
        """Return header fields and body of the response to what is no request."""
        return [], b""
