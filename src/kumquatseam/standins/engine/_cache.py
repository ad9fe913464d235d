"""The stand-in engine's block KV cache: fixed capacity, least recently used out."""

from collections import OrderedDict

import attrs


@attrs.frozen
class CacheChange:
    """What one admission changed in the cache.

    :param stored_keys: keys newly cached.
    :param removed_keys: keys evicted to make room.
    """

    stored_keys: tuple[int, ...]
    removed_keys: tuple[int, ...]


class BlockCache:
    """Cached block keys, at most ``capacity_blocks`` of them.

    :param capacity_blocks: how many blocks fit.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def usage_ratio(self) -> float:
        """Used share of the capacity, 0 to 1."""
        return len(self._blocks) / self._capacity_blocks

    def peek(self, keys: list[int]) -> int:
        """Count leading ``keys`` held, without touching recency."""
        matched = 0
        for key in keys:
            if key not in self._blocks:
                break
            matched += 1
        return matched

    def admit(self, keys: list[int]) -> tuple[int, CacheChange]:
        """Use the prompt's blocks: count the cached prefix, cache the rest.

        :param keys: the prompt's chained block keys.
        :returns: matched leading blocks, and what changed.
        """
        matched = self.peek(keys)
        for key in keys[:matched]:
            self._blocks.move_to_end(key)
        stored = []
        removed = []
        for key in keys[matched:]:
            if key in self._blocks:
                self._blocks.move_to_end(key)
                continue
            while len(self._blocks) >= self._capacity_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                removed.append(evicted)
            self._blocks[key] = None
            stored.append(key)
        return matched, CacheChange(tuple(stored), tuple(removed))

    def clear(self) -> CacheChange:
        """Drop every block.

        :returns: the change, for the event stream.
        """
        removed = tuple(self._blocks)
        self._blocks.clear()
        return CacheChange((), removed)
