"""Which prompt parts each engine and each store of kept parts holds.

What is known comes from the traffic of all instances: whoever sends a prompt to
an engine tells the others. Nobody says what a holder drops, so its parts are
forgotten by the least recent use once they exceed its memory.
"""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.prompts._chain import PromptChain, PromptPart

#: prompts remembered for being told to peers; a summary goes out long before.
MAX_FRESH = 1024
#: memory assumed of a holder that names none, in tokens: an engine's on the
#: users' sheets.
DEFAULT_CAPACITY_TOKENS = 100_000
#: share of a holder's memory that parts are assumed to stay in. The rest is what
#: its running requests take for themselves.
KEPT_SHARE = 0.6
#: a part that is just being read cannot be fetched elsewhere yet. Reading one of
#: 6,000 tokens takes 120 ms, and sending it to a store half as long.
SETTLE_S = 0.25


@attrs.frozen
class PromptRead:
    """Prompt parts that an engine was just given to read.

    :param incarnation_id: the incarnation of an engine.
    :param salt: the scope of its cached parts.
    :param parts: the parts that requests may share, in prompt order.
    :param kept_at: address of the store that the engine sends them to; ``""``
        for none.
    """

    incarnation_id: str
    salt: str
    parts: tuple[PromptPart, ...]
    kept_at: str = ""


@attrs.frozen
class _Level:
    """A part of a prompt together with all before it, and who holds that.

    :param tokens: the part's length.
    :param holders: by holder, since when it is believed to hold it.
    """

    tokens: int
    holders: dict[str, float]


class PromptHolders:
    """Who holds how much of one prompt within one scope.

    :param levels: from the first part on.
    :param now_s: monotonic time of the look-up.
    """

    def __init__(self, levels: list[_Level], now_s: float) -> None:
        self._levels = levels
        self._now_s = now_s

    def held_tokens(self, holder: str) -> int:
        """Return how many leading tokens a holder has or is reading."""
        return self._leading(lambda holders: holder in holders)

    def settled_tokens(self, holder: str) -> int:
        """Return how many leading tokens can be fetched from a holder."""
        oldest_s = self._now_s - SETTLE_S
        return self._leading(
            lambda holders: holders.get(holder, float("inf")) <= oldest_s
        )

    def known_tokens(self) -> int:
        """Return how many leading tokens anyone has or is reading."""
        return self._leading(bool)

    def holders(self) -> set[str]:
        """Return everyone who has the first part."""
        return set(self._levels[0].holders) if self._levels else set()

    def _leading(self, is_there: Callable[[dict[str, float]], bool]) -> int:
        total = 0
        for level in self._levels:
            if not is_there(level.holders):
                break
            total += level.tokens
        return total


@attrs.define
class _Holder:
    """Parts of one holder, the least recently used first."""

    capacity_tokens: int
    tokens: int = 0
    prefixes: collections.OrderedDict = attrs.Factory(collections.OrderedDict)


class PromptIndex:
    """Parts by holder, within the scope given by a cache salt.

    A part counts as held only together with every part before it, since an
    engine cannot use it otherwise. So each entry is the chain up to a part.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_prefix: dict[tuple, dict[str, float]] = {}
        self._by_holder: dict[str, _Holder] = {}
        self._engine_capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._fresh: collections.deque[PromptRead] = collections.deque(maxlen=MAX_FRESH)

    def set_engine_capacity(self, capacity_tokens: int) -> None:
        """Say how much the memory of an engine takes."""
        self._engine_capacity_tokens = capacity_tokens

    def set_capacity(self, holder: str, capacity_tokens: int) -> None:
        """Say how much a certain holder's memory takes."""
        self._holder(holder).capacity_tokens = capacity_tokens

    def note_read(
        self, incarnation_id: str, salt: str, chain: PromptChain, kept_at: str = ""
    ) -> None:
        """Note that an engine reads the shared parts of ``chain``.

        :param kept_at: address of the store it sends them to, if it does.
        """
        read = PromptRead(incarnation_id, salt, chain.shared, kept_at)
        held = self.look_up(salt, chain).held_tokens(incarnation_id)
        if kept_at or held < chain.shared_tokens:
            self._fresh.append(read)
        self.note_peer_read(read)

    def take_fresh(self, limit: int) -> list[PromptRead]:
        """Return up to ``limit`` reads that peers were not yet told of."""
        count = min(limit, len(self._fresh))
        return [self._fresh.popleft() for _ in range(count)]

    def note_peer_read(self, read: PromptRead) -> None:
        """Note what an engine reads, as a peer says."""
        for holder in filter(None, (read.incarnation_id, read.kept_at)):
            self._note(holder, read)

    def look_up(self, salt: str, chain: PromptChain) -> PromptHolders:
        """Return who holds the shared parts of ``chain``."""
        levels = [
            _Level(tokens, self._by_prefix.get(prefix, {}))
            for prefix, tokens in _prefixes(salt, chain.shared)
        ]
        return PromptHolders(levels, self._clock())

    def forget(self, holder: str) -> None:
        """Forget everything about a holder that ended or was emptied."""
        known = self._by_holder.pop(holder, None)
        if known is not None:
            for prefix in known.prefixes:
                self._drop(prefix, holder)

    def _note(self, holder: str, read: PromptRead) -> None:
        known = self._holder(holder)
        now_s = self._clock()
        # The first part comes last: a part is of no use without those before it.
        for prefix, tokens in reversed(list(_prefixes(read.salt, read.parts))):
            if prefix not in known.prefixes:
                known.prefixes[prefix] = tokens
                known.tokens += tokens
                self._by_prefix.setdefault(prefix, {})[holder] = now_s
            known.prefixes.move_to_end(prefix)
        while known.tokens > known.capacity_tokens * KEPT_SHARE and known.prefixes:
            oldest, tokens = known.prefixes.popitem(last=False)
            known.tokens -= tokens
            self._drop(oldest, holder)

    def _holder(self, holder: str) -> _Holder:
        known = self._by_holder.get(holder)
        if known is None:
            known = self._by_holder[holder] = _Holder(self._engine_capacity_tokens)
        return known

    def _drop(self, prefix: tuple, holder: str) -> None:
        holders = self._by_prefix.get(prefix)
        if holders is None:
            return
        holders.pop(holder, None)
        if not holders:
            del self._by_prefix[prefix]


def _prefixes(salt: str, parts: tuple[PromptPart, ...]):
    prefix: tuple = (salt,)
    for part in parts:
        prefix = (*prefix, part.part_id)
        yield prefix, part.tokens
