"""PeerQueries that instances ask each other one at a time."""

import random
from collections.abc import Callable, Mapping

from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.request_reply import ReplyServer, ask_once

#: how long another instance may take to answer; it holds the answer in memory.
ASK_TIMEOUT_S = 0.5
#: instances asked at a time, one after the other.
MAX_ASKED = 3


class PeerQueries:
    """Answers other instances at this one's address, and asks them.

    :param bus: knows the other instances.
    :param kinds: classes of questions and answers by their names on the wire.
    :param seeds: ``HOST:PORT`` at which some instances answer, for a start while
        none is known; may be stale.
    :param ask: asks the process at an address.
    """

    def __init__(
        self,
        bus: PeerBus,
        kinds: Mapping[str, type],
        seeds: tuple[str, ...] = (),
        ask: Callable = ask_once,
    ) -> None:
        self._bus = bus
        self._codec = MessageCodec("question", kinds, is_compact=True)
        own_address = bus.record.state_address
        self._seeds = tuple(seed for seed in seeds if seed != own_address)
        self._ask = ask
        self._handlers: dict[type, Callable] = {}
        self._server: ReplyServer | None = None
        if own_address:
            url = f"tcp://{own_address}"
            self._server = ReplyServer(url, self._codec, self.answer)

    def on_query(self, kind: type, handler: Callable) -> None:
        """Answer questions of class ``kind`` with what ``handler`` returns."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Begin to answer."""
        if self._server is not None:
            self._server.start()

    def close(self) -> None:
        """Stop answering."""
        if self._server is not None:
            self._server.close()

    def answer(self, question: object) -> object:
        """Return the answer to a question.

        :raises CodecError: if nobody here answers questions of its class.
        """
        handler = self._handlers.get(type(question))
        if handler is None:
            kind = type(question).__name__
            raise CodecError("question", f"no question: {kind}")
        return handler(question)

    def query_any(
        self, question: object, is_useful: Callable[[object], bool]
    ) -> object | None:
        """Ask a few instances until one gives a useful answer."""
        known = [r.state_address for r in self._others() if r.state_address]
        addresses = random.sample(known, min(MAX_ASKED, len(known)))
        if not addresses:
            addresses = random.sample(self._seeds, min(MAX_ASKED, len(self._seeds)))
        for address in addresses:
            reply = self._ask(f"tcp://{address}", self._codec, question, ASK_TIMEOUT_S)
            if reply is not None and is_useful(reply):
                return reply
        return None

    def _others(self) -> list[InstanceRecord]:
        """Return the instances worth asking.

        In a large fleet few are heard, and these would be asked by all others.
        """
        if self._bus.view().is_full_mesh:
            return self._bus.heard()
        return [record for record in self._bus.records if record.name != self._bus.name]
