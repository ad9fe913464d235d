"""Approximate prefix index: which block keys each engine probably caches.

The index is updated from engines' cache events, which arrive late and with
gaps. It is approximate by design: an entry expires if it is not confirmed
within ``entry_ttl_s``, because engines evict blocks within seconds. When a new
epoch of an engine is seen, the entries of the previous one are dropped and
that epoch is retired: late events and reports from it are ignored, so that a
restarted engine is never credited with the cache that it lost.

Entries are stored per engine and epoch, and the block keys don't depend on
either. A prompt's keys are therefore computed once per request rather than
once per candidate (``route_us_per_candidate`` in docs/CAPACITY.md).
"""

import collections
import itertools
from collections.abc import Sequence

import attrs

from kumquatseam.engines import CacheEventBatch
from kumquatseam.fleet import EngineBlocks
from kumquatseam.logs import part_logger

_log = part_logger("index")
#: retired epochs kept per engine; no message of an older one is still in transit.
RETIRED_EPOCHS_KEPT = 16


@attrs.define
class _EngineEntries:
    epoch: str
    last_sequence: int | None = None
    lost_batches: int = 0
    entries: dict[int, float] = attrs.Factory(dict)


class PrefixIndex:
    """Block keys that each engine probably caches, judged by its cache events.

    :param entry_ttl_s: time after which an entry that was not confirmed expires.
    """

    def __init__(self, entry_ttl_s: float) -> None:
        self._entry_ttl_s = entry_ttl_s
        self._engines: dict[str, _EngineEntries] = {}
        self._retired: dict[str, collections.deque[str]] = {}
        #: the epochs of engines that were dropped, and may be heard from again.
        self._dropped: dict[str, str] = {}

    def is_retired(self, engine: str, epoch: str) -> bool:
        """Return whether ``epoch`` is an earlier epoch of ``engine``."""
        return epoch in self._retired.get(engine, ())

    def apply(self, batch: CacheEventBatch, now_s: float) -> None:
        """Apply one batch of cache events.

        A batch of a retired epoch, a duplicate or one out of order is ignored.

        :param batch: the events, possibly after a gap.
        :param now_s: the monotonic time of its arrival.
        """
        if self.is_retired(batch.engine, batch.epoch):
            return
        state = self._engines.get(batch.engine)
        if state is None or state.epoch != batch.epoch:
            self.observe_epoch(batch.engine, batch.epoch)
            state = self._engines[batch.engine]
        last = state.last_sequence
        if last is not None and batch.sequence <= last:
            return
        # Batches before the first one received are not counted as lost: the
        # router may have subscribed after they were sent.
        gap = batch.sequence - last - 1 if last is not None else 0
        if gap:
            state.lost_batches += gap
            _log.info("Engine {}: lost {} event batches.", batch.engine, gap)
        state.last_sequence = batch.sequence
        for key in batch.removed_keys:
            state.entries.pop(key, None)
        for key in batch.stored_keys:
            state.entries[key] = now_s

    def observe_epoch(self, engine: str, epoch: str) -> None:
        """Record the epoch of ``engine``; drop the entries of an earlier one.

        :param engine: the engine's name.
        :param epoch: its last reported epoch.
        """
        state = self._engines.get(engine)
        if self.is_retired(engine, epoch) or (state and state.epoch == epoch):
            return
        dropped = self._dropped.pop(engine, epoch)
        if dropped != epoch:
            self._retire(engine, dropped)
        if state is not None:
            self._retire(engine, state.epoch)
            _log.info(
                "Engine {} restarted (epoch {} to {}); dropped {} blocks.",
                engine,
                state.epoch,
                epoch,
                len(state.entries),
            )
        self._engines[engine] = _EngineEntries(epoch=epoch)

    def drop(self, engine: str) -> None:
        """Drop the entries of an engine that is dead or no longer configured.

        :param engine: the engine's name.
        """
        state = self._engines.pop(engine, None)
        if state is not None:
            self._dropped[engine] = state.epoch
            _log.info(
                "Engine {} is dead or removed; dropped {} blocks.",
                engine,
                len(state.entries),
            )

    def _retire(self, engine: str, epoch: str) -> None:
        retired = self._retired.setdefault(
            engine, collections.deque(maxlen=RETIRED_EPOCHS_KEPT)
        )
        retired.append(epoch)

    def epoch(self, engine: str) -> str | None:
        """Return the engine's last seen epoch, or ``None``."""
        state = self._engines.get(engine)
        return state.epoch if state else None

    def match(self, engine: str, keys: list[int], now_s: float) -> int:
        """Return how many leading ``keys`` the engine probably caches.

        :param engine: the engine's name.
        :param keys: the prompt's chained block keys for that engine's weights.
        :param now_s: the current monotonic time.
        """
        state = self._engines.get(engine)
        if state is None:
            return 0
        oldest_s = now_s - self._entry_ttl_s
        matched = 0
        for key in keys:
            seen_s = state.entries.get(key)
            if seen_s is None or seen_s < oldest_s:
                break
            matched += 1
        return matched

    def confirm(self, engine: str, epoch: str, keys: Sequence[int], now_s: float):
        """Record that an engine caches ``keys`` because it just served the prompt.

        :param epoch: the engine's epoch when it served the prompt; the call has
            no effect unless it is the current one.
        """
        state = self._engines.get(engine)
        if state is not None and state.epoch == epoch:
            state.entries.update(dict.fromkeys(keys, now_s))

    def export(self, limit_blocks: int) -> tuple[EngineBlocks, ...]:
        """Return the newest blocks of every engine, equally many of each.

        :param limit_blocks: maximum number of blocks of all engines together.
        """
        share = limit_blocks // max(1, len(self._engines))
        return tuple(
            EngineBlocks(name, state.epoch, _newest_keys(state.entries, share))
            for name, state in self._engines.items()
        )

    def merge(self, blocks: EngineBlocks, now_s: float) -> int:
        """Add another router's entries for an engine.

        Entries are ignored if their epoch differs from the known one.

        :returns: number of blocks added.
        """
        if self.is_retired(blocks.engine, blocks.epoch):
            return 0
        state = self._engines.get(blocks.engine)
        if self._dropped.get(blocks.engine, blocks.epoch) != blocks.epoch:
            return 0
        if state is None:
            state = _EngineEntries(epoch=blocks.epoch)
            self._engines[blocks.engine] = state
        if state.epoch != blocks.epoch:
            return 0
        new_keys = [key for key in blocks.keys if key not in state.entries]
        state.entries.update(dict.fromkeys(new_keys, now_s))
        return len(new_keys)

    def size_blocks(self, engine: str) -> int:
        """Return the number of entries for ``engine``."""
        state = self._engines.get(engine)
        return len(state.entries) if state else 0

    def lost_batches(self, engine: str) -> int:
        """Return the number of event batches of the current epoch that were lost."""
        state = self._engines.get(engine)
        return state.lost_batches if state else 0


def _newest_keys(entries: dict[int, float], count: int) -> tuple[int, ...]:
    return tuple(itertools.islice(reversed(entries), count))[::-1]
