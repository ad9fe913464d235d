"""Gathering the upstreams that may take a request and choosing one."""

import math
import random
import time
from collections.abc import Callable

import attrs
import xxhash

from kumquatseam.errors import OverloadedError
from kumquatseam.logs import part_logger
from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement._cache_plan import (
    CachePlan,
    CachePlanner,
    CacheSource,
    store_for,
)
from kumquatseam.placement._choice import Candidate, choose, wait_ms
from kumquatseam.prompts import PromptChain, PromptIndex
from kumquatseam.rollouts import MovedRun
from kumquatseam.routes import CacheStore, ServiceTraits, TeamTraits
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    UpstreamDirectory,
    UpstreamStatus,
    WeightsTargets,
)

_log = part_logger("placement")

#: an upstream in another zone answers this much later, both ways.
OTHER_ZONE_MS = 1.0
#: a run moves to another zone only if the engines of its own have this many
#: more requests: a move between zones takes twice as long.
OTHER_ZONE_RUNS = 20
#: requests may begin on weights that were just replaced at no loss for this
#: long; later ones lose a fifth of their worth to the users.
OLD_WEIGHTS_FREE_S = 1.3
#: a process that has just started and finds no engine on the newest weights
#: uses the others for this long: they were named a moment ago, or a rollout
#: would have brought the first engines that far.
UNCERTAIN_LIMIT_S = 3.0
#: what beginning on replaced weights costs after that, as a wait: half the
#: shortest time to first token that is aimed at. A late answer loses three
#: times as much as one on replaced weights; with 600 ms 11% of the long prompts
#: were late in a replayed day of five rollouts, with 300 ms 3%.
OLD_WEIGHTS_PENALTY_MS = 300.0
#: after this long no request may begin on replaced weights; a second before
#: the users' bound, since a request also waits at its engine.
OLD_WEIGHTS_LIMIT_S = 6.5
#: it may come back when half of what waits has been read.
RETRY_AFTER_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
#: an engine that is about to load takes work only if the others are this much
#: slower; with 250 ms the first engines that were ready had to read 40,000
#: tokens before a new prompt, with 60 ms 15,000.
CLOSING_PENALTY_MS = 60.0


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
    :param longest_wait_s: a longer wait for its answer means a refusal.
    :param cache_stores: the stores of kept KV cache.
    """

    request_id: str
    service: ServiceTraits
    team: TeamTraits | None
    model: str
    prompt: PromptChain
    excluded: frozenset[str]
    attempt: int
    longest_wait_s: float = math.inf
    cache_stores: tuple[CacheStore, ...] = ()


@attrs.frozen
class Placement:
    """The choice of an upstream.

    :param status: the upstream.
    :param model: the model it asks for, ``""`` for plain services.
    :param version: weights the request must run on, if it names a model.
    :param salt: the scope of its cached parts.
    :param read_tokens: prompt tokens it has to read.
    :param cache_source: where it fetches parts; ``""`` for nowhere.
    :param cache_target: where it sends the parts it reads; ``""`` for nowhere.
    :param moved_run: a run that goes on there from a copy of its memory.
    """

    status: UpstreamStatus
    model: str = ""
    version: int | None = None
    salt: str = ""
    read_tokens: int = 0
    cache_source: str = ""
    cache_target: str = ""
    moved_run: MovedRun | None = None

    def going_on_from(self, moved: MovedRun) -> "Placement":
        """Return this placement for a run that was moved to it."""
        return attrs.evolve(self, moved_run=moved)


class Placer:
    """Places requests on upstreams.

    :param directory: the upstreams.
    :param index: what they hold.
    :param zone: this process's availability zone.
    :param targets: the weights that are to be in force.
    :param peer_loads: what other processes have on an upstream.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        index: PromptIndex,
        zone: str,
        targets: WeightsTargets,
        peer_loads: Callable[[str], UpstreamLoad] = lambda i: UpstreamLoad(i, 0),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._index = index
        self._zone = zone
        self._targets = targets
        self._peer_loads = peer_loads
        self._clock = clock

    def place(self, request: PlacementRequest) -> Placement | None:
        """Return where ``request`` goes; ``None`` if nowhere now.

        :raises OverloadedError: if it would wait for most of its time.
        """
        open_statuses = self._open_statuses(request)
        if not open_statuses:
            return None
        if request.model:
            return self._place_on_engine(request, open_statuses)
        return self._place_plainly(request, open_statuses)

    def destination(self, placement: Placement) -> Placement | None:
        """Return where a run goes whose engine is to be emptied.

        Only engines of the same weights can go on with it, and only while
        requests may begin on these: a moved run counts as one that begins.
        """
        now_s = self._clock()
        replaced_s = self._targets.replaced_age_s(placement.model, placement.version)
        if replaced_s > OLD_WEIGHTS_LIMIT_S:
            return None
        found = []
        for incarnation_id in placement.status.move_runs_to:
            status = self._directory.status(incarnation_id)
            if status is None or status.blocked_until_s > now_s:
                continue
            if status.held_out_until_s > now_s or not status.runs(placement.version):
                continue
            load = status.running + self._peer_loads(incarnation_id).running
            source_zone = placement.status.upstream.availability_zone
            if status.upstream.availability_zone != source_zone:
                load += OTHER_ZONE_RUNS
            if load < status.upstream.slots + OTHER_ZONE_RUNS:
                found.append((load, random.random(), status))
        if not found:
            return None
        return attrs.evolve(placement, status=min(found)[2])

    def _check_wait(self, request: PlacementRequest, chosen: Candidate) -> None:
        """Refuse what could not be answered in time anyway.

        Its prompt would be read in vain and hold up others; a caller that
        comes back when the engines have read what waits is served then.
        """
        wait_s = wait_ms(chosen) / 1000.0
        if wait_s <= request.longest_wait_s:
            return
        retry_after_s = wait_s * RETRY_AFTER_SHARE
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        team = request.team.name if request.team else ""
        raise OverloadedError(team, request.service.name, retry_after_s)

    def _with_weights_in_time(
        self, model: str, statuses: list[UpstreamStatus]
    ) -> list[UpstreamStatus]:
        """Return the engines whose weights a request may begin on."""
        known = [s for s in statuses if s.version_of(model) is not None]
        in_time = [
            s
            for s in known
            if self._targets.replaced_age_s(model, s.version_of(model))
            <= OLD_WEIGHTS_LIMIT_S
        ]
        is_uncertain = self._targets.age_s(model) == UNKNOWN_AGE_S
        is_fresh = self._targets.learnt_age_s(model) <= UNCERTAIN_LIMIT_S
        if not in_time and is_uncertain and is_fresh:
            return known
        return in_time

    def _open_statuses(self, request: PlacementRequest) -> list[UpstreamStatus]:
        """Return the upstreams that may take it, sound ones if there are any."""
        now_s = self._clock()
        listed = [
            status
            for status in self._directory.of_service(request.service.name)
            if not status.upstream.is_leaving
            and status.upstream.incarnation_id not in request.excluded
            and status.blocked_until_s <= now_s
        ]
        sound = [s for s in listed if s.held_out_until_s <= now_s]
        return sound or listed

    def _place_on_engine(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> Placement | None:
        order = _rank(request.prompt, [s.upstream.upstream_id for s in statuses])
        store = store_for(request.prompt, request.cache_stores)
        planners: dict[int, CachePlanner] = {}
        plans: dict[str, CachePlan] = {}
        candidates = []
        for status in self._with_weights_in_time(request.model, statuses):
            version = status.version_of(request.model)
            if version not in planners:
                planners[version] = self._planner(request, version, store)
            upstream = status.upstream
            plan = planners[version].plan(
                upstream.incarnation_id, upstream.availability_zone
            )
            plans[upstream.incarnation_id] = plan
            age_s = self._targets.replaced_age_s(request.model, version)
            penalty_ms = old_weights_penalty_ms(age_s)
            if status.closing_until_s > self._clock():
                penalty_ms += CLOSING_PENALTY_MS
            candidates.append(
                self._candidate(status, plan, order[upstream.upstream_id], penalty_ms)
            )
        if not candidates:
            return None
        chosen = choose(candidates, request.longest_wait_s * 1000.0)
        self._check_wait(request, chosen)
        status = self._directory.status(chosen.incarnation_id)
        version = status.version_of(request.model)
        plan = plans[chosen.incarnation_id]
        self._log_choice(request, chosen, len(candidates), version, plan)
        return Placement(
            status,
            request.model,
            version,
            cache_salt(version, request.team),
            plan.read_tokens,
            self._cache_source(plan, store),
            self._cache_target(request, version, store),
        )

    def _planner(
        self, request: PlacementRequest, version: int, store: CacheStore | None
    ) -> CachePlanner:
        """Return what plans for the engines on one version."""
        salt = cache_salt(version, request.team)
        holders = self._index.look_up(salt, request.prompt)
        sources = []
        if store is not None:
            address, zone = store.address, store.availability_zone
            sources.append(CacheSource(address, address, zone, store.link_mbps))
        for holder in holders.holders():
            status = self._directory.status(holder)
            if status is not None:
                upstream = status.upstream
                sources.append(
                    CacheSource(holder, upstream.address, upstream.availability_zone)
                )
        return CachePlanner(request.prompt, holders, sources, request.service.engine)

    @staticmethod
    def _cache_source(plan: CachePlan, store: CacheStore | None) -> str:
        """Return where to fetch; a store may have more than this process knows."""
        if plan.source is not None:
            return plan.source.address
        return store.address if store is not None else ""

    def _cache_target(
        self, request: PlacementRequest, version: int, store: CacheStore | None
    ) -> str:
        """Return the store to send the parts to, unless it has them.

        An engine sends the whole prompt, also what nobody else will ask for, and
        what a store takes in drives out other parts.
        """
        if store is None:
            return ""
        salt = cache_salt(version, request.team)
        holders = self._index.look_up(salt, request.prompt)
        has_all = holders.held_tokens(store.address) >= request.prompt.shared_tokens
        return "" if has_all else store.address

    def _candidate(
        self, status: UpstreamStatus, plan: CachePlan, rank: int, penalty_ms: float
    ) -> Candidate:
        incarnation_id = status.upstream.incarnation_id
        peers = self._peer_loads(incarnation_id)
        return Candidate(
            incarnation_id,
            plan.read_tokens,
            status.running + peers.running,
            status.upstream.slots,
            rank,
            penalty_ms,
            status.pending_tokens + peers.pending_tokens,
            plan.repeated_tokens,
            plan.fetch_ms,
        )

    def _place_plainly(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> Placement:
        candidates = [
            Candidate(
                status.upstream.incarnation_id,
                0,
                status.running
                + self._peer_loads(status.upstream.incarnation_id).running,
                status.upstream.slots,
                0,
                self._distance_ms(status) + 100.0 * status.failure_share,
            )
            for status in statuses
        ]
        chosen = choose(candidates)
        self._log_choice(request, chosen, len(candidates), None, None)
        return Placement(self._directory.status(chosen.incarnation_id))

    def _distance_ms(self, status: UpstreamStatus) -> float:
        is_near = status.upstream.availability_zone == self._zone
        return 0.0 if is_near else OTHER_ZONE_MS

    def _log_choice(
        self,
        request: PlacementRequest,
        chosen: Candidate,
        count: int,
        version: int | None,
        plan: CachePlan | None,
    ) -> None:
        _log.bind(
            request=request.request_id,
            attempt=request.attempt,
            service=request.service.name,
            upstream=chosen.incarnation_id,
            candidates=count,
            running=chosen.running,
            pending_tokens=chosen.pending_tokens,
            version=version,
            held_tokens=plan.held_tokens if plan else 0,
            fetched_tokens=plan.fetched_tokens if plan else 0,
            repeated_tokens=plan.repeated_tokens if plan else 0,
            fetched_from=plan.source.holder if plan and plan.source else "",
            prompt_tokens=request.prompt.tokens,
            shared_tokens=request.prompt.shared_tokens,
            list_age_s=round(self._clock() - (self._directory.listed_s or 0.0), 2),
        ).debug("Placed.")


def old_weights_penalty_ms(age_s: float) -> float:
    """Return what beginning on replaced weights costs, as a wait.

    :param age_s: how long ago newer weights were named; 0 if there are none.
    """
    return OLD_WEIGHTS_PENALTY_MS if age_s > OLD_WEIGHTS_FREE_S else 0.0


def cache_salt(version: int, team: TeamTraits | None) -> str:
    """Return the scope of cached parts: the weights, and an isolated team.

    Engines do not tell parts of different weights apart, and a kept store
    drops nothing for new weights, so the scope must.
    """
    if team is not None and team.is_isolated:
        return f"{version}/{team.name}"
    return f"{version}"


def _rank(prompt: PromptChain, upstream_ids: list[str]) -> dict[str, int]:
    """Return the prompt's own order of upstreams, by rendezvous hashing.

    Prompts that share their last shared part have the same order, in every
    process that knows the same upstreams.
    """
    shared = prompt.shared
    key = shared[-1].part_id if shared else ""

    def weight(upstream_id: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}|{upstream_id}".encode())

    ordered = sorted(upstream_ids, key=weight, reverse=True)
    return {upstream_id: rank for rank, upstream_id in enumerate(ordered)}
