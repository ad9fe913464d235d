"""Which instances read a topic for all others.

Every instance could read the log by itself, but calls to it are limited and
priced: sixty instances that read three topics make three hundred calls a
second. So a few read, and tell the others what is new. Nobody appoints them: an
instance reads while it hears of too few that stand before it in the topic's own
order, and stops when it hears of enough. Instances that disagree for a moment
read once too often, never too seldom.
"""

import attrs
import xxhash

#: instances that read a topic. One that fails is noticed only after its updates
#: are overdue; the second one keeps the others up to date meanwhile.
READERS = 2
#: seconds an instance waits per place in the order before it begins to read, so
#: that the next in order begins first and the others hear of it.
STEP_S = 0.06
#: the longest such wait.
MAX_DELAY_S = 1.5


@attrs.frozen
class ReaderRank:
    """A place in a topic's order of instances; the smallest reads first.

    Links come first, since a reader sends every change to all others.

    :param slowness: minus the speed of its link, in Mbit/s.
    :param draw: a hash of topic and instance, to spread topics.
    """

    slowness: float
    draw: int


def reader_rank(topic: str, instance: str, link_mbps: float) -> ReaderRank:
    """Return the place of ``instance`` in the order of ``topic``."""
    draw = xxhash.xxh3_64_intdigest(f"{topic}|{instance}".encode())
    return ReaderRank(-link_mbps, draw)


@attrs.define
class _HeardReader:
    """Another instance that reads the topic."""

    rank: ReaderRank
    heard_s: float


class ReaderChoice:
    """Whether this instance reads a topic for the others.

    :param rank: this instance's place.
    :param fresh_s: a reader counts while its last update is younger.
    """

    def __init__(self, rank: ReaderRank, fresh_s: float) -> None:
        self._rank = rank
        self._fresh_s = fresh_s
        self._readers: dict[str, _HeardReader] = {}
        self._lacking_since_s: float | None = None
        self.is_reader = False

    def note_reader(self, name: str, rank: ReaderRank, now_s: float) -> None:
        """Note an update of another instance that reads."""
        self._readers[name] = _HeardReader(rank, now_s)

    def decide(self, position: int, now_s: float) -> bool:
        """Return whether to read now.

        :param position: this instance's place among those alive, from 0.
        """
        oldest_s = now_s - self._fresh_s
        fresh = [r for r in self._readers.values() if r.heard_s >= oldest_s]
        before = sum(1 for reader in fresh if _key(reader.rank) < _key(self._rank))
        if before >= READERS:
            self._lacking_since_s = None
            self.is_reader = False
        elif not self.is_reader:
            if self._lacking_since_s is None:
                self._lacking_since_s = now_s
            delay_s = min(MAX_DELAY_S, position * STEP_S)
            self.is_reader = now_s - self._lacking_since_s >= delay_s
        return self.is_reader


def _key(rank: ReaderRank) -> tuple[float, int]:
    return rank.slowness, rank.draw
