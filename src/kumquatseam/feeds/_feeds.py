"""The topics this instance follows, and what it tells others of them."""

from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.feeds._messages import TopicAnswer, TopicQuestion, TopicUpdate
from kumquatseam.feeds._shared_watch import FeedPeers, ReadPace, SharedWatch
from kumquatseam.feeds._standstills import PULSE_S, Standstills
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logservice import KeyedBatch, KeyedListener, LogService
from kumquatseam.loops import StepLoop
from kumquatseam.peers import InstanceRecord, PeerBus, Questions


class TopicFeeds:
    """Follows topics together with the other instances.

    :param log: the log service.
    :param bus: connects the instances.
    :param record: this instance's own record.
    :param questions: asks other instances, and answers them.
    :param are_peers_known: whether it is known who the other instances are. Right
        after a start each would take itself for the first of all, and all would
        read for the others.
    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(
        self,
        log: LogService,
        bus: PeerBus,
        record: InstanceRecord,
        questions: Questions,
        are_peers_known: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = elapsed_s,
    ) -> None:
        self._clock = clock
        self.process_pauses = Standstills(clock)
        self._log_service = log
        self._are_peers_known = are_peers_known
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
            lambda: self._are_peers_known() and self._bus.view().is_in_council,
        )
        watch = SharedWatch(
            self._log_service,
            topic,
            listener,
            pace,
            peers,
            self._clock,
            self.process_pauses,
        )
        self._watches[topic] = watch
        return watch

    @property
    def followers(self) -> tuple[SharedWatch, ...]:
        """One watch a topic followed."""
        return tuple(self._watches.values())

    def start(self) -> None:
        """Begin to follow."""
        pulse = StepLoop(PULSE_S, self.process_pauses.note_running, runs_at_once=True)
        self._parts = PartGroup("feeds", [pulse, *self._watches.values()])
        self._parts.start()

    def close(self) -> None:
        """Stop following."""
        self._parts.close()

    def take_update(self, update: TopicUpdate) -> None:
        """Take in what another instance read."""
        watch = self._watches.get(update.topic)
        if watch is not None:
            watch.apply_update(update)
        if self._should_relay(update):
            self._bus.publish(attrs.evolve(update, is_relayed=True))

    def _should_relay(self, update: TopicUpdate) -> bool:
        """Return whether others listen to this instance, but not to the sender.

        A leader may be cut off from the log; whoever reads it then is heard by
        the leaders alone, and without them all others would read it themselves.
        """
        view = self._bus.view()
        if update.is_relayed or not view.is_leader:
            return False
        return update.sender not in {record.name for record in view.leaders()}

    def answer(self, question: TopicQuestion) -> TopicAnswer:
        """Return what this instance knows of a topic."""
        self._bus.add(question.asker)
        watch = self._watches.get(question.topic)
        if watch is None:
            return TopicAnswer(0.0)
        if (watch.copy.next_offset or 0) <= question.known_offset:
            return TopicAnswer(watch.copy.age_s())
        return TopicAnswer(watch.copy.age_s(), watch.copy.snapshot())

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
