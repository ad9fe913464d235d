"""Which instance reads a topic for all others.

If every instance read the log, the calls would exceed what its rate limits and
prices allow: sixty instances that read three topics make three hundred calls a
second. So one instance reads and broadcasts the changes. There is no vote: an
instance reads while it receives no updates from a reader that precedes it in the
order of instances, and stops when it does. While instances disagree, the topic is
read more often than needed, never less.
"""

from collections.abc import Collection

#: instances that read a topic. If the reader fails, its updates become overdue and
#: the next in order takes over well before copies are too old; a second permanent
#: reader would double the calls.
READERS = 1
#: delay per place in the order before an instance starts to read, so that the next
#: in order starts first and its updates reach the others.
STEP_S = 0.06
#: upper limit of that delay.
MAX_DELAY_S = 1.5


class ReaderElection:
    """Decides whether this instance reads a topic for the others.

    :param reader_timeout_s: another instance counts as a reader for this long after
        its last update.
    """

    def __init__(self, reader_timeout_s: float) -> None:
        self._reader_timeout_s = reader_timeout_s
        self._last_update_s: dict[str, float] = {}
        self._without_reader_since_s: float | None = None
        self.is_reader = False

    def note_reader(self, name: str, now_s: float) -> None:
        """Record an update from another instance that reads."""
        self._last_update_s[name] = now_s

    def has_other_reader(self, now_s: float) -> bool:
        """Return whether another instance reads."""
        oldest_s = now_s - self._reader_timeout_s
        return any(last_s >= oldest_s for last_s in self._last_update_s.values())

    def step_down(self) -> None:
        """Stop reading for the others."""
        self._without_reader_since_s = None
        self.is_reader = False

    def update(self, preceding: Collection[str], position: int, now_s: float) -> bool:
        """Return whether this instance is the reader now.

        :param preceding: the instances that precede this one in the order.
        :param position: how many of them are not known to be away.
        """
        oldest_s = now_s - self._reader_timeout_s
        live = {name for name, s in self._last_update_s.items() if s >= oldest_s}
        if len(live.intersection(preceding)) >= READERS:
            self.step_down()
        elif not self.is_reader:
            if self._without_reader_since_s is None:
                self._without_reader_since_s = now_s
            delay_s = min(MAX_DELAY_S, position * STEP_S)
            self.is_reader = now_s - self._without_reader_since_s >= delay_s
        return self.is_reader
