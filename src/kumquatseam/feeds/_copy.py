"""This process's copy of a keyed topic."""

from collections.abc import Callable

from kumquatseam.clocks import elapsed_s
from kumquatseam.logservice import (
    KeyedBatch,
    KeyedChange,
    KeyedListener,
    Learning,
    era_of,
)


class TopicCopy:
    """The values of a keyed topic, up to an offset.

    Batches may come from the log and from several other instances; each record
    is taken in once.

    :param listener: is given every value once.
    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(
        self, listener: KeyedListener, clock: Callable[[], float] = elapsed_s
    ) -> None:
        self._listener = listener
        self._clock = clock
        self._values: dict[str, bytes] = {}
        self.next_offset: int | None = None
        self.synced_s: float | None = None

    def age_s(self) -> float:
        """Return how long ago the copy was known to be complete."""
        if self.synced_s is None:
            return float("inf")
        return self._clock() - self.synced_s

    def forget_offset(self) -> None:
        """Take the next whole batch whatever its end: the log began anew."""
        self.next_offset = None

    def whole(self) -> KeyedBatch | None:
        """Return everything it holds; ``None`` before the first read."""
        if self.next_offset is None:
            return None
        changes = (KeyedChange(0, key, value) for key, value in self._values.items())
        return KeyedBatch(0, self.next_offset, tuple(changes), is_whole=True)

    def follows(self, batch: KeyedBatch) -> bool:
        """Return whether nothing is missing between this copy and ``batch``."""
        if batch.is_whole:
            return True
        if self.next_offset is None:
            return False
        if self._is_restored(batch):
            # What is new was told to those who had known exactly as much.
            return batch.from_offset == self.next_offset
        return batch.from_offset <= self.next_offset

    def take(
        self,
        batch: KeyedBatch,
        outage_age_s: float | None = None,
        age_s: float = 0.0,
        unseen_s: float = 0.0,
    ) -> tuple[KeyedChange, ...]:
        """Take in a batch that follows.

        :param outage_age_s: how long ago the log was last out of reach.
        :param age_s: how long ago the batch was known to be complete.
        :param unseen_s: for how long what is new may have gone unnoticed here.
        :returns: the changes that were news to the listener.
        """
        if self.next_offset is not None and batch.next_offset < self.next_offset:
            return ()
        is_restored = self._is_restored(batch)
        if is_restored:
            # Entries that are missing are written again if their owners live.
            outage_age_s = 0.0
        # Whoever has had a copy before knows about how long a value was not there.
        is_history = batch.is_whole and self.synced_s is None
        learning = Learning(is_history, outage_age_s, is_restored, max(unseen_s, age_s))
        changes = self._missing(batch)
        news = tuple(change for change in changes if self._store(change, learning))
        self.next_offset = batch.next_offset
        synced_s = self._clock() - age_s
        self.synced_s = (
            synced_s if self.synced_s is None else max(self.synced_s, synced_s)
        )
        self._listener.note_synced()
        return news

    def _missing(self, batch: KeyedBatch) -> list[KeyedChange]:
        """Return the changes that this copy does not have yet."""
        if not batch.is_whole:
            return [c for c in batch.changes if c.offset >= self.next_offset]
        kept = {change.key for change in batch.changes}
        dropped = [key for key in self._values if key not in kept]
        changes = [KeyedChange(batch.next_offset - 1, key, b"") for key in dropped]
        changes += [c for c in batch.changes if self._values.get(c.key) != c.value]
        return changes

    def _is_restored(self, batch: KeyedBatch) -> bool:
        """Return whether the log returned from an older copy before ``batch``."""
        known = self.next_offset
        return known is not None and era_of(batch.next_offset) > era_of(known)

    def _store(self, change: KeyedChange, learning: Learning) -> bool:
        is_news = self._listener.take(change.key, change.value, learning)
        if learning.is_restored and not is_news and change.key in self._values:
            # Others are told of what was known and will be written again.
            return False
        if change.value:
            self._values[change.key] = change.value
        else:
            self._values.pop(change.key, None)
        return is_news
