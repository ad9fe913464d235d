"""Following one topic, by reading the log or by what other instances read."""

from collections.abc import Callable, Collection

import attrs
import gevent
import gevent.event

from kumquatseam.clocks import elapsed_s
from kumquatseam.feeds._copy import TopicCopy
from kumquatseam.feeds._messages import TopicUpdate
from kumquatseam.feeds._reader_choice import ReaderChoice
from kumquatseam.feeds._standstills import Standstills
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

#: pause after a failed read, doubling up to the second figure; calls are
#: limited and priced, also those that are turned away.
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
#: an instance that does not read for others lets those try that do.
MAX_LISTENER_RETRY_PAUSE_S = 2.0
#: shorter failures are no outage: entries lapse after some seconds.
OUTAGE_MIN_S = 1.0
#: an outage is remembered for this long: what lapsed in it needs two seconds to
#: be written again, and a pause between two reads.
OUTAGE_MEMORY_S = 3.0
#: values beyond this are not told to every instance: one that read a large
#: configuration would send it sixty times over its own link.
MAX_TOLD_BYTES = 4_096
#: seconds between two looks whether to read; updates of others need none.
CHECK_S = 0.2
#: updates a reader may miss before another one takes its place.
READER_FRESH_PACES = 2.5
#: a starting instance asks others for its first copy after this long; the log
#: usually answers first.
FIRST_ASK_S = 0.25


@attrs.frozen
class ReadPace:
    """How often a topic is read, and how old its copy may be.

    :param wait_s: how long one read waits for something new; also how long a
        connection that went silent goes unnoticed, at most.
    :param pause_s: pause between two reads, for topics that change all the time,
        where waiting would mean one call a change.
    :param stale_after_s: an instance whose copy is older reads by itself.
    :param initial_delay_s: pause before the first read.
    """

    wait_s: float
    pause_s: float
    stale_after_s: float
    initial_delay_s: float = 0.0

    @property
    def reader_fresh_s(self) -> float:
        """How old a reader's last update may be while it counts as reading."""
        return READER_FRESH_PACES * (self.wait_s + self.pause_s)

    @property
    def overdue_s(self) -> float:
        """How long no update may come before each instance has read by itself."""
        return self.stale_after_s + self.wait_s


@attrs.frozen
class FeedPeers:
    """The other instances, as one topic's watch sees them.

    :param name: this instance.
    :param preceding: returns the names of those that stand before it.
    :param position: returns how many of these are not known to be away.
    :param publish: tells them an update.
    :param ask: asks some of them for all they know of the topic, if that goes
        beyond an offset; returns the batch and how old it is, or ``None``.
    :param may_read: whether this instance may read for the others at all.
    """

    name: str
    preceding: Callable[[], Collection[str]]
    position: Callable[[], int]
    publish: Callable[[TopicUpdate], None]
    ask: Callable[[int], tuple[KeyedBatch, float] | None]
    may_read: Callable[[], bool] = lambda: True


class SharedWatch(BackgroundTask):
    """Keeps a listener in step with a keyed topic.

    :param log: the log service.
    :param topic: the topic.
    :param listener: takes in the values.
    :param pace: how often it is read.
    :param peers: the other instances.
    :param clock: seconds that also pass while the machine is suspended.
    :param standstills: knows whether updates may have waited here; ``None`` if
        nobody watches that.
    """

    def __init__(
        self,
        log: LogService,
        topic: str,
        listener: KeyedListener,
        pace: ReadPace,
        peers: FeedPeers,
        clock: Callable[[], float] = elapsed_s,
        process_pauses: Standstills | None = None,
    ) -> None:
        super().__init__()
        self.topic = topic
        self.copy = TopicCopy(listener, clock)
        self._reader = KeyedReader(log, topic)
        self._pace = pace
        self._peers = peers
        self._clock = clock
        self._standstills = process_pauses
        self._choice = ReaderChoice(pace.reader_fresh_s)
        self._wake = gevent.event.Event()
        self._first_ask: gevent.Greenlet | None = None
        self._has_gap = False
        self._failures = 0
        self._failing_since_s: float | None = None
        self._outage_s: float | None = None
        self.reads = 0

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the topic for the others."""
        return self._choice.is_reader

    def take_update(self, update: TopicUpdate) -> None:
        """Take in what another instance read."""
        now_s = self._clock()
        self._choice.note_reader(update.sender, now_s)
        if update.outage_age_s is not None:
            self._note_outage(now_s - update.outage_age_s)
        batch = update.batch
        is_told = not update.oversize or batch.next_offset <= (
            self.copy.next_offset or 0
        )
        if self.copy.follows(batch) and is_told:
            self._take(batch)
            return
        self._has_gap = True
        self._wake.set()

    def start(self) -> None:
        """Begin; a log that is silent is not waited for."""
        super().start()
        first_ask_s = self._pace.initial_delay_s + FIRST_ASK_S
        self._first_ask = gevent.spawn_later(first_ask_s, self.learn_from_peer)

    def close(self) -> None:
        """Stop following."""
        if self._first_ask is not None:
            self._first_ask.kill()
        super().close()

    def _run(self) -> None:
        gevent.sleep(self._pace.initial_delay_s)
        while True:
            try:
                self._step()
            except Exception:  # noqa: BLE001 - logged; nobody else would notice
                _log.exception("A record could not be taken in.")
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
            self.learn_from_peer()
            gevent.sleep(pause_s)
            return
        if self.is_reader and self._pace.pause_s:
            gevent.sleep(self._pace.pause_s)

    def _next_check_in_s(self) -> float:
        """Return how long nothing but an update can make this instance read."""
        # Where nobody reads yet, this instance may just be about to: right after a
        # start it does not know the others.
        is_told = self._choice.hears_reader(self._clock())
        if self._peers.may_read() or not is_told:
            return CHECK_S
        return max(CHECK_S, self._pace.stale_after_s - self.copy.age_s())

    def should_read(self) -> bool:
        """Return whether this instance has to read the log now."""
        was_reader = self.is_reader
        peers = self._peers
        if peers.may_read():
            position = peers.position()
            self._choice.decide(peers.preceding(), position, self._clock())
        else:
            self._choice.stop()
        is_reader = self.is_reader
        if is_reader != was_reader:
            _log.bind(topic=self.topic, is_reader=is_reader).info(
                "Reads the topic for the others."
                if is_reader
                else "Leaves reading the topic to others."
            )
        is_stale = self.copy.age_s() > self._pace.stale_after_s
        return is_reader or self._has_gap or is_stale

    def read(self) -> None:
        """Read once, take in what is new and tell the others.

        :raises LogServiceError: if the log does not answer.
        """
        self.reads += 1
        from_offset = self.copy.next_offset
        wait_s = self._pace.wait_s if self.is_reader and not self._has_gap else 0.0
        batch = self._reader.read(from_offset, wait_s)
        if from_offset is not None and batch.next_offset < from_offset:
            self.copy.forget_offset()
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
        news = self._take(batch)
        if self.is_reader:
            self._tell(known_offset, news)

    def _take(self, batch: KeyedBatch, age_s: float = 0.0) -> tuple[KeyedChange, ...]:
        unseen_s = self._unseen_s()
        return self.copy.apply(batch, self._outage_age_s(), age_s, unseen_s)

    def _unseen_s(self) -> float:
        """Return for how long what is new now may have gone unnoticed.

        While the log is out of everybody's reach nothing is written, so a long
        silence counts only up to when each instance would have read it by itself.
        """
        waited_s = self._standstills.unseen_s() if self._standstills else 0.0
        silent_s = self.copy.age_s()
        if silent_s <= self._pace.reader_fresh_s:
            return waited_s
        return max(waited_s, min(silent_s, self._pace.overdue_s))

    def _tell(self, known_offset: int | None, news: tuple[KeyedChange, ...]) -> None:
        """Tell the others what is new; an empty update says that nothing is.

        :param known_offset: how far this copy went before. What it had learnt
            from another reader is not told again, so the update begins there and
            not where the read began; the first read of all is no news to anyone.
        """
        next_offset = self.copy.next_offset
        if known_offset is None:
            known_offset, news = next_offset, ()
        told = tuple(c for c in news if len(c.value) <= MAX_TOLD_BYTES)
        oversize = tuple(c.key for c in news if len(c.value) > MAX_TOLD_BYTES)
        batch = KeyedBatch(known_offset, next_offset, told)
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
        if self._outage_s is None or at_s > self._outage_s:
            self._outage_s = at_s

    def _outage_age_s(self) -> float | None:
        """Return how long ago the log was out of reach, if lately."""
        if self._outage_s is None:
            return None
        age_s = self._clock() - self._outage_s
        return age_s if age_s <= OUTAGE_MEMORY_S else None

    def _note_success(self) -> None:
        if self._failing_since_s is None:
            return
        failed_for_s = self._clock() - self._failing_since_s
        _log.bind(
            topic=self.topic, failures=self._failures, for_s=round(failed_for_s, 2)
        ).info("The log answers again.")
        self._failures = 0
        self._failing_since_s = None
        if failed_for_s >= OUTAGE_MIN_S:
            self._note_outage(self._clock())

    def note_failure(self, error: LogServiceError) -> float:
        """Note that the log did not answer; return how long to pause."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock()
            _log.bind(
                topic=self.topic, error=str(error), age_s=round(self.copy.age_s(), 2)
            ).warning("The log does not answer.")
        self._failures += 1
        is_urgent = self.is_reader or self._has_gap
        longest_s = MAX_RETRY_PAUSE_S if is_urgent else MAX_LISTENER_RETRY_PAUSE_S
        return min(longest_s, RETRY_PAUSE_S * 2 ** (self._failures - 1))

    def learn_from_peer(self) -> None:
        """Ask another instance for what this one lacks and cannot read."""
        if self.copy.next_offset is not None and not self._has_gap:
            return
        answer = self._peers.ask(self.copy.next_offset or 0)
        if answer is None:
            return
        batch, age_s = answer
        if batch.next_offset <= (self.copy.next_offset or 0):
            return
        self._take(batch, age_s)
        self._has_gap = False
        _log.bind(
            topic=self.topic, next_offset=batch.next_offset, age_s=round(age_s, 2)
        ).info("Learnt the topic from another instance.")
