"""Routing policies: the choice of engine among the candidates.

All policies share one abstract base class, so the daemon, the bench and the
tests call the same code. :class:`PrefixAwarePolicy` is the default;
:class:`RoundRobinPolicy` and :class:`LeastLoadedPolicy` are the baselines.
"""

import abc
import itertools
from collections.abc import Sequence

import attrs

#: what waiting for the first of the taken slots is worth, in queued requests;
#: long answers hold slots for longer than the mean (docs/design/routing.md).
SLOT_WAIT_REQUESTS = 2.0
#: what a less urgent request beyond the slots is worth: it waits itself, but
#: it says that slots come free slowly.
LESS_URGENT_WEIGHT = 0.25


@attrs.frozen
class Candidate:
    """An engine that may serve a request, as the router sees it now.

    :param upstream: the engine's name.
    :param matched_blocks: leading prompt blocks it probably holds.
    :param total_blocks: full blocks in the prompt.
    :param load_requests: its load, in requests running or queued.
    :param urgent_requests: of that load, requests at least as urgent as this
        one; an engine lets the others wait.
    :param slots: requests it runs at once; beyond them, requests wait.
    :param affinity_weight: rendezvous weight of the prompt's opening on this
        engine (64 bit); the same on every router, no state needed.
    :param opening: block key of the prompt's opening, ``0`` if it has none.
    :param keys: the prompt's block keys for this engine's weights.
    """

    upstream: str
    matched_blocks: int
    total_blocks: int
    load_requests: float
    urgent_requests: float
    slots: int
    affinity_weight: int = 0
    opening: int = 0
    keys: tuple[int, ...] = ()


class RoutingPolicy(abc.ABC):
    """Chooses one engine for a request."""

    #: the name used in settings and log lines.
    name: str = ""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Pick one of ``candidates`` (never empty)."""


class RoundRobinPolicy(RoutingPolicy):
    """Baseline: each candidate in turn, blind to cache and load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return candidates[next(self._turn) % len(candidates)]


class LeastLoadedPolicy(RoutingPolicy):
    """Baseline: the candidate with the fewest requests, ties in turn."""

    name = "least_loaded"

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return _lowest(candidates, lambda c: c.load_requests, next(self._turn))


class PrefixAwarePolicy(RoutingPolicy):
    """Picks the engine with the lowest estimated time to first token.

    The estimate is the modelled prefill of the blocks the engine lacks plus
    a wait for every request that would queue ahead of this one (those at least
    as urgent beyond the engine's slots, and one slot to come free if all are
    taken), so a hot opening stays where it is cached while the
    engine has room and spreads to a second engine once its queue costs more
    than recomputing the opening. Equal estimates go to the lowest load, and
    equal loads by rendezvous weight, so routers that know the same choose
    alike and a new opening is not prefilled on several engines at once.

    :param block_size_tokens: tokens per block.
    :param prefill_ms_per_token: modelled prefill time per uncached token.
    :param queue_ms_per_request: modelled wait per request queued ahead.
    """

    name = "prefix_aware"

    def __init__(
        self,
        block_size_tokens: int,
        prefill_ms_per_token: float,
        queue_ms_per_request: float,
    ) -> None:
        self._block_size_tokens = block_size_tokens
        self._prefill_ms_per_token = prefill_ms_per_token
        self._queue_ms_per_request = queue_ms_per_request

    def estimate_ms(self, candidate: Candidate) -> float:
        """Return the modelled time to first token on ``candidate``."""
        missing_blocks = candidate.total_blocks - candidate.matched_blocks
        prefill_ms = (
            missing_blocks * self._block_size_tokens * self._prefill_ms_per_token
        )
        return prefill_ms + _queued_ahead(candidate) * self._queue_ms_per_request

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return min(candidates, key=self._rank)

    def _rank(self, candidate: Candidate) -> tuple[int, float, int]:
        whole_ms = round(self.estimate_ms(candidate))
        return whole_ms, candidate.load_requests, -candidate.affinity_weight


class AffinityPolicy(RoutingPolicy):
    """Stateless prefix affinity: rendezvous hashing of the opening, bounded load.

    Every router ranks the candidates by the rendezvous (highest random
    weight) hash of the prompt's opening and the engine's name, and takes the
    first that has a free slot; if none has, the one with the shortest queue,
    higher weight first. Routers agree without exchanging any state, so it
    needs no cache events: the mechanism for a fleet too large for every
    router to index every engine (docs/CAPACITY.md). The bound on load is in
    the spirit of consistent hashing with bounded loads (Mirrokni, Thorup and
    Zadimoghaddam, 2018).
    """

    name = "affinity"

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        ranked = sorted(candidates, key=lambda c: c.affinity_weight, reverse=True)
        for candidate in ranked:
            if candidate.load_requests < candidate.slots:
                return candidate
        return min(ranked, key=lambda c: c.load_requests - c.slots)


def _queued_ahead(candidate: Candidate) -> float:
    """Return how many requests' worth of waiting the candidate's load means."""
    urgent = max(0.0, candidate.urgent_requests - candidate.slots + 1)
    beyond_slots = candidate.load_requests - candidate.slots
    if beyond_slots < 0:
        return urgent
    return max(SLOT_WAIT_REQUESTS, urgent) + LESS_URGENT_WEIGHT * beyond_slots


def _lowest(candidates: Sequence[Candidate], cost, turn: int) -> Candidate:
    """Return the cheapest candidate; among equals, rotate by ``turn``."""
    count = len(candidates)
    rotated = [candidates[(turn + i) % count] for i in range(count)]
    return min(rotated, key=cost)


def build_policy(
    name: str,
    block_size_tokens: int,
    prefill_ms_per_token: float,
    queue_ms_per_request: float,
) -> RoutingPolicy:
    """Return a new policy by its settings name.

    :raises KeyError: for an unknown name (settings check names first).
    """
    if name == PrefixAwarePolicy.name:
        return PrefixAwarePolicy(
            block_size_tokens, prefill_ms_per_token, queue_ms_per_request
        )
    return {
        RoundRobinPolicy.name: RoundRobinPolicy,
        LeastLoadedPolicy.name: LeastLoadedPolicy,
        AffinityPolicy.name: AffinityPolicy,
    }[name]()
