"""The choice of an upstream among those that may take a request."""

import math
from collections.abc import Sequence

import attrs

#: prompt tokens that an engine is modelled to prefill in a millisecond;
#: :class:`WaitEstimate` corrects the modelled wait by observed ones.
PREFILL_TOKENS_PER_MS = 51.1
#: extra cost of prefilling a part that another engine has prefilled, as a share of
#: its prefill time: it also delays other prefills on the engine.
REPEAT_SHARE = 1.0
#: added wait for each request already on an engine: it shares its steps.
LOAD_MS_PER_REQUEST = 2.0
#: cost of each place further down the prompt's rendezvous order; keeps a prompt
#: with unknown holders on one engine while loads differ only a little.
RANK_MS = 4.0
#: added wait for every request beyond an engine's slots or memory, since it waits
#: for one to end.
QUEUE_MS_PER_REQUEST = 40.0
#: an upstream counts as idle for a request if its queue takes at most this long, or
#: this share of the longest wait allowed.
IDLE_QUEUE_MS = 20.0
IDLE_QUEUE_SHARE = 0.1


@attrs.frozen
class Candidate:
    """An upstream that may take a request.

    :param incarnation_id: its incarnation.
    :param prefill_tokens: prompt tokens that it would have to prefill.
    :param running: number of requests known to be on it.
    :param slots: requests that it runs at once.
    :param rank: its place in the prompt's rendezvous order of upstreams, from 0; the
        same in every process, without shared state.
    :param pending_tokens: prompt tokens of other requests that it prefills first.
    :param repeated_tokens: tokens of ``prefill_tokens`` that another engine has
        prefilled or is prefilling.
    :param fetch_ms: time to fetch the parts that it need not prefill.
    :param penalty_ms: cost of its other drawbacks, as a wait.
    :param requests_beyond_memory: how many requests of this size would have to end
        before its memory has room for this one; 0 if there is room or its memory
        use is unknown.
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
    requests_beyond_memory: float = 0.0


def wait_ms(candidate: Candidate) -> float:
    """Return the modelled time to the first token on ``candidate``."""
    unread_tokens = candidate.prefill_tokens + candidate.pending_tokens
    prefill_ms = unread_tokens / PREFILL_TOKENS_PER_MS
    beyond_slots = max(0.0, candidate.running + 1 - candidate.slots)
    beyond = max(beyond_slots, candidate.requests_beyond_memory)
    return (
        prefill_ms
        + candidate.fetch_ms
        + candidate.running * LOAD_MS_PER_REQUEST
        + beyond * QUEUE_MS_PER_REQUEST
    )


def queue_ms(candidate: Candidate) -> float:
    """Return the part of the modelled wait that is due to other requests."""
    own_ms = candidate.prefill_tokens / PREFILL_TOKENS_PER_MS + candidate.fetch_ms
    return wait_ms(candidate) - own_ms


@attrs.frozen
class WaitLimit:
    """The longest modelled wait for the first event that a request is admitted with.

    A long prompt can exceed the target latency even on an idle upstream. It is
    admitted there and served late: if it were refused, it would never be served, and
    no observation could correct the estimate for engines that seem too slow.

    :param max_ms: longest wait.
    :param max_idle_ms: longest wait on an upstream with next to no queue.
    """

    max_ms: float = math.inf
    max_idle_ms: float = 0.0

    def allows(self, candidate: Candidate) -> bool:
        """Return whether the modelled wait on ``candidate`` is within the limit."""
        max_ms = self.max_ms
        if wait_ms(candidate) <= max_ms:
            return True
        is_idle = queue_ms(candidate) <= max(IDLE_QUEUE_MS, max_ms * IDLE_QUEUE_SHARE)
        return is_idle and wait_ms(candidate) <= self.max_idle_ms


def cost_ms(candidate: Candidate) -> float:
    """Return the wait on ``candidate`` plus its other costs, as a wait."""
    repeat_ms = candidate.repeated_tokens / PREFILL_TOKENS_PER_MS * REPEAT_SHARE
    return (
        wait_ms(candidate) + repeat_ms + candidate.rank * RANK_MS + candidate.penalty_ms
    )


def choose(
    candidates: Sequence[Candidate], limit: WaitLimit | None = None
) -> Candidate:
    """Return the candidate with the least cost among those within the wait limit.

    Penalties rank candidates but do not count against the limit: an idle engine on
    replaced weights can serve in time while an engine on the newest weights has long
    prompts to prefill. If penalties counted as waits, requests would be refused while
    engines are idle.

    :param candidates: never empty.
    :param limit: the wait limit; if no candidate is within it, the shortest wait is
        chosen.
    """
    limit = limit or WaitLimit()
    in_time = [c for c in candidates if limit.allows(c)]
    if not in_time:
        return min(candidates, key=lambda c: (wait_ms(c), c.rank))
    return min(in_time, key=lambda c: (cost_ms(c), c.rank))
