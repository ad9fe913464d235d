"""An engine in modelled time: slots by priority, the stand-in's own cache."""

import heapq
import itertools

import attrs

from kumquatseam.bench._scenarios import Scenario
from kumquatseam.bench._trace import ModelledRequest
from kumquatseam.engines import CacheEventBatch, LoadReport
from kumquatseam.standins.engine import BlockCache


@attrs.frozen
class StartedRun:
    """A request that got a slot.

    :param request: the request.
    :param matched_blocks: leading blocks it found cached.
    :param first_token_s: modelled time of its first token.
    :param done_s: modelled time of its last.
    :param batch: the cache events it caused, or ``None``.
    """

    request: ModelledRequest
    matched_blocks: int
    first_token_s: float
    done_s: float
    batch: CacheEventBatch | None


class ModelledEngine:
    """Runs ``slots`` requests at once; the most urgent waiting one goes next.

    :param name: its name.
    :param scenario: its cost model.
    """

    def __init__(self, name: str, scenario: Scenario) -> None:
        self.name = name
        self._scenario = scenario
        self._life = 0
        self._sequence = 0
        self._order = itertools.count()
        self._waiting: list = []
        self._running: list[float] = []
        self.cache = BlockCache(scenario.capacity_blocks)

    @property
    def epoch(self) -> str:
        """Its present life."""
        return f"{self.name}-e{self._life}"

    def crash(self) -> None:
        """Lose the cache and begin a new life (runs are left to finish)."""
        self._life += 1
        self._sequence = 0
        self.cache = BlockCache(self._scenario.capacity_blocks)

    def report(self) -> LoadReport:
        """Return its load now."""
        return LoadReport(
            self.name, self.epoch, len(self._running), len(self._waiting), 0.0
        )

    def enqueue(self, request: ModelledRequest, keys: list[int], rank: int) -> None:
        """Take a request in; :meth:`start_next` says when it runs."""
        heapq.heappush(self._waiting, (rank, next(self._order), request, keys))

    def next_keys(self) -> list[int] | None:
        """Return the block keys of the request that would start next."""
        if not self._waiting or len(self._running) >= self._scenario.slots:
            return None
        return self._waiting[0][3]

    def start_next(self, now_s: float) -> StartedRun:
        """Give a free slot to the most urgent waiting request."""
        _, _, request, keys = heapq.heappop(self._waiting)
        scenario = self._scenario
        matched, change = self.cache.admit(keys)
        uncached = len(request.tokens) - matched * scenario.block_size_tokens
        first_token_s = now_s + uncached * scenario.prefill_ms_per_token / 1000
        decode_s = request.max_tokens * scenario.decode_ms_per_token / 1000
        done_s = first_token_s + decode_s
        heapq.heappush(self._running, done_s)
        batch = None
        if change.stored_keys or change.removed_keys:
            self._sequence += 1
            batch = CacheEventBatch(
                self.name,
                self.epoch,
                self._sequence,
                change.stored_keys,
                change.removed_keys,
            )
        return StartedRun(request, matched, first_token_s, done_s, batch)

    def finish(self) -> None:
        """End the run that is due first."""
        heapq.heappop(self._running)

    def expected_ttft_s(
        self, request: ModelledRequest, keys: list[int], rank: int, now_s: float
    ) -> float:
        """Return the wait and prefill the request would see, known exactly."""
        scenario = self._scenario
        ahead = sum(waiting[0] <= rank for waiting in self._waiting)
        ends = sorted(self._running)
        wait_s = 0.0
        if len(ends) >= scenario.slots:
            wait_s = ends[min(ahead, len(ends) - 1)] - now_s
        uncached = (
            len(request.tokens) - self.cache.peek(keys) * scenario.block_size_tokens
        )
        return max(0.0, wait_s) + uncached * scenario.prefill_ms_per_token / 1000
