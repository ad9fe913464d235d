"""Where an engine gets the parts of a prompt from, if it takes the prompt."""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from kumquatseam.prompts import PartHolders, PromptChain
from kumquatseam.routes import CacheStore, EngineTraits

#: a transfer between availability zones takes twice as long (the users' pages).
OTHER_ZONE_FACTOR = 2.0


@attrs.frozen
class CacheSource:
    """An engine or a store that parts can be fetched from.

    :param holder: its name in the index.
    :param address: ``host:port``.
    :param availability_zone: where it is.
    :param link_mbps: speed of its link; 0 if it is an engine's.
    """

    holder: str
    address: str
    availability_zone: str
    link_mbps: float = 0.0


@attrs.frozen
class CachePlan:
    """What one engine would do for a prompt.

    :param held_tokens: leading tokens it has.
    :param fetched_tokens: further tokens it fetches.
    :param prefill_tokens: tokens it has to read.
    :param repeated_tokens: those of them that another engine has read for the
        same weights and scope.
    :param fetch_ms: time to fetch.
    :param source: where it fetches; ``None`` if there is nothing to fetch.
    """

    held_tokens: int
    fetched_tokens: int
    prefill_tokens: int
    repeated_tokens: int
    fetch_ms: float = 0.0
    source: CacheSource | None = None


class CachePlanner:
    """Plans for one prompt, for any engine.

    :param prompt: the prompt.
    :param holders: who holds how much of it.
    :param sources: engines and stores to fetch from.
    :param traits: the engines' memory and links.
    """

    def __init__(
        self,
        prompt: PromptChain,
        holders: PartHolders,
        sources: Iterable[CacheSource],
        traits: EngineTraits,
    ) -> None:
        self._prompt = prompt
        self._holders = holders
        self._known_tokens = holders.known_tokens()
        self._traits = traits
        self._sources: list[tuple[int, CacheSource]] = []
        for source in sources:
            tokens = holders.settled_tokens(source.holder)
            if tokens:
                self._sources.append((tokens, source))

    def plan(self, engine: str, zone: str) -> CachePlan:
        """Return what an engine in ``zone`` would do."""
        held = self._holders.held_tokens(engine)
        fetched, fetch_ms, source = self._fetch(held, zone)
        covered = held + fetched
        return CachePlan(
            held,
            fetched,
            self._prompt.tokens - covered,
            max(0, self._known_tokens - covered),
            fetch_ms,
            source,
        )

    def _fetch(self, held: int, zone: str) -> tuple[int, float, CacheSource | None]:
        """Return the source that has most, the nearest of equals."""
        best: tuple[int, float, CacheSource | None] = (0, 0.0, None)
        for tokens, source in self._sources:
            fetched = tokens - held
            factor = 1.0 if source.availability_zone == zone else OTHER_ZONE_FACTOR
            ms_per_token = self._traits.transfer_ms_per_token_over(source.link_mbps)
            fetch_ms = fetched * ms_per_token * factor
            if fetched > 0 and (fetched, -fetch_ms) > (best[0], -best[1]):
                best = (fetched, fetch_ms, source)
        return best


def store_for(prompt: PromptChain, stores: Sequence[CacheStore]) -> CacheStore | None:
    """Return the store that keeps the parts of ``prompt``.

    Each store keeps the prompts of its own items, so that all together keep as
    much as they have memory, and every instance knows which to ask.
    """
    shared = prompt.shared
    if not shared or not stores:
        return None
    key = shared[-1].part_id

    def weight(store: CacheStore) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}|{store.address}".encode())

    return max(stores, key=weight)
