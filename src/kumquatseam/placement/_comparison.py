"""Comparing the engines that may take one prompt."""

from collections.abc import Sequence

import attrs

from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    store_for,
)
from kumquatseam.placement._choice import Candidate, WaitLimit, choose, wait_ms
from kumquatseam.placement._request import PlacementRequest
from kumquatseam.placement._work import (
    HolderScope,
    PlacementOption,
    WorkSource,
    WorkView,
)
from kumquatseam.routes import TeamTraits
from kumquatseam.upstreams import UpstreamDirectory

#: parts asked for again within this time are worth keeping, where operators say
#: nothing else.
DEFAULT_REUSE_WINDOW_S = 10.0


@attrs.frozen
class EngineChoice:
    """The best of some engines.

    :param candidate: the engine, and what is known of it.
    :param version: the weights it runs.
    :param plan: what it would do for the prompt.
    :param compared: how many engines were compared.
    :param sends_to_store: whether the engine sends the parts it reads to the store.
    """

    candidate: Candidate
    version: int
    plan: CachePlan
    compared: int
    sends_to_store: bool = False


class EngineComparison:
    """Compares engines for one prompt.

    :param request: the request.
    :param work: knows the work on engines.
    :param directory: the engines.
    :param reuse_window_s: parts asked for again within this time are worth keeping.
    :param limit: how long the request may wait.
    """

    def __init__(
        self,
        request: PlacementRequest,
        work: WorkSource,
        directory: UpstreamDirectory,
        reuse_window_s: float = DEFAULT_REUSE_WINDOW_S,
        limit: WaitLimit | None = None,
    ) -> None:
        self._request = request
        self._limit = limit or WaitLimit()
        self._work = work
        self._directory = directory
        self._reuse_window_s = reuse_window_s
        self.store = store_for(request.prompt, request.cache_stores)

    def best(self, options: Sequence[PlacementOption]) -> EngineChoice | None:
        """Return the best engine for the prompt, if there is any.

        The engines that few have work on are compared first. A refusal must not
        rest on these alone, so the others are looked at before one. An engine on
        which the prompt would begin too late for its weights is none of them.
        """
        shortlist = self._work.shortlist(options)
        best = self._compare(shortlist)
        if shortlist and (best is None or not self.is_in_time(best)):
            already_compared = {option.incarnation_id for option in shortlist}
            others = self._compare(self._work.shortlist(options, already_compared))
            if others is not None and (best is None or self.is_in_time(others)):
                return others
        return best

    def is_in_time(self, choice: EngineChoice) -> bool:
        """Return whether the prompt would wait no longer than it may."""
        return self._limit.allows(choice.candidate)

    def _compare(self, options: Sequence[PlacementOption]) -> EngineChoice | None:
        if not options:
            return None
        view = self._work.view(self._request.prompt, self._scopes(options))
        planners: dict[int, CachePlanner] = {}
        plans: dict[str, CachePlan] = {}
        candidates = []
        for option in options:
            if option.version not in planners:
                planners[option.version] = self._planner(option.version, view)
            upstream = option.status.upstream
            plan = planners[option.version].plan(
                upstream.incarnation_id, upstream.availability_zone
            )
            plans[option.incarnation_id] = plan
            candidate = self._candidate(option, plan, view)
            if wait_ms(candidate) <= option.begin_within_ms:
                candidates.append(candidate)
        if not candidates:
            return None
        chosen = choose(candidates, self._limit)
        versions = {option.incarnation_id: option.version for option in options}
        version = versions[chosen.incarnation_id]
        return EngineChoice(
            chosen,
            version,
            plans[chosen.incarnation_id],
            len(candidates),
            self._sends_to_store(version, view),
        )

    def _sends_to_store(self, version: int, view: WorkView) -> bool:
        """Return whether the store should be sent what the engine reads.

        An engine sends the whole prompt, also what nobody else will ask for, and
        what a store takes in drives out other parts. A store that is sent more
        than it keeps until it is asked for again serves nobody, and its link is
        taken from those that fetch; so it is then sent only what it lacks from
        the start, which most prompts share.
        """
        shared = self._request.prompt.shared
        if self.store is None or not shared:
            return False
        address = self.store.address
        holders = view.holders(cache_salt(version, self._request.team))
        held_tokens = holders.held_tokens(address)
        if held_tokens >= self._request.prompt.shared_tokens:
            return False
        if held_tokens < shared[0].tokens:
            return True
        return view.kept_s(address) >= self._reuse_window_s

    def _scopes(self, options: Sequence[PlacementOption]) -> list[HolderScope]:
        """Return the holders whose parts count: the engines and the store."""
        team = self._request.team
        scopes = [
            HolderScope(option.incarnation_id, cache_salt(option.version, team))
            for option in options
        ]
        if self.store is not None:
            salts = sorted({scope.salt for scope in scopes})
            scopes += [HolderScope(self.store.address, salt) for salt in salts]
        return scopes

    def _planner(self, version: int, view: WorkView) -> CachePlanner:
        """Return what plans for the engines on one version."""
        request, store = self._request, self.store
        holders = view.holders(cache_salt(version, request.team))
        # Engines come before the store: of equals the first is taken, and the
        # store's link is shared by all engines that fetch.
        sources = []
        for holder in sorted(holders.holders()):
            status = self._directory.status(holder)
            # A run that went on under other weights may have read parts again there.
            if status is not None and status.version_of(request.model) == version:
                upstream = status.upstream
                sources.append(
                    CacheSource(holder, upstream.address, upstream.availability_zone)
                )
        if store is not None:
            address, zone = store.address, store.availability_zone
            sources.append(CacheSource(address, address, zone, store.link_mbps))
        return CachePlanner(request.prompt, holders, sources, request.service.engine)

    def _candidate(
        self, option: PlacementOption, plan: CachePlan, view: WorkView
    ) -> Candidate:
        work = view.work_on(option.status)
        own_tokens = max(1, self._request.own_tokens)
        capacity_tokens = self._request.service.engine.cache_tokens
        missing_tokens = work.memory_tokens + own_tokens - capacity_tokens
        return Candidate(
            option.incarnation_id,
            plan.prefill_tokens,
            work.running,
            option.status.upstream.slots,
            option.rank,
            option.penalty_ms,
            work.pending_tokens,
            plan.repeated_tokens,
            plan.fetch_ms,
            max(0.0, missing_tokens / own_tokens) if work.memory_tokens else 0.0,
        )

    def cache_target(self, choice: EngineChoice) -> str:
        """Return the address of the store to send the parts to, if any."""
        return self.store.address if choice.sends_to_store else ""

    def cache_source(self, plan: CachePlan) -> str:
        """Return where to fetch; a store may have more than this process knows."""
        if plan.source is not None:
            return plan.source.address
        return self.store.address if self.store is not None else ""


def cache_salt(version: int, team: TeamTraits | None) -> str:
    """Return the scope of cached parts: the weights, and an isolated team.

    Engines do not tell parts of different weights apart, and a kept store
    drops nothing for new weights, so the scope must.
    """
    if team is not None and team.is_isolated:
        return f"{version}/{team.name}"
    return f"{version}"
