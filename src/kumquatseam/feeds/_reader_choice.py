"""Which instances read a topic for all others.

Every instance could read the log by itself, but calls to it are limited and
priced: sixty instances that read three topics make three hundred calls a
second. So one reads, and tells the others what is new. Nobody appoints it: an
instance reads while it hears of no reader that stands before it in the order of
instances, and stops when it hears of one. Instances that disagree for a moment
read once too often, never too seldom.
"""

from collections.abc import Collection

#: instances that read a topic. One that fails is missed when its updates are
#: overdue, and the next in order reads well before a copy is too old; a second one
#: that reads all the time would double the calls.
READERS = 1
#: seconds an instance waits per place in the order before it begins to read, so
#: that the next in order begins first and the others hear of it.
STEP_S = 0.06
#: the longest such wait.
MAX_DELAY_S = 1.5


class ReaderChoice:
    """Whether this instance reads a topic for the others.

    :param fresh_s: a reader counts while its last update is younger.
    """

    def __init__(self, fresh_s: float) -> None:
        self._fresh_s = fresh_s
        self._heard_s: dict[str, float] = {}
        self._lacking_since_s: float | None = None
        self.is_reader = False

    def note_reader(self, name: str, now_s: float) -> None:
        """Note an update of another instance that reads."""
        self._heard_s[name] = now_s

    def hears_reader(self, now_s: float) -> bool:
        """Return whether another instance reads."""
        oldest_s = now_s - self._fresh_s
        return any(heard_s >= oldest_s for heard_s in self._heard_s.values())

    def stop(self) -> None:
        """Leave reading to the others."""
        self._lacking_since_s = None
        self.is_reader = False

    def decide(self, preceding: Collection[str], position: int, now_s: float) -> bool:
        """Return whether to read now.

        :param preceding: the instances that stand before this one.
        :param position: how many of them are not known to be away.
        """
        oldest_s = now_s - self._fresh_s
        fresh = {name for name, heard_s in self._heard_s.items() if heard_s >= oldest_s}
        if len(fresh.intersection(preceding)) >= READERS:
            self.stop()
        elif not self.is_reader:
            if self._lacking_since_s is None:
                self._lacking_since_s = now_s
            delay_s = min(MAX_DELAY_S, position * STEP_S)
            self.is_reader = now_s - self._lacking_since_s >= delay_s
        return self.is_reader
