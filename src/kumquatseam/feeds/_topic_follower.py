"""Following one topic by reading the log or by updates of other instances."""

from collections.abc import Callable, Collection

import attrs
import gevent
import gevent.event

from kumquatseam.clocks import elapsed_s
from kumquatseam.feeds._copy import TopicCopy
from kumquatseam.feeds._messages import TopicUpdate
from kumquatseam.feeds._process_pauses import ProcessPauses
from kumquatseam.feeds._reader_election import ReaderElection
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    KeyedBatch,
    KeyedChange,
    KeyedListener,
    KeyedReader,
    LogService,
    LogServiceError,
    era_of,
)
from kumquatseam.loops import BackgroundTask

_log = part_logger("feeds")

#: pause after a failed read, doubling up to the second value; rejected calls count
#: towards the rate limit and the price too.
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
#: limit for instances that do not read for others: they leave retries to the reader.
MAX_FOLLOWER_RETRY_PAUSE_S = 2.0
#: shorter failures are no outage: entries expire only after some seconds.
OUTAGE_MIN_S = 1.0
#: how long an outage counts as recent: entries that expired in it need two seconds
#: to be written again, plus a pause between two reads.
OUTAGE_MEMORY_S = 3.0
#: larger values are not broadcast: the reader of a large configuration would send it
#: sixty times over its own link.
MAX_BROADCAST_VALUE_BYTES = 4_096
#: interval of the checks whether to read; updates of others are applied at once.
CHECK_INTERVAL_S = 0.2
#: read intervals without an update after which another instance becomes the reader.
READER_TIMEOUT_INTERVALS = 2.5
#: delay before a starting instance queries others for its first copy; the log
#: usually answers sooner.
FIRST_PEER_QUERY_DELAY_S = 0.25


@attrs.frozen
class ReadPace:
    """How often a topic is read, and how old its copy may be.

    :param wait_s: how long one read waits for a change (long polling); also the
        longest time for which a dead connection goes unnoticed.
    :param pause_s: pause between two reads, for topics that change all the time,
        where long polling would cost one call per change.
    :param stale_after_s: an instance whose copy is older reads the log itself.
    :param initial_delay_s: delay before the first read.
    """

    wait_s: float
    pause_s: float
    stale_after_s: float
    initial_delay_s: float = 0.0

    @property
    def reader_timeout_s(self) -> float:
        """How long after its last update an instance counts as the reader."""
        return READER_TIMEOUT_INTERVALS * (self.wait_s + self.pause_s)

    @property
    def max_silence_s(self) -> float:
        """Time without updates after which every instance has read the log itself."""
        return self.stale_after_s + self.wait_s


@attrs.frozen
class FeedPeers:
    """Access of a :class:`TopicFollower` to the other instances.

    :param name: this instance.
    :param preceding: returns the names of the instances that precede it in order.
    :param position: returns how many of these are not known to be away.
    :param publish: broadcasts an update.
    :param query: queries some instances for a copy of the topic that goes beyond an
        offset; returns the batch and its age in seconds, or ``None``.
    :param may_read: whether this instance may become the reader.
    """

    name: str
    preceding: Callable[[], Collection[str]]
    position: Callable[[], int]
    publish: Callable[[TopicUpdate], None]
    query: Callable[[int], tuple[KeyedBatch, float] | None]
    may_read: Callable[[], bool] = lambda: True


class TopicFollower(BackgroundTask):
    """Keeps a listener up to date with a keyed topic.

    :param log: the log service.
    :param topic: the topic.
    :param listener: receives the changed values.
    :param pace: how often the topic is read.
    :param peers: the other instances.
    :param clock: seconds that also pass while the machine is suspended.
    :param process_pauses: tells whether updates may have been delayed by a pause of
        this process; ``None`` if pauses are not detected.
    """

    def __init__(
        self,
        log: LogService,
        topic: str,
        listener: KeyedListener,
        pace: ReadPace,
        peers: FeedPeers,
        clock: Callable[[], float] = elapsed_s,
        process_pauses: ProcessPauses | None = None,
    ) -> None:
        super().__init__()
        self.topic = topic
        self.copy = TopicCopy(listener, clock)
        self._reader = KeyedReader(log, topic)
        self._pace = pace
        self._peers = peers
        self._clock = clock
        self._process_pauses = process_pauses
        self._election = ReaderElection(pace.reader_timeout_s)
        self._wake = gevent.event.Event()
        self._first_query: gevent.Greenlet | None = None
        self._has_gap = False
        self._failures = 0
        self._failing_since_s: float | None = None
        self._last_outage_s: float | None = None
        self.read_count = 0

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the topic for the others."""
        return self._election.is_reader

    def apply_update(self, update: TopicUpdate) -> None:
        """Apply an update that another instance broadcast."""
        now_s = self._clock()
        self._election.note_reader(update.sender, now_s)
        if update.outage_age_s is not None:
            self._note_outage(now_s - update.outage_age_s)
        batch = update.batch
        is_complete = not update.oversize or batch.next_offset <= (
            self.copy.next_offset or 0
        )
        if self.copy.can_apply(batch) and is_complete:
            self._apply(batch)
            return
        self._has_gap = True
        self._wake.set()

    def start(self) -> None:
        """Start following; does not wait for the log to answer."""
        super().start()
        first_query_s = self._pace.initial_delay_s + FIRST_PEER_QUERY_DELAY_S
        self._first_query = gevent.spawn_later(first_query_s, self.fetch_from_peer)

    def close(self) -> None:
        """Stop following the topic."""
        if self._first_query is not None:
            self._first_query.kill()
        super().close()

    def _run(self) -> None:
        gevent.sleep(self._pace.initial_delay_s)
        while True:
            try:
                self._step()
            except Exception:  # noqa: BLE001 - logged, since no caller would see it
                _log.exception("Applying a record failed.")
                gevent.sleep(MAX_RETRY_PAUSE_S)

    def _step(self) -> None:
        if not self.should_read():
            self._wake.wait(self._next_check_in_s())
            self._wake.clear()
            return
        try:
            self.read()
        except LogServiceError as error:
            pause_s = self.note_failure(error)
            self.fetch_from_peer()
            gevent.sleep(pause_s)
            return
        if self.is_reader and self._pace.pause_s:
            gevent.sleep(self._pace.pause_s)

    def _next_check_in_s(self) -> float:
        """Return the time until this instance may have to read without an update."""
        # Without any reader this instance may soon become it: right after a start
        # it does not know the others yet.
        has_reader = self._election.has_other_reader(self._clock())
        if self._peers.may_read() or not has_reader:
            return CHECK_INTERVAL_S
        return max(CHECK_INTERVAL_S, self._pace.stale_after_s - self.copy.age_s())

    def should_read(self) -> bool:
        """Return whether this instance must read the log now."""
        was_reader = self.is_reader
        peers = self._peers
        if peers.may_read():
            position = peers.position()
            self._election.update(peers.preceding(), position, self._clock())
        else:
            self._election.step_down()
        is_reader = self.is_reader
        if is_reader != was_reader:
            _log.bind(topic=self.topic, is_reader=is_reader).info(
                "Started reading the topic for the others."
                if is_reader
                else "Stopped reading the topic for the others."
            )
        is_stale = self.copy.age_s() > self._pace.stale_after_s
        return is_reader or self._has_gap or is_stale

    def read(self) -> None:
        """Read once, apply the changes and broadcast them if this is the reader.

        :raises LogServiceError: if the log does not answer.
        """
        self.read_count += 1
        from_offset = self.copy.next_offset
        wait_s = self._pace.wait_s if self.is_reader and not self._has_gap else 0.0
        batch = self._reader.read(from_offset, wait_s)
        if from_offset is not None and batch.next_offset < from_offset:
            self.copy.reset_offset()
        self._note_success()
        self._has_gap = False
        known_offset = self.copy.next_offset
        if known_offset is not None and era_of(batch.next_offset) > era_of(
            known_offset
        ):
            _log.bind(topic=self.topic, era=era_of(batch.next_offset)).warning(
                "The log returned from an older copy."
            )
            self._note_outage(self._clock())
        effective = self._apply(batch)
        if self.is_reader:
            self._publish(known_offset, effective)

    def _apply(self, batch: KeyedBatch, age_s: float = 0.0) -> tuple[KeyedChange, ...]:
        if self.copy.synced_s is None:
            _log.bind(topic=self.topic, offset=batch.next_offset).info(
                "Topic known for the first time."
            )
        unseen_s = self._unseen_s()
        return self.copy.apply(batch, self._outage_age_s(), age_s, unseen_s)

    def _unseen_s(self) -> float:
        """Return how long ago a change found now may have been written.

        While no instance reaches the log nothing is written, so time without
        updates counts only until every instance would have read the log itself.
        """
        delayed_s = self._process_pauses.max_delay_s() if self._process_pauses else 0.0
        copy_age_s = self.copy.age_s()
        if copy_age_s <= self._pace.reader_timeout_s:
            return delayed_s
        return max(delayed_s, min(copy_age_s, self._pace.max_silence_s))

    def _publish(
        self, known_offset: int | None, effective: tuple[KeyedChange, ...]
    ) -> None:
        """Broadcast the changes; an empty update reports that there are none.

        :param known_offset: the copy's next offset before the read was applied.
            Changes already applied from another reader's update are not sent again,
            so the update starts there and not where the read started. The update
            after the first read contains no changes.
        """
        next_offset = self.copy.next_offset
        if known_offset is None:
            known_offset, effective = next_offset, ()
        sent = tuple(c for c in effective if len(c.value) <= MAX_BROADCAST_VALUE_BYTES)
        oversize = tuple(
            c.key for c in effective if len(c.value) > MAX_BROADCAST_VALUE_BYTES
        )
        batch = KeyedBatch(known_offset, next_offset, sent)
        self._peers.publish(
            TopicUpdate(
                self._peers.name,
                self.topic,
                batch,
                oversize,
                self._outage_age_s(),
            )
        )

    # Outages.

    def _note_outage(self, at_s: float) -> None:
        if self._last_outage_s is None or at_s > self._last_outage_s:
            self._last_outage_s = at_s

    def _outage_age_s(self) -> float | None:
        """Return the time since the last outage of the log, if it was recent."""
        if self._last_outage_s is None:
            return None
        age_s = self._clock() - self._last_outage_s
        return age_s if age_s <= OUTAGE_MEMORY_S else None

    def _note_success(self) -> None:
        if self._failing_since_s is None:
            return
        failed_for_s = self._clock() - self._failing_since_s
        _log.bind(
            topic=self.topic, failures=self._failures, for_s=round(failed_for_s, 2)
        ).info("The log service answers again.")
        self._failures = 0
        self._failing_since_s = None
        if failed_for_s >= OUTAGE_MIN_S:
            self._note_outage(self._clock())

    def note_failure(self, error: LogServiceError) -> float:
        """Record a failed read; return the pause before the next one."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock()
            _log.bind(
                topic=self.topic, error=str(error), age_s=round(self.copy.age_s(), 2)
            ).warning("The log does not answer.")
        self._failures += 1
        is_urgent = self.is_reader or self._has_gap
        max_pause_s = MAX_RETRY_PAUSE_S if is_urgent else MAX_FOLLOWER_RETRY_PAUSE_S
        return min(max_pause_s, RETRY_PAUSE_S * 2 ** (self._failures - 1))

    def fetch_from_peer(self) -> None:
        """Fetch a copy from a peer if this one is missing or has a gap."""
        if self.copy.next_offset is not None and not self._has_gap:
            return
        reply = self._peers.query(self.copy.next_offset or 0)
        if reply is None:
            return
        batch, age_s = reply
        if batch.next_offset <= (self.copy.next_offset or 0):
            return
        self._apply(batch, age_s)
        self._has_gap = False
        _log.bind(
            topic=self.topic, next_offset=batch.next_offset, age_s=round(age_s, 2)
        ).info("Fetched the topic from another instance.")
