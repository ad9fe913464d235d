"""Handling of the requests sent to a router's control address.

Peers send heartbeats and request configurations and warm state; operators send
queries.
"""

from collections.abc import Callable

from kumquatseam.errors import CodecError
from kumquatseam.fleet import (
    ConfigurationRequest,
    ControlMessage,
    Heartbeat,
    LiveConfiguration,
    Membership,
    PeerConfigurationSync,
    QueryFault,
    QueryRequest,
    RouterSummary,
    WarmState,
    WarmStateRequest,
)
from kumquatseam.operators import LanguageError, Query, QueryAnswerer, parse
from kumquatseam.routing import PeerSummaries

_NO_SUMMARY = RouterSummary()


class ControlHandler:
    """Handles control messages.

    :param live: the active configuration.
    :param membership: this router's view of its peers.
    :param summaries: applies the summaries in peers' heartbeats.
    :param configuration: returns the active configuration for peers.
    :param answerer: answers queries.
    :param read_warm_state: returns this router's view of the engines' caches.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        membership: Membership,
        summaries: PeerSummaries,
        configuration: PeerConfigurationSync,
        answerer: QueryAnswerer,
        read_warm_state: Callable[[], WarmState],
    ) -> None:
        self._live = live
        self._membership = membership
        self._summaries = summaries
        self._configuration = configuration
        self._answerer = answerer
        self._read_warm_state = read_warm_state

    def reply(self, message: ControlMessage) -> ControlMessage:
        """Return the reply to ``message``.

        :raises CodecError: if it is not a request.
        """
        if isinstance(message, Heartbeat):
            self.on_heartbeat(message)
            return self._membership.heartbeat(self._live.next_offset, _NO_SUMMARY)
        if isinstance(message, QueryRequest):
            return self._answer(message)
        if isinstance(message, WarmStateRequest):
            return self._read_warm_state()
        if isinstance(message, ConfigurationRequest):
            return self._configuration.snapshot()
        raise CodecError(
            "control message", f"{type(message).__name__} is not a request"
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat sent by a peer."""
        self._membership.receive(heartbeat)
        self._summaries.receive(heartbeat)

    def on_heartbeat_reply(self, heartbeat: Heartbeat) -> None:
        """Apply a peer's reply to this router's heartbeat (it carries no summary)."""
        self._membership.receive(heartbeat)

    def _answer(self, message: QueryRequest) -> ControlMessage:
        try:
            query = parse(message.text)
        except LanguageError as error:
            return QueryFault(self._membership.name, str(error))
        if not isinstance(query, Query):
            return QueryFault(self._membership.name, "not a query")
        return self._answerer.answer(query)
