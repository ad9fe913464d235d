"""The topics this instance follows, and its replies to other instances."""

from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.feeds._messages import TopicQuery, TopicReply, TopicUpdate
from kumquatseam.feeds._process_pauses import HEARTBEAT_INTERVAL_S, ProcessPauses
from kumquatseam.feeds._topic_follower import FeedPeers, ReadPace, TopicFollower
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logservice import KeyedBatch, KeyedListener, LogService
from kumquatseam.loops import StepLoop
from kumquatseam.peers import InstanceRecord, PeerBus, PeerQueries


class TopicFeeds:
    """Follows topics together with the other instances.

    :param log: the log service.
    :param bus: connects the instances.
    :param record: this instance's own record.
    :param queries: sends queries to other instances and answers theirs.
    :param are_peers_known: whether the list of instances has been loaded. Right
        after a start each instance would otherwise find itself first in the order,
        and all would read for the others.
    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(
        self,
        log: LogService,
        bus: PeerBus,
        record: InstanceRecord,
        queries: PeerQueries,
        are_peers_known: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = elapsed_s,
    ) -> None:
        self._clock = clock
        self.process_pauses = ProcessPauses(clock)
        self._log_service = log
        self._are_peers_known = are_peers_known
        self._bus = bus
        self._record = record
        self._queries = queries
        self._followers: dict[str, TopicFollower] = {}
        bus.on_message(TopicUpdate, self.apply_update)
        queries.on_query(TopicQuery, self.answer)
        self._parts = PartGroup("feeds", [])

    def follow(
        self, topic: str, listener: KeyedListener, pace: ReadPace
    ) -> TopicFollower:
        """Keep ``listener`` up to date with ``topic`` from :meth:`start` on."""
        peers = FeedPeers(
            self._bus.name,
            lambda: self._bus.view().preceding(),
            lambda: self._bus.view().position,
            self._bus.publish,
            lambda known_offset: self._query_peers(topic, known_offset),
            lambda: self._are_peers_known() and self._bus.view().is_coordinator,
        )
        follower = TopicFollower(
            self._log_service,
            topic,
            listener,
            pace,
            peers,
            self._clock,
            self.process_pauses,
        )
        self._followers[topic] = follower
        return follower

    @property
    def followers(self) -> tuple[TopicFollower, ...]:
        """The follower of each topic, in the order of :meth:`follow` calls."""
        return tuple(self._followers.values())

    def start(self) -> None:
        """Start following the topics."""
        heartbeat = StepLoop(
            HEARTBEAT_INTERVAL_S,
            self.process_pauses.note_running,
            starts_immediately=True,
        )
        self._parts = PartGroup("feeds", [heartbeat, *self._followers.values()])
        self._parts.start()

    def close(self) -> None:
        """Stop following the topics."""
        self._parts.close()

    def apply_update(self, update: TopicUpdate) -> None:
        """Apply an update that another instance broadcast."""
        follower = self._followers.get(update.topic)
        if follower is not None:
            follower.apply_update(update)
        if self._should_relay(update):
            self._bus.publish(attrs.evolve(update, is_relayed=True))

    def _should_relay(self, update: TopicUpdate) -> bool:
        """Return whether some instances receive from this one, not from the sender.

        If a leader cannot reach the log, another instance reads it, whose updates
        reach only the leaders. Without a relay all others would read the log
        themselves.
        """
        view = self._bus.view()
        if update.is_relayed or not view.is_leader:
            return False
        return update.sender not in {record.name for record in view.leaders()}

    def answer(self, query: TopicQuery) -> TopicReply:
        """Return this instance's copy of a topic if it is newer than the asker's."""
        self._bus.add(query.asker)
        follower = self._followers.get(query.topic)
        if follower is None:
            return TopicReply(0.0)
        if (follower.copy.next_offset or 0) <= query.known_offset:
            return TopicReply(follower.copy.age_s())
        return TopicReply(follower.copy.age_s(), follower.copy.snapshot())

    def _query_peers(
        self, topic: str, known_offset: int
    ) -> tuple[KeyedBatch, float] | None:
        """Query a few instances until one has the topic beyond an offset."""
        query = TopicQuery(topic, self._record, known_offset)
        reply = self._queries.query_any(
            query,
            lambda found: isinstance(found, TopicReply) and found.batch is not None,
        )
        return (reply.batch, reply.age_s) if reply is not None else None
