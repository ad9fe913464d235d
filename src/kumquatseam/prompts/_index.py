"""Which prompt parts each upstream holds, as far as this process knows."""

import collections

import attrs

from kumquatseam.prompts._chain import PromptChain, PromptPart

#: prompts remembered for being told to peers; a summary goes out long before.
MAX_FRESH = 1024
#: parts remembered per upstream; an engine's memory holds fewer whole prompts.
MAX_PARTS = 4096


@attrs.frozen
class PromptRead:
    """Prompt parts that an upstream was just given to read.

    :param upstream_id: the upstream.
    :param salt: the scope of its cached parts.
    :param parts: the parts that requests may share, in prompt order.
    """

    upstream_id: str
    salt: str
    parts: tuple[PromptPart, ...]


class PromptIndex:
    """Parts by upstream, within the scope given by a cache salt.

    A part counts as held only together with every part before it, since an
    engine cannot use it otherwise. So each entry is the chain up to a part.
    """

    def __init__(self) -> None:
        self._held: dict[str, collections.OrderedDict[tuple, int]] = {}
        self._fresh: collections.deque[PromptRead] = collections.deque(maxlen=MAX_FRESH)

    def note_read(self, upstream_id: str, salt: str, chain: PromptChain) -> None:
        """Note that ``upstream_id`` reads the shared parts of ``chain``."""
        read = PromptRead(upstream_id, salt, chain.shared)
        if self.held_tokens(upstream_id, salt, chain) < chain.shared_tokens:
            self._fresh.append(read)
        self.note_peer_read(read)

    def take_fresh(self, limit: int) -> list[PromptRead]:
        """Return up to ``limit`` reads that peers were not yet told of."""
        count = min(limit, len(self._fresh))
        return [self._fresh.popleft() for _ in range(count)]

    def note_peer_read(self, read: PromptRead) -> None:
        """Note what an upstream reads, as a peer says."""
        held = self._held.setdefault(read.upstream_id, collections.OrderedDict())
        for prefix, tokens in _prefixes(read.salt, read.parts):
            held[prefix] = tokens
            held.move_to_end(prefix)
        while len(held) > MAX_PARTS:
            held.popitem(last=False)

    def held_tokens(self, upstream_id: str, salt: str, chain: PromptChain) -> int:
        """Return how many leading tokens of ``chain`` the upstream holds."""
        held = self._held.get(upstream_id)
        if not held:
            return 0
        total = 0
        for prefix, tokens in _prefixes(salt, chain.shared):
            if prefix not in held:
                break
            total += tokens
        return total

    def forget(self, upstream_id: str) -> None:
        """Forget everything about an upstream that ended or was emptied."""
        self._held.pop(upstream_id, None)


def _prefixes(salt: str, parts: tuple[PromptPart, ...]):
    prefix: tuple = (salt,)
    for part in parts:
        prefix = (*prefix, part.part_id)
        yield prefix, part.tokens
