"""The routing decision: which engine serves a request.

:class:`Router` combines the current configuration, the prefix index, the fleet
view and a policy. Every decision is logged as one ``route:`` line, with the
values that led to it.
"""

import time
from collections.abc import Callable, Iterable

import attrs
import xxhash

from kumquatseam.engines import (
    SERVING,
    CacheEventBatch,
    EngineMessage,
    LoadReport,
    block_keys,
    cache_salt,
    salt_seed,
)
from kumquatseam.errors import OverloadedError
from kumquatseam.fleet import LiveConfiguration
from kumquatseam.logs import part_logger
from kumquatseam.request_errors import EngineMismatchError, NoUpstreamError
from kumquatseam.routing._fleet import FleetView
from kumquatseam.routing._hints import PlacementHints
from kumquatseam.routing._index import PrefixIndex
from kumquatseam.routing._policies import Candidate, RoutingPolicy
from kumquatseam.settings import (
    ACTIVE,
    Configuration,
    DaemonSettings,
    PrioritySettings,
    TeamSettings,
    UpstreamSettings,
)

_log = part_logger("route")

#: maximum length in blocks of the prompt prefix used for affinity (512 tokens at
#: 16 per block: the common instruction and the team's checklist).
AFFINITY_BLOCKS = 32
#: time for which a placement substitutes for the cache events that it causes.
HINT_TTL_S = 2.0
#: minimum ``Retry-After`` of a shed request.
MIN_RETRY_AFTER_S = 0.2


@attrs.frozen
class RoutingRequest:
    """The properties of a request that routing depends on.

    :param request_id: id given by the router.
    :param team: the caller's team.
    :param model: the requested model.
    :param tokens: the prompt's tokens, which may be read several times.
    :param priority: its priority class.
    :param may_be_shed: whether it may be refused when engines are overloaded.
    :param exclude: engines not to choose (e.g. one that just failed).
    :param software: the only software version that may serve it; ``None`` for any.
    """

    request_id: str
    team: TeamSettings
    model: str
    tokens: Iterable[str]
    priority: PrioritySettings
    may_be_shed: bool = True
    exclude: frozenset[str] = frozenset()
    software: str | None = None

    @property
    def rank(self) -> int:
        """The rank of its priority class; ``0`` is the most urgent."""
        return self.priority.rank


@attrs.frozen
class RoutingDecision:
    """The engine chosen for a request and the values that led to the choice.

    :param request_id: id given by the router.
    :param upstream: the chosen engine.
    :param version: the weights version it is expected to run.
    :param epoch: its expected epoch, if known.
    :param salt: the cache salt of team, model and that version.
    :param matched_blocks: leading prompt blocks that it probably caches.
    :param total_blocks: full blocks in the prompt.
    :param load_requests: its load when chosen.
    :param policy: the policy's name.
    :param keys: the prompt's block keys under that salt.
    """

    request_id: str
    upstream: UpstreamSettings
    version: str
    epoch: str | None
    salt: str
    matched_blocks: int
    total_blocks: int
    load_requests: float
    policy: str
    keys: tuple[int, ...] = attrs.field(default=(), repr=False)

    @property
    def incarnation_id(self) -> str:
        """Identifies the chosen incarnation of the engine."""
        return f"{self.upstream.name}@{self.epoch}"


class Router:
    """Chooses engines for requests and tracks the engines' state.

    :param live: the current configuration, with its changes.
    :param daemon: the daemon's settings.
    :param policy: chooses among the eligible engines.
    :param clock: monotonic clock in seconds (the benchmark passes modelled time).
    """

    def __init__(
        self,
        live: LiveConfiguration,
        daemon: DaemonSettings,
        policy: RoutingPolicy,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live = live
        self._policy = policy
        self._clock = clock
        self._block_size_tokens = daemon.block_size_tokens
        self._queue_s_per_request = daemon.queue_ms_per_request / 1000
        self.index = PrefixIndex(daemon.index_entry_ttl_s)
        self.hints = PlacementHints(HINT_TTL_S)
        self.fleet = FleetView(daemon.engine_dead_after_s, clock)
        self._apply_configuration(live.current)
        live.on_change(self._apply_configuration)

    @property
    def policy_name(self) -> str:
        """The name of the policy in use."""
        return self._policy.name

    def observe(self, message: EngineMessage) -> None:
        """Apply one engine message (cache events or a load report).

        Messages of a retired epoch are ignored.
        """
        now_s = self._clock()
        if self.index.is_retired(message.engine, message.epoch):
            return
        if isinstance(message, CacheEventBatch):
            self.fleet.observe_contact(message.engine, message.epoch, now_s)
            self.index.apply(message, now_s)
        elif isinstance(message, LoadReport):
            self.fleet.observe_report(message, now_s)
            self.index.observe_epoch(message.engine, message.epoch)

    def sweep(self) -> None:
        """Drop the index entries of engines that stopped sending, and old hints."""
        now_s = self._clock()
        for engine in self.fleet.expire_silent_engines(now_s):
            self.index.drop(engine)
        self.hints.sweep(now_s)

    def record_served(self, decision: RoutingDecision) -> None:
        """Record that the engine served the prompt and so caches its blocks."""
        if decision.epoch is not None:
            self.index.confirm(
                decision.upstream.name, decision.epoch, decision.keys, self._clock()
            )

    def record_mismatch(
        self, engine: str, model: str, error: EngineMismatchError
    ) -> None:
        """Apply the epoch and weights version in an engine's refusal.

        :param model: the requested model.
        :param error: the refusal; an engine that didn't send its epoch is treated
            as one of unknown epoch and weights.
        """
        known = self.fleet.epoch(engine)
        if error.epoch is not None and error.epoch != known:
            self.index.observe_epoch(engine, error.epoch)
            self.fleet.observe_contact(engine, error.epoch, self._clock())
        if error.version is not None:
            self.fleet.observe_version(engine, model, error.version)
        if error.epoch is None:
            self.fleet.forget_epoch(engine)

    def candidates(self, request: RoutingRequest) -> list[Candidate]:
        """Return the eligible engines with the values to compare them by."""
        now_s = self._clock()
        keys_by_version: dict[str, tuple[int, ...]] = {}
        candidates = []
        for upstream in self._eligible_upstreams(request, now_s):
            version = self._version(upstream.name, request.model)
            keys = keys_by_version.get(version)
            if keys is None:
                keys = self._keys(request, version)
                keys_by_version[version] = keys
            candidates.append(self._candidate(upstream, keys, request.rank, now_s))
        return candidates

    def route(self, request: RoutingRequest) -> RoutingDecision:
        """Choose an engine for ``request`` and log the decision.

        :raises NoUpstreamError: if no live engine is eligible.
        :raises OverloadedError: if every eligible engine sheds its priority class.
        """
        candidates = self.candidates(request)
        if not candidates:
            self._log_refusal(request, "no_live_engine")
            raise NoUpstreamError(request.team.name, request.model)
        open_candidates = self._shed(request, candidates)
        if not open_candidates:
            self._log_refusal(request, "shed")
            raise OverloadedError(
                request.team.name,
                request.priority.name,
                self._retry_after_s(request.priority, candidates),
            )
        chosen = self._policy.choose(open_candidates)
        version = self._version(chosen.upstream, request.model)
        if chosen.prefix_key:
            self.hints.note_own(chosen.prefix_key, chosen.upstream, self._clock())
        decision = RoutingDecision(
            request_id=request.request_id,
            upstream=self._live.current.upstream(chosen.upstream),
            version=version,
            epoch=self.fleet.epoch(chosen.upstream),
            salt=cache_salt(request.team.name, request.model, version),
            matched_blocks=chosen.matched_blocks,
            total_blocks=chosen.total_blocks,
            load_requests=chosen.load_requests,
            policy=self._policy.name,
            keys=chosen.keys,
        )
        _log.info(
            "request={} team={} model={} engine={} matched_blocks={}/{} load={} "
            "candidates={} policy={}",
            request.request_id,
            request.team.name,
            request.model,
            chosen.upstream,
            decision.matched_blocks,
            decision.total_blocks,
            decision.load_requests,
            len(open_candidates),
            decision.policy,
        )
        return decision

    def _apply_configuration(self, configuration: Configuration) -> None:
        names = [u.name for u in configuration.upstreams]
        for removed in set(self.fleet.names()) - set(names):
            self.index.drop(removed)
        self.fleet.set_engines(names, self._clock())

    def _eligible_upstreams(
        self, request: RoutingRequest, now_s: float
    ) -> list[UpstreamSettings]:
        """Return the live engines that may serve the request's team and model.

        If none is live, return those that have not reported yet, or those of the only
        software version that may serve it.
        """
        configuration = self._live.current
        permitted = []
        for name in request.team.upstreams:
            upstream = configuration.upstream(name)
            if upstream is None or name in request.exclude:
                continue
            if upstream.state != ACTIVE or self.fleet.is_leaving(name):
                continue
            if self.fleet.role(name) != SERVING:
                continue
            if request.software not in (None, self.fleet.software(name)):
                continue
            if request.model in upstream.models:
                permitted.append(upstream)
        live = [u for u in permitted if self.fleet.is_live(u.name, now_s)]
        if live:
            return live
        if request.software is not None:
            # The response can go on nowhere else, and most failures pass.
            return permitted
        return [u for u in permitted if self.fleet.is_unconfirmed(u.name, now_s)]

    def _version(self, engine: str, model: str) -> str:
        """Return the engine's reported weights version, else the configured one."""
        reported = self.fleet.version(engine, model)
        if reported is not None:
            return reported
        configuration = self._live.current
        return configuration.desired_version(configuration.upstream(engine), model)

    def _keys(self, request: RoutingRequest, version: str) -> tuple[int, ...]:
        salt = cache_salt(request.team.name, request.model, version)
        return tuple(
            block_keys(request.tokens, self._block_size_tokens, salt_seed(salt))
        )

    def _candidate(
        self,
        upstream: UpstreamSettings,
        keys: tuple[int, ...],
        rank: int,
        now_s: float,
    ) -> Candidate:
        prefix_blocks = min(len(keys), AFFINITY_BLOCKS)
        prefix_key = keys[prefix_blocks - 1] if keys else 0
        matched = self.index.match(upstream.name, keys, now_s)
        if matched < prefix_blocks and self.hints.was_placed_by_peer(
            prefix_key, upstream.name, now_s
        ):
            matched = prefix_blocks
        load = self.fleet.load(upstream.name, rank)
        return Candidate(
            upstream=upstream.name,
            matched_blocks=matched,
            total_blocks=len(keys),
            load_requests=load.requests,
            urgent_requests=load.urgent_requests,
            slots=upstream.slots,
            affinity_weight=xxhash.xxh3_64_intdigest(
                upstream.name.encode(), seed=prefix_key
            ),
            prefix_key=prefix_key,
            keys=keys,
        )

    def _shed(
        self, request: RoutingRequest, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates that don't shed the request's priority class."""
        if not request.may_be_shed:
            return candidates
        ratio = request.priority.max_queue_ratio
        return [c for c in candidates if c.urgent_requests < c.slots * ratio]

    def _retry_after_s(
        self, priority: PrioritySettings, candidates: list[Candidate]
    ) -> float:
        """Return the estimated time until the least loaded engine accepts again."""
        excess = min(
            c.urgent_requests - c.slots * priority.max_queue_ratio for c in candidates
        )
        return max(MIN_RETRY_AFTER_S, (excess + 1) * self._queue_s_per_request)

    def _log_refusal(self, request: RoutingRequest, reason: str) -> None:
        _log.info(
            "request={} team={} model={} engine=none refused={}",
            request.request_id,
            request.team.name,
            request.model,
            reason,
        )
