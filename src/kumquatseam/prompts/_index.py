"""Index of the prompt parts that each engine and each store holds.

It is updated from the traffic of all instances (an instance that sends a prompt to
an engine broadcasts this) and from the holders' own reports. A holder that sends no
reports evicts parts unnoticed, so the index evicts its least recently used parts
once they exceed its memory.
"""

import abc
import collections
import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._updates import HeldPart, PromptPrefill

#: prefills queued for the next broadcast, which goes out long before this limit.
MAX_UNSENT_PREFILLS = 1024
#: assumed memory of a holder that does not report it.
DEFAULT_CAPACITY_TOKENS = 100_000
#: share of the memory assumed to hold shared parts if the holder sends no reports.
#: Its running requests use the rest.
UNREPORTED_MEMORY_SHARE = 0.6
#: time until a part that is being prefilled can be fetched by another holder.
#: Prefilling 6,000 tokens takes 120 ms, copying them to a store half as long.
SETTLE_S = 0.25
#: maximum age of the state in a holder's report; a part sent to the holder since
#: then may be missing in it.
HOLDER_REPORT_LAG_S = 1.0
#: caches store whole blocks, so fewer than this many tokens at the end of a part may
#: be missing.
BLOCK_TOKENS = 16

_Key = tuple[str, str]


@attrs.define
class _Held:
    """How much of a part a holder has.

    :param since_s: when it started to hold or prefill the part.
    :param tokens: number of tokens.
    """

    since_s: float
    tokens: int


class PartHolders(abc.ABC):
    """The holders of one prompt's shared parts for one cache salt.

    A part counts as held only if all parts before it are held as well, since an
    engine cannot use it otherwise.
    """

    @abc.abstractmethod
    def held_tokens(self, holder: str) -> int:
        """Return how many leading tokens a holder has or is prefilling."""

    @abc.abstractmethod
    def settled_tokens(self, holder: str) -> int:
        """Return how many leading tokens can be fetched from a holder now."""

    @abc.abstractmethod
    def held_anywhere_tokens(self) -> int:
        """Return how many leading tokens are held or being prefilled anywhere."""

    @abc.abstractmethod
    def holders(self) -> set[str]:
        """Return all holders of the first part."""


class PromptHolders(PartHolders):
    """The holders of one prompt's shared parts according to a :class:`PromptIndex`.

    :param levels: for each shared part, its length and its holders.
    :param now_s: monotonic time of the lookup.
    """

    def __init__(
        self, levels: list[tuple[int, dict[str, _Held]]], now_s: float
    ) -> None:
        self._levels = levels
        self._now_s = now_s

    def held_tokens(self, holder: str) -> int:
        return self._leading_tokens(holder, float("inf"))

    def settled_tokens(self, holder: str) -> int:
        return self._leading_tokens(holder, self._now_s - SETTLE_S)

    def held_anywhere_tokens(self) -> int:
        total = 0
        for tokens, holders in self._levels:
            if not holders:
                break
            total += tokens
        return total

    def holders(self) -> set[str]:
        return set(self._levels[0][1]) if self._levels else set()

    def _leading_tokens(self, holder: str, newest_s: float) -> int:
        total = 0
        for tokens, holders in self._levels:
            held = holders.get(holder)
            if held is None or held.since_s > newest_s:
                break
            total += min(held.tokens, tokens)
            if held.tokens + BLOCK_TOKENS <= tokens:
                break
        return total


@attrs.define
class _Holder:
    """The parts of one holder.

    :param capacity_tokens: size of its memory.
    :param tokens: total length of its parts.
    :param reported_s: when its last own report arrived.
    :param parts: its parts, the least recently used first.
    """

    capacity_tokens: int
    tokens: int = 0
    reported_s: float = float("-inf")
    parts: collections.OrderedDict[_Key, _Held] = attrs.Factory(collections.OrderedDict)


class PromptIndex:
    """Cached prompt parts by holder and cache salt.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_part: dict[_Key, dict[str, _Held]] = {}
        self._by_holder: dict[str, _Holder] = {}
        self._engine_capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._capacities: dict[str, int] = {}
        self._unsent_prefills: collections.deque[PromptPrefill] = collections.deque(
            maxlen=MAX_UNSENT_PREFILLS
        )

    @property
    def engine_capacity_tokens(self) -> int:
        """The memory size assumed for each engine."""
        return self._engine_capacity_tokens

    def set_engine_capacity(self, capacity_tokens: int) -> None:
        """Set the memory size assumed for each engine."""
        self._engine_capacity_tokens = capacity_tokens

    def set_capacity(self, holder: str, capacity_tokens: int) -> None:
        """Set the memory size of one holder."""
        self._capacities[holder] = capacity_tokens
        if holder in self._by_holder:
            self._by_holder[holder].capacity_tokens = capacity_tokens

    def note_prefill(
        self,
        incarnation_id: str,
        salt: str,
        chain: PromptChain,
        kept_at: str = "",
    ) -> None:
        """Record that an engine prefills the shared parts of ``chain``.

        :param kept_at: address of the store that it copies them to, if any.
        """
        prefill = PromptPrefill(incarnation_id, salt, chain.shared, kept_at)
        held = self.look_up(salt, chain).held_tokens(incarnation_id)
        if kept_at or held + BLOCK_TOKENS <= chain.shared_tokens:
            self._unsent_prefills.append(prefill)
        self.note_peer_prefill(prefill)

    def pop_unsent_prefills(self, limit: int) -> list[PromptPrefill]:
        """Remove and return up to ``limit`` prefills not yet broadcast to peers."""
        count = min(limit, len(self._unsent_prefills))
        return [self._unsent_prefills.popleft() for _ in range(count)]

    def note_peer_prefill(self, prefill: PromptPrefill) -> None:
        """Record the prefill of an engine, as broadcast by a peer."""
        for holder in filter(None, (prefill.incarnation_id, prefill.kept_at)):
            self._add_parts(holder, prefill.salt, prefill.parts)

    def apply_holder_report(
        self, holder: str, parts: Iterable[HeldPart], is_whole: bool = False
    ) -> None:
        """Update the index from a holder's own report.

        :param is_whole: whether ``parts`` is a full snapshot; other parts are then
            removed, except those sent to the holder less than
            :data:`HOLDER_REPORT_LAG_S` ago.
        """
        known = self._holder(holder)
        now_s = self._clock()
        known.reported_s = now_s
        reported = {(part.salt, part.part_id): part.tokens for part in parts}
        if is_whole:
            reported = {**dict.fromkeys(known.parts, 0), **reported}
        for key, tokens in reported.items():
            held = known.parts.get(key)
            is_recent = held is not None and held.since_s > now_s - HOLDER_REPORT_LAG_S
            if is_recent and tokens < held.tokens:
                continue
            if tokens:
                # A reported part was already stored, so it can be fetched at once.
                self._put(known, holder, key, tokens, now_s - SETTLE_S)
            else:
                self._remove(known, holder, key)
        self._evict(known, holder)

    def held_parts(self, holder: str) -> tuple[HeldPart, ...]:
        """Return the parts that a holder is assumed to have."""
        known = self._by_holder.get(holder)
        if known is None:
            return ()
        return tuple(
            HeldPart(salt, part_id, held.tokens)
            for (salt, part_id), held in known.parts.items()
        )

    def is_held(self, salt: str, part_id: str) -> bool:
        """Return whether any holder is assumed to have a part."""
        return (salt, part_id) in self._by_part

    def kept_s(self, holder: str) -> float:
        """Return how long a holder keeps a part that is not used again.

        Estimated from its least recently used part: a full holder has evicted
        everything older, and one with free memory evicts nothing.
        """
        known = self._by_holder.get(holder)
        if known is None or not known.parts:
            return float("inf")
        least_recent = next(iter(known.parts.values()))
        is_full = known.tokens > known.capacity_tokens * UNREPORTED_MEMORY_SHARE
        return self._clock() - least_recent.since_s if is_full else float("inf")

    def look_up(self, salt: str, chain: PromptChain) -> PromptHolders:
        """Return the holders of the shared parts of ``chain``."""
        return self.look_up_parts(salt, chain.shared)

    def look_up_parts(self, salt: str, parts: Iterable[PromptPart]) -> PromptHolders:
        """Return the holders of ``parts``, the leading parts of a prompt."""
        levels = [
            (part.tokens, self._by_part.get((salt, part.part_id), {})) for part in parts
        ]
        return PromptHolders(levels, self._clock())

    def forget(self, holder: str) -> None:
        """Remove a holder that ended or lost its cache."""
        known = self._by_holder.pop(holder, None)
        if known is not None:
            for key in known.parts:
                self._remove_holder_of(key, holder)

    def _add_parts(self, holder: str, salt: str, parts: tuple[PromptPart, ...]) -> None:
        known = self._holder(holder)
        now_s = self._clock()
        # The first part becomes the most recently used: later ones need it.
        for part in reversed(parts):
            key = (salt, part.part_id)
            held = known.parts.get(key)
            if held is None or held.tokens + BLOCK_TOKENS <= part.tokens:
                self._put(known, holder, key, part.tokens, now_s)
            known.parts.move_to_end(key)
        self._evict(known, holder)

    def _put(
        self, known: _Holder, holder: str, key: _Key, tokens: int, since_s: float
    ) -> None:
        held = known.parts.get(key)
        if held is None:
            held = known.parts[key] = _Held(since_s, 0)
            self._by_part.setdefault(key, {})[holder] = held
        held.since_s = since_s if tokens > held.tokens else held.since_s
        known.tokens += tokens - held.tokens
        held.tokens = tokens

    def _remove(self, known: _Holder, holder: str, key: _Key) -> None:
        held = known.parts.pop(key, None)
        if held is not None:
            known.tokens -= held.tokens
            self._remove_holder_of(key, holder)

    def _evict(self, known: _Holder, holder: str) -> None:
        """Evict the least recently used parts that exceed the memory."""
        is_reported = self._clock() - known.reported_s <= HOLDER_REPORT_LAG_S
        share = 1.0 if is_reported else UNREPORTED_MEMORY_SHARE
        while known.tokens > known.capacity_tokens * share and known.parts:
            self._remove(known, holder, next(iter(known.parts)))

    def _holder(self, holder: str) -> _Holder:
        known = self._by_holder.get(holder)
        if known is None:
            capacity = self._capacities.get(holder, self._engine_capacity_tokens)
            known = self._by_holder[holder] = _Holder(capacity)
        return known

    def _remove_holder_of(self, key: _Key, holder: str) -> None:
        holders = self._by_part.get(key)
        if holders is None:
            return
        holders.pop(holder, None)
        if not holders:
            del self._by_part[key]
