"""The approximate per-engine prefix index.

Fed by engines' cache events, which arrive late and with gaps, the index says
which block keys each engine probably still holds. It is approximate by
design: an entry not confirmed within ``entry_ttl_s`` is forgotten, because
engines evict within seconds. Entries of an older engine epoch are dropped the
moment a newer epoch is seen, and the old epoch is retired: late events or
reports from it are ignored, so a restarted engine is never credited with the
cache it lost.

Entries are scoped by engine and epoch in the index's structure rather than in
the block key itself: so a prompt's keys are computed once per request, not
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
#: retired epochs remembered per engine; older ones are long out of flight.
RETIRED_EPOCHS_KEPT = 16


@attrs.define
class _EngineEntries:
    epoch: str
    last_sequence: int | None = None
    lost_batches: int = 0
    entries: dict[int, float] = attrs.Factory(dict)


class PrefixIndex:
    """Block keys each engine holds, as far as its events tell.

    :param entry_ttl_s: how long an entry lives without being confirmed.
    """

    def __init__(self, entry_ttl_s: float) -> None:
        self._entry_ttl_s = entry_ttl_s
        self._engines: dict[str, _EngineEntries] = {}
        self._retired: dict[str, collections.deque] = collections.defaultdict(
            lambda: collections.deque(maxlen=RETIRED_EPOCHS_KEPT)
        )

    def is_retired(self, engine: str, epoch: str) -> bool:
        """Return whether ``epoch`` is an earlier life of ``engine``."""
        return epoch in self._retired[engine]

    def apply(self, batch: CacheEventBatch, now_s: float) -> None:
        """Take in one batch of cache events.

        :param batch: the events, possibly after a gap.
        :param now_s: the monotonic time it arrived.
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
        # The first batch heard says nothing of those before this router came.
        gap = batch.sequence - last - 1 if last is not None else 0
        if gap:
            state.lost_batches += gap
            _log.info("Engine {} lost {} event batches.", batch.engine, gap)
        state.last_sequence = batch.sequence
        for key in batch.removed_keys:
            state.entries.pop(key, None)
        for key in batch.stored_keys:
            state.entries[key] = now_s

    def observe_epoch(self, engine: str, epoch: str) -> None:
        """Record that ``engine`` runs in ``epoch``; drop older entries.

        :param engine: the engine's name.
        :param epoch: its epoch as last reported.
        """
        state = self._engines.get(engine)
        if self.is_retired(engine, epoch) or (state and state.epoch == epoch):
            return
        if state is not None:
            self._retired[engine].append(state.epoch)
            _log.info(
                "Engine {} restarted (epoch {} to {}); dropped {} blocks.",
                engine,
                state.epoch,
                epoch,
                len(state.entries),
            )
        self._engines[engine] = _EngineEntries(epoch=epoch)

    def drop(self, engine: str) -> None:
        """Forget everything about a dead engine.

        :param engine: the engine's name.
        """
        state = self._engines.pop(engine, None)
        if state is not None:
            _log.info(
                "Engine {} is dead; dropped {} blocks.", engine, len(state.entries)
            )

    def epoch(self, engine: str) -> str | None:
        """Return the engine's epoch as last seen, or ``None``."""
        state = self._engines.get(engine)
        return state.epoch if state else None

    def match(self, engine: str, keys: list[int], now_s: float) -> int:
        """Count how many leading ``keys`` the engine probably holds.

        :param engine: the engine's name.
        :param keys: the prompt's chained block keys for that engine's epoch.
        :param now_s: the monotonic time now.
        :returns: number of matched leading blocks.
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
        """Note that an engine holds ``keys``: it just served that prompt.

        :param epoch: the life it served it in; another one is ignored.
        """
        state = self._engines.get(engine)
        if state is not None and state.epoch == epoch:
            state.entries.update(dict.fromkeys(keys, now_s))

    def export(self, limit_blocks: int) -> tuple[EngineBlocks, ...]:
        """Return the newest blocks of every engine, an equal share of each.

        :param limit_blocks: blocks over all engines at most.
        """
        share = limit_blocks // max(1, len(self._engines))
        return tuple(
            EngineBlocks(name, state.epoch, _newest_keys(state.entries, share))
            for name, state in self._engines.items()
        )

    def adopt(self, blocks: EngineBlocks, now_s: float) -> int:
        """Take in what another router knew of an engine's cache.

        Nothing is adopted for a life of the engine other than the one known.

        :returns: blocks added.
        """
        if self.is_retired(blocks.engine, blocks.epoch):
            return 0
        state = self._engines.get(blocks.engine)
        if state is None:
            state = _EngineEntries(epoch=blocks.epoch)
            self._engines[blocks.engine] = state
        if state.epoch != blocks.epoch:
            return 0
        fresh = [key for key in blocks.keys if key not in state.entries]
        state.entries.update(dict.fromkeys(fresh, now_s))
        return len(fresh)

    def size_blocks(self, engine: str) -> int:
        """Return how many entries the index keeps for ``engine``."""
        state = self._engines.get(engine)
        return len(state.entries) if state else 0

    def lost_batches(self, engine: str) -> int:
        """Return how many event batches of the current epoch never arrived."""
        state = self._engines.get(engine)
        return state.lost_batches if state else 0


def _newest_keys(entries: dict[int, float], count: int) -> tuple[int, ...]:
    return tuple(itertools.islice(reversed(entries), count))[::-1]
