"""What is placed, and the choice that comes of it."""

import math

import attrs

from kumquatseam.placement._begin_bound import BeginLimit
from kumquatseam.placement._engine_pace import EnginePace, SentRequest
from kumquatseam.placement._wait_estimate import WaitEstimate
from kumquatseam.placement._work import RequestWork
from kumquatseam.prompts import PromptChain
from kumquatseam.rollouts import MovedRun
from kumquatseam.routes import CacheStore, ServiceTraits, TeamTraits
from kumquatseam.upstreams import UpstreamStatus


@attrs.frozen
class PlacementRequest:
    """A request that needs an upstream.

    :param request_id: for the log.
    :param service: the service it goes to.
    :param team: the team it belongs to, if any.
    :param model: the model it asks for, ``""`` for plain services.
    :param prompt: its prompt.
    :param excluded: upstreams that already failed or refused it.
    :param attempt: from 1.
    :param max_wait_s: a longer wait for its answer means a refusal,
    :param longest_alone_s: but where next to nothing is before it only a wait longer
        than this.
    :param cache_stores: the stores of kept KV cache.
    :param output_tokens: tokens it may generate at most.
    """

    request_id: str
    service: ServiceTraits
    team: TeamTraits | None
    model: str
    prompt: PromptChain
    excluded: frozenset[str]
    attempt: int
    max_wait_s: float = math.inf
    longest_alone_s: float = 0.0
    cache_stores: tuple[CacheStore, ...] = ()
    output_tokens: int = 0

    @property
    def own_tokens(self) -> int:
        """Memory it takes on an engine beyond the parts that requests share."""
        return self.prompt.tokens - self.prompt.shared_tokens + self.output_tokens


@attrs.frozen
class Placement:
    """The choice of an upstream.

    :param status: the upstream.
    :param model: the model it asks for, ``""`` for plain services.
    :param version: weights the request must run on, if it names a model.
    :param salt: the scope of its cached parts.
    :param prefill_tokens: prompt tokens it has to read.
    :param cache_source: where it fetches parts; ``""`` for nowhere.
    :param cache_target: where it sends the parts it reads; ``""`` for nowhere.
    :param moved_run: a run that goes on there from a copy of its memory.
    :param prompt: the request's prompt.
    :param own_tokens: memory it takes beyond the parts that requests share.
    :param believed_ms: how long its first event is believed to take.
    :param waits: learns how long it takes.
    :param begin_limit: how long it may wait for that on replaced weights.
    :param pace: learns how long the engine takes.
    """

    status: UpstreamStatus
    model: str = ""
    version: int | None = None
    salt: str = ""
    prefill_tokens: int = 0
    cache_source: str = ""
    cache_target: str = ""
    moved_run: MovedRun | None = None
    prompt: PromptChain = PromptChain()
    own_tokens: int = 0
    believed_ms: float = 0.0
    waits: WaitEstimate | None = None
    begin_limit: BeginLimit | None = None
    pace: EnginePace | None = None

    def note_sent(self) -> SentRequest | None:
        """Note that the request was sent; return what is to be told how it goes on."""
        if self.pace is None or self.waits is None or self.moved_run is not None:
            return None
        expected_ms = self.waits.expected_ms(self.believed_ms)
        return self.pace.note_sent(expected_ms / 1000.0)

    def note_first_event(self, took_s: float) -> None:
        """Learn from how long the first event took after the request was sent."""
        if self.waits is not None and self.moved_run is None:
            self.waits.note(self.believed_ms, took_s * 1000.0)

    def remaining_grace_s(self) -> float:
        """Return how much longer at least the request may wait to begin there.

        A run that was moved there has begun.
        """
        version = self.status.version_of(self.model)
        if self.begin_limit is None or self.moved_run is not None or version is None:
            return math.inf
        return self.begin_limit.sure_s(self.model, version)

    def with_moved_run(self, moved: MovedRun) -> "Placement":
        """Return this placement for a run that was moved to it.

        Its memory was copied, so next to nothing is left to read.
        """
        return attrs.evolve(self, moved_run=moved, prefill_tokens=0)

    def request_work(self, lasts_s: float) -> RequestWork:
        """Return the work that sending the request brings.

        :param lasts_s: how long it lasts at most.
        """
        return RequestWork(
            self.status,
            self.salt,
            self.prompt,
            self.cache_target,
            self.prefill_tokens,
            self.own_tokens,
            lasts_s,
        )
