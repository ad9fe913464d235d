"""The topics this instance follows, and what it tells others of them."""

from kumquatseam.feeds._messages import TopicAnswer, TopicQuestion, TopicUpdate
from kumquatseam.feeds._shared_watch import FeedPeers, ReadPace, SharedWatch
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logservice import KeyedBatch, KeyedListener, LogService
from kumquatseam.peers import InstanceRecord, PeerBus, Questions


class TopicFeeds:
    """Follows topics together with the other instances.

    :param log: the log service.
    :param bus: connects the instances.
    :param record: this instance's own record.
    :param questions: asks other instances, and answers them.
    """

    def __init__(
        self,
        log: LogService,
        bus: PeerBus,
        record: InstanceRecord,
        questions: Questions,
    ) -> None:
        self._log_service = log
        self._bus = bus
        self._record = record
        self._questions = questions
        self._watches: dict[str, SharedWatch] = {}
        bus.on_message(TopicUpdate, self.take_update)
        questions.on_question(TopicQuestion, self.answer)
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
        """Begin to follow."""
        self._parts = PartGroup("feeds", [*self._watches.values()])
        self._parts.start()

    def close(self) -> None:
        """Stop following."""
        self._parts.close()

    def take_update(self, update: TopicUpdate) -> None:
        """Take in what another instance read."""
        watch = self._watches.get(update.topic)
        if watch is not None:
            watch.take_update(update)

    def answer(self, question: TopicQuestion) -> TopicAnswer:
        """Return what this instance knows of a topic."""
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
        question = TopicQuestion(topic, self._record, known_offset)
        reply = self._questions.ask_any(
            question,
            lambda found: isinstance(found, TopicAnswer) and found.batch is not None,
        )
        return (reply.batch, reply.age_s) if reply is not None else None
