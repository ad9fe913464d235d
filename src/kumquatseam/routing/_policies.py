"""Routing policies: the choice of an engine among the candidates.

All policies share one abstract base class, so that the daemon, the benchmark
and the tests call the same code. :class:`PrefixAwarePolicy` is the default;
:class:`RoundRobinPolicy` and :class:`LeastLoadedPolicy` are the baselines.
"""

import abc
import itertools
from collections.abc import Sequence

import attrs

#: wait for the first slot to become free, in queued requests; more than one, as
#: long answers occupy slots for longer than the mean (docs/design/routing.md).
SLOT_WAIT_REQUESTS = 2.0
#: weight of a less urgent request queued beyond the slots, in queued requests: it
#: does not delay a more urgent one, but shows that slots become free slowly.
LESS_URGENT_WEIGHT = 0.25


@attrs.frozen
class Candidate:
    """An engine that may serve a request, with the values to compare it by.

    :param upstream: the engine's name.
    :param matched_blocks: leading prompt blocks that it probably caches.
    :param total_blocks: full blocks in the prompt.
    :param load_requests: its load, in requests running or queued.
    :param urgent_requests: requests of that load that are at least as urgent as
        this one; the engine serves this one before the others.
    :param slots: maximum number of requests it runs at once; further ones queue.
    :param affinity_weight: rendezvous weight of the prompt's prefix on this
        engine (64 bit); every router computes the same, without shared state.
    :param prefix_key: block key of the prompt's prefix, ``0`` if the prompt has
        no full block.
    :param keys: the prompt's block keys for this engine's weights.
    """

    upstream: str
    matched_blocks: int
    total_blocks: int
    load_requests: float
    urgent_requests: float
    slots: int
    affinity_weight: int = 0
    prefix_key: int = 0
    keys: tuple[int, ...] = ()


class RoutingPolicy(abc.ABC):
    """Chooses one engine for a request."""

    #: name in settings and log lines.
    name: str = ""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of ``candidates`` (never empty)."""


class RoundRobinPolicy(RoutingPolicy):
    """Baseline: each candidate in turn, regardless of cache and load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return candidates[next(self._turn) % len(candidates)]


class LeastLoadedPolicy(RoutingPolicy):
    """Baseline: the candidate with the fewest requests, equal ones in turn."""

    name = "least_loaded"

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return _cheapest(candidates, lambda c: c.load_requests, next(self._turn))


class PrefixAwarePolicy(RoutingPolicy):
    """Chooses the engine with the lowest estimated time to first token.

    The estimate is the modelled prefill time of the uncached blocks plus the
    wait for the requests queued ahead: those at least as urgent beyond the
    engine's slots, and the wait for a free slot if all are occupied. A frequent
    prefix therefore stays on the engine that caches it while that engine has
    free slots, and spreads to a second engine once queueing costs more than
    recomputing the prefix.

    Equal estimates are decided by the lower load, and equal loads by the higher
    rendezvous weight. Routers with the same data thus choose the same engine,
    and a new prefix is not prefilled on several engines at once.

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
        uncached_blocks = candidate.total_blocks - candidate.matched_blocks
        prefill_ms = (
            uncached_blocks * self._block_size_tokens * self._prefill_ms_per_token
        )
        return prefill_ms + _queued_ahead(candidate) * self._queue_ms_per_request

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return min(candidates, key=self._sort_key)

    def _sort_key(self, candidate: Candidate) -> tuple[int, float, int]:
        rounded_ms = round(self.estimate_ms(candidate))
        return rounded_ms, candidate.load_requests, -candidate.affinity_weight


class AffinityPolicy(RoutingPolicy):
    """Stateless prefix affinity: rendezvous hashing of the prefix, bounded load.

    Every router orders the candidates by the rendezvous (highest random
    weight) hash of the prompt's prefix and the engine's name, and chooses the
    first with a free slot; if none has one, the one with the shortest queue,
    and of equal queues the higher weight. Routers agree without shared state
    and without cache events. Use it for a fleet in which not every router can
    index every engine (docs/CAPACITY.md). The load bound follows the idea of
    consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
    2018).
    """

    name = "affinity"

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        ranked = sorted(candidates, key=lambda c: c.affinity_weight, reverse=True)
        for candidate in ranked:
            if candidate.load_requests < candidate.slots:
                return candidate
        return min(ranked, key=lambda c: c.load_requests - c.slots)


def _queued_ahead(candidate: Candidate) -> float:
    """Return the wait for the candidate's load, in queued requests."""
    urgent = max(0.0, candidate.urgent_requests - candidate.slots + 1)
    beyond_slots = candidate.load_requests - candidate.slots
    if beyond_slots < 0:
        return urgent
    return max(SLOT_WAIT_REQUESTS, urgent) + LESS_URGENT_WEIGHT * beyond_slots


def _cheapest(candidates: Sequence[Candidate], cost, turn: int) -> Candidate:
    """Return the candidate of least cost; ``turn`` rotates among equal ones."""
    count = len(candidates)
    rotated = [candidates[(turn + i) % count] for i in range(count)]
    return min(rotated, key=cost)


def build_policy(
    name: str,
    block_size_tokens: int,
    prefill_ms_per_token: float,
    queue_ms_per_request: float,
) -> RoutingPolicy:
    """Return a new policy by its name in the settings.

    :raises KeyError: if the name is unknown (the settings are checked before).
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
