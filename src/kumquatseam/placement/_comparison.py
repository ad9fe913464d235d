"""Comparison of the engines that may take one prompt."""

from collections.abc import Callable, Sequence

import attrs

from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    select_store,
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

#: default time within which reuse of a part makes it worth storing.
DEFAULT_REUSE_WINDOW_S = 10.0


@attrs.frozen
class EngineChoice:
    """The best engine of a comparison.

    :param candidate: the engine, with the figures that it was compared by.
    :param version: version of the weights that it runs.
    :param plan: its cache plan for the prompt.
    :param compared: how many engines were compared.
    :param sends_to_store: whether the engine sends the parts it computes to the store.
    :param is_work_known: whether the work of other instances on it is known.
    """

    candidate: Candidate
    version: int
    plan: CachePlan
    compared: int
    sends_to_store: bool = False
    is_work_known: bool = True


class EngineComparison:
    """Compares engines for one prompt.

    :param request: the request.
    :param work: source of the work on engines.
    :param directory: the engines.
    :param reuse_window_s: a part is worth storing if it is reused within this time.
    :param limit: how long the request may wait.
    :param has_room: whether the announced limit of an engine has room.
    """

    def __init__(
        self,
        request: PlacementRequest,
        work: WorkSource,
        directory: UpstreamDirectory,
        reuse_window_s: float = DEFAULT_REUSE_WINDOW_S,
        limit: WaitLimit | None = None,
        has_room: Callable[[str], bool] = lambda incarnation_id: True,
    ) -> None:
        self._request = request
        self._limit = limit or WaitLimit()
        self._has_room = has_room
        self._work = work
        self._directory = directory
        self._reuse_window_s = reuse_window_s
        self.store = select_store(request.prompt, request.cache_stores)

    def best(self, options: Sequence[PlacementOption]) -> EngineChoice | None:
        """Return the best engine for the prompt, if there is any.

        The engines of a shortlist are compared first. If none of them is in time,
        others are compared too, since a request must not be refused because of the
        shortlist alone. An engine on which the request would start after the grace
        period of its weights is never chosen.
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
        """Return whether the modelled wait on the engine is within the limit."""
        return self._limit.allows(choice.candidate)

    def _compare(self, options: Sequence[PlacementOption]) -> EngineChoice | None:
        if not options:
            return None
        view = self._work.view(self._request.prompt, self._scopes(options))
        planners: dict[int, CachePlanner] = {}
        plans: dict[str, CachePlan] = {}
        candidates = []
        for option in options:
            # The view may have brought news of limits.
            if not self._request.only and not self._has_room(option.incarnation_id):
                continue
            if option.version not in planners:
                planners[option.version] = self._planner(option.version, view)
            upstream = option.status.upstream
            plan = planners[option.version].plan(
                upstream.incarnation_id, upstream.availability_zone
            )
            plans[option.incarnation_id] = plan
            candidate = self._candidate(option, plan, view)
            if wait_ms(candidate) <= option.max_modelled_wait_ms:
                candidates.append(candidate)
        if not candidates:
            return None
        chosen = choose(candidates, self._limit)
        (option,) = [o for o in options if o.incarnation_id == chosen.incarnation_id]
        version = option.version
        return EngineChoice(
            chosen,
            version,
            plans[chosen.incarnation_id],
            len(candidates),
            self._sends_to_store(version, view),
            view.knows(option.status),
        )

    def _sends_to_store(self, version: int, view: WorkView) -> bool:
        """Return whether the engine should send the parts it computes to the store.

        An engine sends the whole prompt, including parts that no other request uses,
        and each part stored evicts others. If parts are evicted before they are
        reused, the store is of no use, and sending takes link bandwidth from engines
        that fetch. The prompt is then sent only if the store lacks its first part,
        which most prompts share.
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
        """Return the holders to query: the engines and the store."""
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
        """Return the cache planner for the engines on one version of the weights."""
        request, store = self._request, self.store
        holders = view.holders(cache_salt(version, request.team))
        # Engines come before the store: of equal sources the planner takes the first,
        # and the store's link is shared by all engines that fetch.
        sources = []
        for holder in sorted(holders.holders()):
            status = self._directory.status(holder)
            # A run that continued while its engine loaded other weights may have
            # recomputed its parts under them.
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
        """Return the address to fetch from, ``""`` for none.

        Without a planned source it is the store's, which may hold parts that this
        process does not know of.
        """
        if plan.source is not None:
            return plan.source.address
        return self.store.address if self.store is not None else ""


def cache_salt(version: int, team: TeamTraits | None) -> str:
    """Return the scope of cached parts: the weights and, if isolated, the team.

    Engines do not distinguish parts of different weights, and the KV-cache store
    evicts nothing when weights change, so the scope has to separate them.
    """
    if team is not None and team.is_isolated:
        return f"{version}/{team.name}"
    return f"{version}"
