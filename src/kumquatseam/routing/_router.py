"""The routing decision: which engine serves a request, and why.

:class:`Router` joins the prefix index, the fleet view and a policy. Every
decision is logged as one ``route:`` line.
"""

import time
from collections.abc import Callable

import attrs
import xxhash

from kumquatseam.engines import (
    CacheEventBatch,
    LoadReport,
    block_keys,
    salt_seed,
)
from kumquatseam.errors import NoUpstreamError
from kumquatseam.logs import part_logger
from kumquatseam.routing._fleet import FleetView
from kumquatseam.routing._index import PrefixIndex
from kumquatseam.routing._policies import Candidate, RoutingPolicy
from kumquatseam.settings import Settings, TeamSettings

_log = part_logger("route")

#: blocks of the prompt whose key names its opening for affinity (512 tokens
#: at 16 per block: the common instruction and the team's checklist).
AFFINITY_BLOCKS = 32


@attrs.frozen
class RoutingRequest:
    """What routing needs to know of a request.

    :param request_id: the router's id for it.
    :param team: the caller's team.
    :param model: the model asked for.
    :param salt: cache salt of team and model version.
    :param tokens: the prompt's tokens.
    :param exclude: engines not to choose (e.g. one that just failed).
    """

    request_id: str
    team: TeamSettings
    model: str
    salt: str
    tokens: tuple[str, ...]
    exclude: frozenset[str] = frozenset()


@attrs.frozen
class RoutingDecision:
    """The engine chosen for a request and the figures it was chosen by.

    :param request_id: the router's id.
    :param upstream: the chosen engine's name.
    :param matched_blocks: leading blocks it probably holds.
    :param total_blocks: full blocks in the prompt.
    :param load_requests: its load when chosen.
    :param policy: the policy's name.
    """

    request_id: str
    upstream: str
    matched_blocks: int
    total_blocks: int
    load_requests: float
    policy: str


class Router:
    """Chooses engines for requests and keeps the view it chooses by.

    :param settings: the daemon's settings.
    :param policy: the policy to choose with.
    :param clock: monotonic clock in seconds (the bench passes modelled time).
    """

    def __init__(
        self,
        settings: Settings,
        policy: RoutingPolicy,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._policy = policy
        self._clock = clock
        self._block_size_tokens = settings.daemon.block_size_tokens
        self.index = PrefixIndex(settings.daemon.index_entry_ttl_s)
        self.fleet = FleetView(
            [u.name for u in settings.upstreams],
            settings.daemon.engine_dead_after_s,
            clock(),
        )

    @property
    def policy_name(self) -> str:
        """The name of the policy in use."""
        return self._policy.name

    def observe(self, message: CacheEventBatch | LoadReport) -> None:
        """Take in one engine message (cache events or a load report)."""
        now_s = self._clock()
        if self.index.is_retired(message.engine, message.epoch):
            return
        if isinstance(message, LoadReport):
            self.fleet.observe_report(message, now_s)
            self.index.observe_epoch(message.engine, message.epoch)
        else:
            self.fleet.observe_heard(message.engine, message.epoch, now_s)
            self.index.apply(message, now_s)

    def sweep(self) -> None:
        """Drop the cache entries of engines that went silent."""
        for engine in self.fleet.newly_dead(self._clock()):
            self.index.drop(engine)

    def candidates(self, request: RoutingRequest) -> list[Candidate]:
        """Return the live engines that may serve ``request``, with their figures."""
        now_s = self._clock()
        keys = block_keys(
            list(request.tokens), self._block_size_tokens, salt_seed(request.salt)
        )
        opening = keys[min(len(keys), AFFINITY_BLOCKS) - 1] if keys else 0
        reachable = [
            name
            for name in request.team.upstreams
            if name not in request.exclude
            and request.model in self._settings.upstream(name).models
        ]
        live = [n for n in reachable if self.fleet.is_live(n, now_s)]
        if not live:
            live = [n for n in reachable if self.fleet.may_be_live(n, now_s)]
        found = []
        for name in live:
            upstream = self._settings.upstream(name)
            matched = self.index.match(name, keys, now_s)
            load = self.fleet.load_requests(name)
            weight = xxhash.xxh3_64_intdigest(name.encode(), seed=opening)
            found.append(
                Candidate(name, matched, len(keys), load, upstream.slots, weight)
            )
        return found

    def route(self, request: RoutingRequest) -> RoutingDecision:
        """Choose an engine for ``request`` and log the decision.

        :raises NoUpstreamError: if no live engine may serve it.
        """
        candidates = self.candidates(request)
        if not candidates:
            _log.info(
                "request={} team={} model={} engine=none refused=no_live_engine",
                request.request_id,
                request.team.name,
                request.model,
            )
            raise NoUpstreamError(request.team.name, request.model)
        chosen = self._policy.choose(candidates)
        decision = RoutingDecision(
            request_id=request.request_id,
            upstream=chosen.upstream,
            matched_blocks=chosen.matched_blocks,
            total_blocks=chosen.total_blocks,
            load_requests=chosen.load_requests,
            policy=self._policy.name,
        )
        _log.info(
            "request={} team={} model={} engine={} matched_blocks={}/{} load={} "
            "candidates={} policy={}",
            request.request_id,
            request.team.name,
            request.model,
            decision.upstream,
            decision.matched_blocks,
            decision.total_blocks,
            decision.load_requests,
            len(candidates),
            decision.policy,
        )
        return decision
