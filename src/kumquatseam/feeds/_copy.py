"""This instance's copy of a keyed topic."""

from collections.abc import Callable

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    ChangeContext,
    KeyedBatch,
    KeyedChange,
    KeyedListener,
    era_of,
)

_log = part_logger("feeds")


class TopicCopy:
    """The values of a keyed topic, up to an offset.

    Batches may come from the log and from several other instances; each record
    is applied once.

    :param listener: called once for every changed value.
    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(
        self, listener: KeyedListener, clock: Callable[[], float] = elapsed_s
    ) -> None:
        self._listener = listener
        self._clock = clock
        self._values: dict[str, bytes] = {}
        #: keys whose values in a restored log were ignored.
        self._kept_keys: set[str] = set()
        self.next_offset: int | None = None
        self.synced_s: float | None = None

    def age_s(self) -> float:
        """Return the time since the copy was last known to be complete."""
        if self.synced_s is None:
            return float("inf")
        return self._clock() - self.synced_s

    def reset_offset(self) -> None:
        """Accept a batch with a lower end offset next: the log was reset."""
        self.next_offset = None

    def snapshot(self) -> KeyedBatch | None:
        """Return all values as a full batch; ``None`` before the first read."""
        if self.next_offset is None:
            return None
        changes = (KeyedChange(0, key, value) for key, value in self._values.items())
        return KeyedBatch(0, self.next_offset, tuple(changes), is_snapshot=True)

    def can_apply(self, batch: KeyedBatch) -> bool:
        """Return whether no record is missing between this copy and ``batch``."""
        if batch.is_snapshot:
            return True
        if self.next_offset is None:
            return False
        if era_of(batch.next_offset) > era_of(batch.from_offset):
            # It starts before a restore: it fits only copies at the offset it starts
            # from, and adds nothing to those beyond its end.
            is_old = batch.next_offset <= self.next_offset
            return is_old or batch.from_offset == self.next_offset
        return batch.from_offset <= self.next_offset

    def apply(
        self,
        batch: KeyedBatch,
        outage_age_s: float | None = None,
        age_s: float = 0.0,
        unseen_s: float = 0.0,
    ) -> tuple[KeyedChange, ...]:
        """Apply a batch for which :meth:`can_apply` holds.

        :param outage_age_s: how long ago the log was last unreachable.
        :param age_s: how long ago the batch was known to be complete.
        :param unseen_s: how long ago its changes may have been written without
            being noticed here.
        :returns: the changes that the listener reported as effective.
        """
        known = self.next_offset
        if known is not None and batch.next_offset < known:
            return ()
        is_restored = known is not None and era_of(batch.next_offset) > era_of(known)
        if is_restored:
            # As after an outage: owners that still run write lost entries again.
            outage_age_s = 0.0
        # With an earlier copy, its age bounds how long ago a value was written.
        is_initial = batch.is_snapshot and self.synced_s is None
        change_context = ChangeContext(
            is_initial, outage_age_s, is_restored, max(unseen_s, age_s)
        )
        changes = self._missing(batch)
        effective = tuple(c for c in changes if self._store(c, change_context))
        self.next_offset = batch.next_offset
        synced_s = self._clock() - age_s
        self.synced_s = (
            synced_s if self.synced_s is None else max(self.synced_s, synced_s)
        )
        self._listener.note_synced()
        return effective

    def _missing(self, batch: KeyedBatch) -> list[KeyedChange]:
        """Return the changes that this copy does not contain yet."""
        if not batch.is_snapshot:
            return [c for c in batch.changes if c.offset >= self.next_offset]
        kept = {change.key for change in batch.changes}
        dropped = [key for key in self._values if key not in kept]
        changes = [KeyedChange(batch.next_offset - 1, key, b"") for key in dropped]
        changes += [c for c in batch.changes if self._values.get(c.key) != c.value]
        return changes

    def _apply_change(self, change: KeyedChange, change_context: ChangeContext) -> bool:
        """Tell the listener; a record that it fails on must not stop the others."""
        try:
            return self._listener.apply(change.key, change.value, change_context)
        except Exception:  # noqa: BLE001 - any kind of record may come; logged
            _log.bind(key=change.key, offset=change.offset).exception(
                "A record cannot be applied; skipped."
            )
            return False

    def _store(self, change: KeyedChange, change_context: ChangeContext) -> bool:
        is_effective = self._apply_change(change, change_context)
        if change_context.is_restored and not is_effective:
            self._kept_keys.add(change.key)
            if change.key in self._values:
                # Snapshots for peers keep the known value; its owner writes it again.
                return False
        elif change.key in self._kept_keys:
            # Peers may have read the value that was ignored here.
            self._kept_keys.discard(change.key)
            is_effective = True
        if change.value:
            self._values[change.key] = change.value
        else:
            self._values.pop(change.key, None)
        return is_effective
