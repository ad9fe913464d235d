"""A request to place on an upstream, and the resulting placement."""

import math

import attrs

from kumquatseam.placement._engine_slowdown import EngineSlowdown, SentRequest
from kumquatseam.placement._replaced_weights import ReplacedWeightsDeadline
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
    :param service: the service that it is routed to.
    :param team: the team that sent it, if any.
    :param model: the model that it names, ``""`` for services without models.
    :param prompt: its prompt.
    :param excluded: upstreams that already failed or refused it.
    :param attempt: number of this attempt, from 1.
    :param max_wait_s: the request is refused if its first event is expected later,
    :param max_idle_wait_s: except on an upstream with next to no queue, where this
        limit applies.
    :param cache_stores: the KV-cache stores.
    :param output_tokens: limit of generated tokens.
    :param only: the only upstream to place it on, whether or not its limit has room;
        ``""`` for any.
    :param software_version: the only software version to place it at; ``""`` for any.
    :param start_margin: the time left to start on replaced weights has to be this many
        times the expected wait.
    """

    request_id: str
    service: ServiceTraits
    team: TeamTraits | None
    model: str
    prompt: PromptChain
    excluded: frozenset[str]
    attempt: int
    max_wait_s: float = math.inf
    max_idle_wait_s: float = 0.0
    cache_stores: tuple[CacheStore, ...] = ()
    output_tokens: int = 0
    only: str = ""
    software_version: str = ""
    start_margin: float = 1.0

    @property
    def own_tokens(self) -> int:
        """KV-cache memory that it takes beyond the parts that requests share."""
        return self.prompt.tokens - self.prompt.shared_tokens + self.output_tokens


@attrs.frozen
class Placement:
    """The upstream chosen for a request.

    :param status: the upstream.
    :param model: the model that the request names, ``""`` for services without models.
    :param version: version of the weights that the request must run on, if it names
        a model.
    :param salt: the scope of its cached parts.
    :param prefill_tokens: prompt tokens that the engine has to prefill.
    :param cache_source: address to fetch cached parts from; ``""`` for none.
    :param cache_target: address to send the computed parts to; ``""`` for none.
    :param moved_run: a run that continues there from a copy of its KV cache.
    :param prompt: the request's prompt.
    :param own_tokens: memory that it takes beyond the parts that requests share.
    :param modelled_ms: modelled wait for the first event.
    :param wait_estimate: updated with the observed wait.
    :param replaced_weights_deadline: limits the wait on replaced weights.
    :param slowdown: the engine's slowdown, updated with the observed wait.
    :param is_work_known: whether the work of other instances on it is known.
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
    modelled_ms: float = 0.0
    wait_estimate: WaitEstimate | None = None
    replaced_weights_deadline: ReplacedWeightsDeadline | None = None
    slowdown: EngineSlowdown | None = None
    is_work_known: bool = True

    def note_sent(self) -> SentRequest | None:
        """Record that the request was sent.

        :returns: the record to notify of the first event or the end; ``None`` if the
            engine's slowdown is not estimated from this request.
        """
        if (
            self.slowdown is None
            or self.wait_estimate is None
            or self.moved_run is not None
        ):
            return None
        expected_ms = self.wait_estimate.expected_ms(self.modelled_ms)
        return self.slowdown.note_sent(expected_ms / 1000.0)

    def note_first_event(self, took_s: float) -> None:
        """Update the wait estimate with the time from sending to the first event."""
        if self.wait_estimate is not None and self.moved_run is None:
            self.wait_estimate.observe(self.modelled_ms, took_s * 1000.0)

    def remaining_grace_s(self) -> float:
        """Return for how long the request may still wait to start, at least.

        There is no limit for a moved run, since it has already started.
        """
        version = self.status.version_of(self.model)
        if (
            self.replaced_weights_deadline is None
            or self.moved_run is not None
            or version is None
        ):
            return math.inf
        return self.replaced_weights_deadline.guaranteed_s(self.model, version)

    def can_start_in_time(self) -> bool:
        """Return whether it is expected to start within the grace of its weights."""
        deadline, estimate = self.replaced_weights_deadline, self.wait_estimate
        version = self.status.version_of(self.model)
        if None in (deadline, estimate, version) or self.moved_run is not None:
            return True
        remaining_s = deadline.remaining_after_send_s(self.model, version)
        return estimate.expected_ms(self.modelled_ms) <= remaining_s * 1000.0

    def with_moved_run(self, moved: MovedRun) -> "Placement":
        """Return this placement for a run that was moved to it.

        The run's KV cache was copied, so next to nothing is left to prefill.
        """
        return attrs.evolve(self, moved_run=moved, prefill_tokens=0)

    def request_work(self, max_duration_s: float) -> RequestWork:
        """Return the work that the request adds to the upstream.

        :param max_duration_s: longest time that the request may run.
        """
        return RequestWork(
            self.status,
            self.salt,
            self.prompt,
            self.cache_target,
            self.prefill_tokens,
            self.own_tokens,
            max_duration_s,
        )
