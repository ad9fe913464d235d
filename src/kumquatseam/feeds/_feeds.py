"""The topics this instance follows, and what it tells others of them."""

import random
from collections.abc import Callable

from kumquatseam.errors import CodecError
from kumquatseam.feeds._messages import (
    QUESTION_CODEC,
    TopicAnswer,
    TopicQuestion,
    TopicUpdate,
)
from kumquatseam.feeds._shared_watch import FeedPeers, ReadPace, SharedWatch
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logservice import KeyedBatch, KeyedListener, LogService
from kumquatseam.peers import InstanceRecord, PeerBus
from kumquatseam.request_reply import ReplyServer, ask_once

#: how long another instance may take to answer; it holds the answer in memory.
ASK_TIMEOUT_S = 0.5
#: instances asked at a time, one after the other.
MAX_ASKED = 3


class TopicFeeds:
    """Follows topics together with the other instances.

    :param log: the log service.
    :param bus: connects the instances.
    :param record: this instance's own record.
    :param seeds: ``HOST:PORT`` at which some instances answer questions, for a
        start while the log is out of reach; may be stale.
    :param ask: asks the process at an address.
    """

    def __init__(
        self,
        log: LogService,
        bus: PeerBus,
        record: InstanceRecord,
        seeds: tuple[str, ...] = (),
        ask: Callable = ask_once,
    ) -> None:
        self._log_service = log
        self._bus = bus
        self._record = record
        self._seeds = tuple(seed for seed in seeds if seed != record.state_address)
        self._ask = ask
        self._watches: dict[str, SharedWatch] = {}
        bus.on_message(TopicUpdate, self.take_update)
        self._server: ReplyServer | None = None
        if record.state_address:
            address = f"tcp://{record.state_address}"
            self._server = ReplyServer(address, QUESTION_CODEC, self.answer)
        self._parts = PartGroup("feeds", [])

    def follow(
        self, topic: str, listener: KeyedListener, pace: ReadPace
    ) -> SharedWatch:
        """Keep ``listener`` in step with ``topic`` from :meth:`start` on."""
        peers = FeedPeers(
            self._bus.name,
            lambda: self._bus.view().preceding(),
            lambda: self._bus.view().position,
            self._bus.publish,
            lambda known_offset: self._ask_others(topic, known_offset),
        )
        watch = SharedWatch(self._log_service, topic, listener, pace, peers)
        self._watches[topic] = watch
        return watch

    @property
    def watches(self) -> tuple[SharedWatch, ...]:
        """One watch a topic followed."""
        return tuple(self._watches.values())

    def start(self) -> None:
        """Begin to follow, and to answer other instances."""
        servers = [self._server] if self._server is not None else []
        self._parts = PartGroup("feeds", [*servers, *self._watches.values()])
        self._parts.start()

    def close(self) -> None:
        """Stop following."""
        self._parts.close()

    def take_update(self, update: TopicUpdate) -> None:
        """Take in what another instance read."""
        watch = self._watches.get(update.topic)
        if watch is not None:
            watch.take_update(update)

    def answer(self, question: object) -> TopicAnswer:
        """Return what this instance knows of a topic.

        :raises CodecError: if that is not what is asked.
        """
        if not isinstance(question, TopicQuestion):
            kind = type(question).__name__
            raise CodecError("topic question", f"no question: {kind}")
        self._bus.add(question.asker)
        watch = self._watches.get(question.topic)
        if watch is None:
            return TopicAnswer(0.0)
        if (watch.copy.next_offset or 0) <= question.known_offset:
            return TopicAnswer(watch.copy.age_s())
        return TopicAnswer(watch.copy.age_s(), watch.copy.whole())

    def _ask_others(
        self, topic: str, known_offset: int
    ) -> tuple[KeyedBatch, float] | None:
        """Ask a few instances until one knows the topic beyond an offset."""
        known = [r.state_address for r in self._bus.heard() if r.state_address]
        addresses = random.sample(known, min(MAX_ASKED, len(known)))
        if not addresses:
            addresses = random.sample(self._seeds, min(MAX_ASKED, len(self._seeds)))
        question = TopicQuestion(topic, self._record, known_offset)
        for address in addresses:
            url = f"tcp://{address}"
            reply = self._ask(url, QUESTION_CODEC, question, ASK_TIMEOUT_S)
            if isinstance(reply, TopicAnswer) and reply.batch is not None:
                return reply.batch, reply.age_s
        return None
