"""The choice of an upstream among those that may take a request."""

import math
from collections.abc import Sequence

import attrs

#: prompt tokens that an engine is believed to read in a millisecond; what really
#: passes until the first event is learnt by :class:`WaitEstimate`.
PREFILL_TOKENS_PER_MS = 51.1
#: what reading a part again costs that another engine has read, as a share of
#: the time it takes: the reading also holds up whatever else the engine reads.
REPEAT_SHARE = 1.0
#: added wait for each request already on an engine: it shares its steps.
LOAD_MS_PER_REQUEST = 2.0
#: what a place further down the order of a prompt's engines costs; keeps a
#: prompt with unknown holders at one engine while loads differ a little.
RANK_MS = 4.0
#: added for every request beyond an engine's slots or memory: it waits for one
#: to end.
QUEUE_MS_PER_REQUEST = 40.0
#: an upstream has next to no work before a request if that takes so long at most, or
#: this share of what the request may wait.
ALONE_MS = 20.0
ALONE_SHARE = 0.1


@attrs.frozen
class Candidate:
    """An upstream that may take a request.

    :param incarnation_id: names it.
    :param prefill_tokens: prompt tokens it would have to read.
    :param running: requests on it, as far as known.
    :param slots: requests it runs at once.
    :param rank: its place in the prompt's own order of upstreams, from 0; the
        same in every process, without shared state.
    :param pending_tokens: prompt tokens it has to read first for others.
    :param repeated_tokens: tokens to read that another engine has read.
    :param fetch_ms: time to fetch parts it does not have to read.
    :param penalty_ms: what else speaks against it, as a wait.
    :param beyond_memory: how many requests like this one would have to end
        before its memory has room for it; 0 if it has, or if nobody knows.
    """

    incarnation_id: str
    prefill_tokens: int
    running: float
    slots: int
    rank: int
    penalty_ms: float = 0.0
    pending_tokens: int = 0
    repeated_tokens: int = 0
    fetch_ms: float = 0.0
    beyond_memory: float = 0.0


def wait_ms(candidate: Candidate) -> float:
    """Return the modelled time to the first token on ``candidate``."""
    unread_tokens = candidate.prefill_tokens + candidate.pending_tokens
    prefill_ms = unread_tokens / PREFILL_TOKENS_PER_MS
    beyond_slots = max(0.0, candidate.running + 1 - candidate.slots)
    beyond = max(beyond_slots, candidate.beyond_memory)
    return (
        prefill_ms
        + candidate.fetch_ms
        + candidate.running * LOAD_MS_PER_REQUEST
        + beyond * QUEUE_MS_PER_REQUEST
    )


def queue_ms(candidate: Candidate) -> float:
    """Return how much of the modelled time goes by with the work of others."""
    own_ms = candidate.prefill_tokens / PREFILL_TOKENS_PER_MS + candidate.fetch_ms
    return wait_ms(candidate) - own_ms


@attrs.frozen
class WaitLimit:
    """How long a request may wait for its first event, as is believed.

    A long prompt can take longer than is aimed at where nobody is before it. It is
    served late then: refused, it would never be served, and nothing would be learnt
    of engines that are believed too slow.

    :param longest_ms: how long it may take.
    :param alone_ms: how long it may take on an upstream that has next to no work.
    """

    longest_ms: float = math.inf
    alone_ms: float = 0.0

    def allows(self, candidate: Candidate) -> bool:
        """Return whether the request may wait as long as on ``candidate``."""
        longest_ms = self.longest_ms
        if wait_ms(candidate) <= longest_ms:
            return True
        is_alone = queue_ms(candidate) <= max(ALONE_MS, longest_ms * ALONE_SHARE)
        return is_alone and wait_ms(candidate) <= self.alone_ms


def cost_ms(candidate: Candidate) -> float:
    """Return the wait and what else speaks against ``candidate``, as a wait."""
    waste_ms = candidate.repeated_tokens / PREFILL_TOKENS_PER_MS * REPEAT_SHARE
    return (
        wait_ms(candidate) + waste_ms + candidate.rank * RANK_MS + candidate.penalty_ms
    )


def choose(
    candidates: Sequence[Candidate], limit: WaitLimit | None = None
) -> Candidate:
    """Return the candidate with the least cost among those that are in time.

    A penalty says which of two engines is better, not how long one takes: an
    engine on replaced weights that stands idle serves in time, while a ready one
    has long prompts to read. Counted as waits, penalties would have requests
    refused while engines are idle.

    :param candidates: never empty.
    :param limit: what is allowed; if nothing is, the shortest wait is chosen.
    """
    limit = limit or WaitLimit()
    in_time = [c for c in candidates if limit.allows(c)]
    if not in_time:
        return min(candidates, key=lambda c: (wait_ms(c), c.rank))
    return min(in_time, key=lambda c: (cost_ms(c), c.rank))
