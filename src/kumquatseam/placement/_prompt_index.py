"""Which prompt parts each upstream holds, as far as this process knows."""

import collections

from kumquatseam.prompts import PromptChain

#: parts remembered per upstream; an engine's memory holds fewer whole prompts.
MAX_PARTS = 4096


class PromptIndex:
    """Parts by upstream, within the scope given by a cache salt.

    A part counts as held only together with every part before it, since an
    engine cannot use it otherwise. So each entry is the chain up to a part.
    """

    def __init__(self) -> None:
        self._held: dict[str, collections.OrderedDict[tuple, int]] = {}

    def note_read(self, upstream_id: str, salt: str, chain: PromptChain) -> None:
        """Note that ``upstream_id`` reads the shared parts of ``chain``."""
        held = self._held.setdefault(upstream_id, collections.OrderedDict())
        for prefix, tokens in _prefixes(salt, chain):
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
        for prefix, tokens in _prefixes(salt, chain):
            if prefix not in held:
                break
            total += tokens
        return total

    def forget(self, upstream_id: str) -> None:
        """Forget everything about an upstream that ended or was emptied."""
        self._held.pop(upstream_id, None)


def _prefixes(salt: str, chain: PromptChain):
    prefix: tuple = (salt,)
    for part in chain.shared:
        prefix = (*prefix, part.part_id)
        yield prefix, part.tokens
