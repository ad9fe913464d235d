"""Where an engine would get each part of a prompt's KV cache from."""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from kumquatseam.prompts import PartHolders, PromptChain
from kumquatseam.routes import CacheStore, EngineTraits

#: per the users' documentation, a transfer between availability zones takes twice
#: as long.
OTHER_ZONE_FACTOR = 2.0


@attrs.frozen
class CacheSource:
    """An engine or a store that cached parts can be fetched from.

    :param holder: its name in the index.
    :param address: ``host:port``.
    :param availability_zone: its zone.
    :param link_mbps: bandwidth of its link; 0 to use that of an engine's link.
    """

    holder: str
    address: str
    availability_zone: str
    link_mbps: float = 0.0


@attrs.frozen
class CachePlan:
    """Which tokens of a prompt an engine would reuse, fetch and prefill.

    :param held_tokens: leading tokens in its own cache.
    :param fetched_tokens: further tokens that it fetches.
    :param prefill_tokens: tokens that it has to prefill.
    :param repeated_tokens: those of them that another engine has prefilled or is
        prefilling for the same weights and scope.
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
    """Makes the cache plan of one prompt for any engine.

    :param prompt: the prompt.
    :param holders: how many of its leading tokens each holder has.
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
        self._known_tokens = holders.held_anywhere_tokens()
        self._traits = traits
        self._sources: list[tuple[int, CacheSource]] = []
        for source in sources:
            tokens = holders.settled_tokens(source.holder)
            if tokens:
                self._sources.append((tokens, source))

    def plan(self, engine: str, zone: str) -> CachePlan:
        """Return the plan for an engine in ``zone``."""
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
        """Return the source that holds the most tokens; of equals, the fastest."""
        best: tuple[int, float, CacheSource | None] = (0, 0.0, None)
        for tokens, source in self._sources:
            fetched = tokens - held
            factor = 1.0 if source.availability_zone == zone else OTHER_ZONE_FACTOR
            ms_per_token = self._traits.transfer_ms_per_token_over(source.link_mbps)
            fetch_ms = fetched * ms_per_token * factor
            if fetched > 0 and (fetched, -fetch_ms) > (best[0], -best[1]):
                best = (fetched, fetch_ms, source)
        return best


def select_store(
    prompt: PromptChain, stores: Sequence[CacheStore]
) -> CacheStore | None:
    """Return the store for the parts of ``prompt``, by rendezvous hashing.

    Prompts are partitioned among the stores by their last shared part, so that the
    stores' memory adds up and every instance selects the same store.
    """
    shared = prompt.shared
    if not shared or not stores:
        return None
    key = shared[-1].part_id

    def weight(store: CacheStore) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}|{store.address}".encode())

    return max(stores, key=weight)
