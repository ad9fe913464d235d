"""Request-reply queries between instances."""

import random
from collections.abc import Callable, Mapping

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.request_reply import ReplyServer, request_once

#: timeout of one query; the other instance replies from memory.
QUERY_TIMEOUT_S = 0.5
#: instances that one call tries, one after the other.
MAX_TRIED = 3


class PeerQueries:
    """Serves queries of other instances, and sends queries to them.

    :param bus: lists the other instances.
    :param kinds: classes of queries and replies by their names on the wire.
    :param seeds: ``HOST:PORT`` of instances to query while no other is known; may
        be stale.
    :param send_query: sends a query to an address and returns the reply.
    """

    def __init__(
        self,
        bus: PeerBus,
        kinds: Mapping[str, type],
        seeds: tuple[str, ...] = (),
        send_query: Callable = request_once,
    ) -> None:
        self._bus = bus
        self._codec = MessageCodec("peer query", kinds, is_compact=True)
        own_address = bus.record.state_address
        self._seeds = tuple(seed for seed in seeds if seed != own_address)
        self._send_query = send_query
        self._handlers: dict[type, Callable] = {}
        self._server: ReplyServer | None = None
        if own_address:
            url = f"tcp://{own_address}"
            self._server = ReplyServer(url, self._codec, self.answer)

    def on_query(self, kind: type, handler: Callable) -> None:
        """Answer queries of class ``kind`` with the return value of ``handler``."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Start serving queries."""
        if self._server is not None:
            self._server.start()

    def close(self) -> None:
        """Stop serving queries."""
        if self._server is not None:
            self._server.close()

    def answer(self, query: object) -> object:
        """Return the reply to a query.

        :raises CodecError: if there is no handler for queries of this class.
        """
        handler = self._handlers.get(type(query))
        if handler is None:
            kind = type(query).__name__
            raise CodecError("peer query", f"no handler for {kind}")
        return handler(query)

    def query_any(
        self, query: object, is_useful: Callable[[object], bool]
    ) -> object | None:
        """Query up to ``MAX_TRIED`` random instances until a reply is useful."""
        known_addresses = [
            r.state_address for r in self._candidates() if r.state_address
        ]
        addresses = random.sample(known_addresses, min(MAX_TRIED, len(known_addresses)))
        if not addresses:
            addresses = random.sample(self._seeds, min(MAX_TRIED, len(self._seeds)))
        for address in addresses:
            reply = self._send_query(
                f"tcp://{address}", self._codec, query, QUERY_TIMEOUT_S
            )
            if reply is not None and is_useful(reply):
                return reply
        return None

    def _candidates(self) -> list[InstanceRecord]:
        """Return the instances to choose from.

        In a large fleet only the few leaders are known to be alive, and they would
        get the queries of all other instances, so all registered ones count.
        """
        if self._bus.view().is_full_mesh:
            return self._bus.live_peers()
        return [record for record in self._bus.records if record.name != self._bus.name]
