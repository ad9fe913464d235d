"""Which prompt parts each engine and each store of kept parts holds.

What is known comes from the traffic of all instances (whoever sends a prompt to
an engine tells the others) and from what the holders say themselves. A holder
that says nothing drops parts unseen, so its parts are forgotten by the least
recent use once they exceed its memory.
"""

import abc
import collections
import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._held import HeldPart, PromptPrefill

#: prompts remembered for being told to peers; a summary goes out long before.
MAX_FRESH = 1024
#: memory assumed of a holder that names none, in tokens.
DEFAULT_CAPACITY_TOKENS = 100_000
#: share of a silent holder's memory that parts are assumed to stay in. The rest
#: is what its running requests take for themselves.
KEPT_SHARE = 0.6
#: a part that is just being read cannot be fetched elsewhere yet. Reading one of
#: 6,000 tokens takes 120 ms, and sending it to a store half as long.
SETTLE_S = 0.25
#: what a holder says is this old at most; a part given to it since then may be
#: missing in what it says.
SAID_LAG_S = 1.0
#: memory goes by blocks, so up to this many tokens of a whole part are missing.
BLOCK_TOKENS = 16

_Key = tuple[str, str]


@attrs.define
class _Held:
    """A holder's share of a part.

    :param since_s: since when it is believed to hold it.
    :param tokens: how much of it.
    """

    since_s: float
    tokens: int


class PartHolders(abc.ABC):
    """Who holds how much of one prompt within one scope.

    A part counts as held only together with every part before it, since an
    engine cannot use it otherwise.
    """

    @abc.abstractmethod
    def held_tokens(self, holder: str) -> int:
        """Return how many leading tokens a holder has or is reading."""

    @abc.abstractmethod
    def settled_tokens(self, holder: str) -> int:
        """Return how many leading tokens can be fetched from a holder."""

    @abc.abstractmethod
    def held_anywhere_tokens(self) -> int:
        """Return how many leading tokens anyone has or is reading."""

    @abc.abstractmethod
    def holders(self) -> set[str]:
        """Return everyone who has the first part."""


class PromptHolders(PartHolders):
    """Who holds how much of one prompt, as an index knows it.

    :param levels: each shared part's length, and who holds it.
    :param now_s: monotonic time of the look-up.
    """

    def __init__(
        self, levels: list[tuple[int, dict[str, _Held]]], now_s: float
    ) -> None:
        self._levels = levels
        self._now_s = now_s

    def held_tokens(self, holder: str) -> int:
        return self._leading(holder, float("inf"))

    def settled_tokens(self, holder: str) -> int:
        return self._leading(holder, self._now_s - SETTLE_S)

    def held_anywhere_tokens(self) -> int:
        total = 0
        for tokens, holders in self._levels:
            if not holders:
                break
            total += tokens
        return total

    def holders(self) -> set[str]:
        return set(self._levels[0][1]) if self._levels else set()

    def _leading(self, holder: str, newest_s: float) -> int:
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
    """Parts of one holder, the least recently used first.

    :param capacity_tokens: its memory.
    :param tokens: how much its parts take.
    :param said_s: when it last said itself what it keeps.
    """

    capacity_tokens: int
    tokens: int = 0
    said_s: float = float("-inf")
    parts: collections.OrderedDict[_Key, _Held] = attrs.Factory(collections.OrderedDict)


class PromptIndex:
    """Parts by holder, within the scope given by a cache salt.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_part: dict[_Key, dict[str, _Held]] = {}
        self._by_holder: dict[str, _Holder] = {}
        self._engine_capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._capacities: dict[str, int] = {}
        self._fresh: collections.deque[PromptPrefill] = collections.deque(
            maxlen=MAX_FRESH
        )

    @property
    def engine_capacity_tokens(self) -> int:
        """How much the memory of an engine takes."""
        return self._engine_capacity_tokens

    def set_engine_capacity(self, capacity_tokens: int) -> None:
        """Say how much the memory of an engine takes."""
        self._engine_capacity_tokens = capacity_tokens

    def set_capacity(self, holder: str, capacity_tokens: int) -> None:
        """Say how much a certain holder's memory takes."""
        self._capacities[holder] = capacity_tokens
        if holder in self._by_holder:
            self._by_holder[holder].capacity_tokens = capacity_tokens

    def note_read(
        self,
        incarnation_id: str,
        salt: str,
        chain: PromptChain,
        kept_at: str = "",
    ) -> None:
        """Note that an engine reads the shared parts of ``chain``.

        :param kept_at: address of the store it sends them to, if it does.
        """
        read = PromptPrefill(incarnation_id, salt, chain.shared, kept_at)
        held = self.look_up(salt, chain).held_tokens(incarnation_id)
        if kept_at or held + BLOCK_TOKENS <= chain.shared_tokens:
            self._fresh.append(read)
        self.note_peer_prefill(read)

    def take_fresh(self, limit: int) -> list[PromptPrefill]:
        """Return up to ``limit`` reads that peers were not yet told of."""
        count = min(limit, len(self._fresh))
        return [self._fresh.popleft() for _ in range(count)]

    def note_peer_prefill(self, read: PromptPrefill) -> None:
        """Note what an engine reads, as a peer says."""
        for holder in filter(None, (read.incarnation_id, read.kept_at)):
            self._note(holder, read.salt, read.parts)

    def apply_holder_report(
        self, holder: str, parts: Iterable[HeldPart], is_whole: bool = False
    ) -> None:
        """Take in what a holder says that it keeps.

        :param is_whole: it keeps nothing else, but for what it was given to read
            a moment ago.
        """
        known = self._holder(holder)
        now_s = self._clock()
        known.said_s = now_s
        said = {(part.salt, part.part_id): part.tokens for part in parts}
        if is_whole:
            said = {**dict.fromkeys(known.parts, 0), **said}
        for key, tokens in said.items():
            held = known.parts.get(key)
            is_recent = held is not None and held.since_s > now_s - SAID_LAG_S
            if is_recent and tokens < held.tokens:
                continue
            if tokens:
                # It was there some time ago, so it can be fetched at once.
                self._put(known, holder, key, tokens, now_s - SETTLE_S)
            else:
                self._remove(known, holder, key)
        self._trim(known, holder)

    def held_parts(self, holder: str) -> tuple[HeldPart, ...]:
        """Return what a holder is believed to keep."""
        known = self._by_holder.get(holder)
        if known is None:
            return ()
        return tuple(
            HeldPart(salt, part_id, held.tokens)
            for (salt, part_id), held in known.parts.items()
        )

    def is_known(self, salt: str, part_id: str) -> bool:
        """Return whether anybody is believed to hold a part."""
        return (salt, part_id) in self._by_part

    def kept_s(self, holder: str) -> float:
        """Return how long a holder keeps a part that nobody asks for.

        As far as its least recently used part shows: a full holder has dropped
        everything older, and one with room drops nothing.
        """
        known = self._by_holder.get(holder)
        if known is None or not known.parts:
            return float("inf")
        least_recent = next(iter(known.parts.values()))
        is_full = known.tokens > known.capacity_tokens * KEPT_SHARE
        return self._clock() - least_recent.since_s if is_full else float("inf")

    def look_up(self, salt: str, chain: PromptChain) -> PromptHolders:
        """Return who holds the shared parts of ``chain``."""
        return self.look_up_parts(salt, chain.shared)

    def look_up_parts(self, salt: str, parts: Iterable[PromptPart]) -> PromptHolders:
        """Return who holds leading ``parts`` of a prompt."""
        levels = [
            (part.tokens, self._by_part.get((salt, part.part_id), {})) for part in parts
        ]
        return PromptHolders(levels, self._clock())

    def forget(self, holder: str) -> None:
        """Forget everything about a holder that ended or was emptied."""
        known = self._by_holder.pop(holder, None)
        if known is not None:
            for key in known.parts:
                self._drop(key, holder)

    def _note(self, holder: str, salt: str, parts: tuple[PromptPart, ...]) -> None:
        known = self._holder(holder)
        now_s = self._clock()
        # The first part comes last: a part is of no use without those before it.
        for part in reversed(parts):
            key = (salt, part.part_id)
            held = known.parts.get(key)
            if held is None or held.tokens + BLOCK_TOKENS <= part.tokens:
                self._put(known, holder, key, part.tokens, now_s)
            known.parts.move_to_end(key)
        self._trim(known, holder)

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
            self._drop(key, holder)

    def _trim(self, known: _Holder, holder: str) -> None:
        """Forget what no longer fits, the least recently used first."""
        is_heard = self._clock() - known.said_s <= SAID_LAG_S
        share = 1.0 if is_heard else KEPT_SHARE
        while known.tokens > known.capacity_tokens * share and known.parts:
            self._remove(known, holder, next(iter(known.parts)))

    def _holder(self, holder: str) -> _Holder:
        known = self._by_holder.get(holder)
        if known is None:
            capacity = self._capacities.get(holder, self._engine_capacity_tokens)
            known = self._by_holder[holder] = _Holder(capacity)
        return known

    def _drop(self, key: _Key, holder: str) -> None:
        holders = self._by_part.get(key)
        if holders is None:
            return
        holders.pop(holder, None)
        if not holders:
            del self._by_part[key]
