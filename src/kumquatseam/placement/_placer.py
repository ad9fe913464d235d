"""Collects the upstreams that may take a request and chooses one."""

import math
import random
import time
from collections.abc import Callable

import attrs
import xxhash

from kumquatseam.errors import OverloadedError, UpstreamsRestingError
from kumquatseam.logs import part_logger
from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement._choice import Candidate, WaitLimit, choose, wait_ms
from kumquatseam.placement._comparison import (
    DEFAULT_REUSE_WINDOW_S,
    EngineChoice,
    EngineComparison,
    cache_salt,
)
from kumquatseam.placement._engine_slowdown import EngineSlowdown
from kumquatseam.placement._limits import LimitFilter
from kumquatseam.placement._replaced_weights import (
    ReplacedWeightsDeadline,
    ReplacedWeightsGrace,
)
from kumquatseam.placement._request import Placement, PlacementRequest
from kumquatseam.placement._version_demand import VersionDemand
from kumquatseam.placement._wait_estimate import WaitEstimate
from kumquatseam.placement._work import (
    BroadcastWork,
    HolderScope,
    PlacementOption,
    WorkSource,
)
from kumquatseam.prompts import PromptChain, PromptIndex
from kumquatseam.quotas import UpstreamLimits
from kumquatseam.upstreams import (
    UNKNOWN_AGE_S,
    Unavailability,
    UpstreamDirectory,
    UpstreamStatus,
    WeightsTargets,
)

_log = part_logger("placement")

#: additional round-trip time to an upstream in another zone.
OTHER_ZONE_MS = 1.0
#: a run moves to another zone only if the engines of its own zone have this many
#: more requests: a move between zones takes twice as long.
OTHER_ZONE_RUNS = 20
#: greatest age of a request count used to choose an engine to move a run to: the
#: move itself takes longer.
MOVE_LOAD_MAX_AGE_S = 0.05
#: maximum age of the counts of requests on upstreams of a wanted software version.
FULL_LOAD_MAX_AGE_S = 0.05
#: cost of starting at a software version that streams wait for, as a wait; they can go
#: on nowhere else.
WANTED_VERSION_PENALTY_MS = 300.0
#: for this long after weights are replaced, requests start on them without penalty;
#: answers to later ones are worth a fifth less to the users.
REPLACED_WEIGHTS_FREE_S = 1.3
#: a process that has just started and finds no engine on the newest weights uses
#: engines on older ones for this long: the newest must have been named a moment ago,
#: or else a rollout would already have loaded them on the first engines.
STARTUP_GRACE_S = 3.0
#: cost of starting on replaced weights after that, as a wait; limited because a late
#: answer loses more of its worth than one on replaced weights.
REPLACED_WEIGHTS_PENALTY_MS = 300.0
#: part of the grace period reserved for moving a run.
MOVE_S = 0.3
#: a refused caller is told to retry after this share of the expected wait, when that
#: share of the waiting prompts has been prefilled.
RETRY_AFTER_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
#: an engine that is about to load weights takes requests only if the others are slower
#: by this much; a greater penalty would overload the first engines that are ready.
CLOSING_PENALTY_MS = 60.0


class Placer:
    """Places requests on upstreams.

    :param directory: the upstreams.
    :param index: the prompt parts that they hold.
    :param zone: this process's availability zone.
    :param targets: the newest weights named for each model.
    :param peer_loads: returns the load of other processes on an upstream.
    :param clock: monotonic clock in seconds.
    :param work: source of the work on upstreams; by default ``peer_loads`` and
        ``index``.
    :param reuse_window_s: a part is worth storing if it is reused within this time.
    :param replaced_weights_grace: how long requests may start on replaced weights.
    :param limits: the limits that upstreams announced; by default they are ignored.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        index: PromptIndex,
        zone: str,
        targets: WeightsTargets,
        peer_loads: Callable[[str], UpstreamLoad] = lambda i: UpstreamLoad(i, 0),
        clock: Callable[[], float] = time.monotonic,
        work: WorkSource | None = None,
        reuse_window_s: float = DEFAULT_REUSE_WINDOW_S,
        replaced_weights_grace: ReplacedWeightsGrace | None = None,
        limits: UpstreamLimits | None = None,
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._targets = targets
        self._work = work or BroadcastWork(directory, index, peer_loads)
        self._clock = clock
        self._reuse_window_s = reuse_window_s
        self._replaced_weights_deadline = ReplacedWeightsDeadline(
            targets, replaced_weights_grace or ReplacedWeightsGrace()
        )
        self._limits = LimitFilter(limits)
        self._slowdowns: dict[str, EngineSlowdown] = {}
        directory.on_gone(lambda gone: self._slowdowns.pop(gone.incarnation_id, None))
        #: the software versions that streams wait for.
        self.demand = VersionDemand(clock)
        #: corrects modelled waits by observed ones.
        self.wait_estimate = WaitEstimate()

    def place(self, request: PlacementRequest) -> Placement | None:
        """Return the upstream for ``request``; ``None`` if none can take it now.

        :raises OverloadedError: if its expected wait exceeds its limit.
        :raises LimitsUsedUpError: if all upstreams have used up their announced limits.
        :raises UpstreamsRestingError: if all upstreams rest.
        """
        available = self._available_statuses(request)
        if not available:
            self._raise_if_all_rest(request)
            return None
        if request.model:
            return self._place_on_engine(request, available)
        return self._place_without_model(request, available)

    def _raise_if_all_rest(self, request: PlacementRequest) -> None:
        """Tell that waiting is in vain while all upstreams of the service rest.

        :raises UpstreamsRestingError: if they do.
        """
        left_s = self._directory.rest_left_s(
            request.service.name, request.software_version
        )
        if left_s:
            raise UpstreamsRestingError(request.service.name, left_s)

    def move_destination(self, placement: Placement) -> Placement | None:
        """Return where to move a run whose engine is being drained.

        Only an engine on the same weights, and of the same software version, can
        continue it, and only within the grace period of these weights: a moved run
        counts as a request that starts.
        """
        available = [
            status
            for status in map(self._directory.status, placement.status.move_runs_to)
            if status is not None
            and self.may_move(placement, status)
            and self._limits.has_room(status.upstream.incarnation_id)
        ]
        running = self._work.running_on(
            [status.upstream.incarnation_id for status in available],
            MOVE_LOAD_MAX_AGE_S,
        )
        found = []
        for status in available:
            load = running.get(status.upstream.incarnation_id, status.running)
            source_zone = placement.status.upstream.availability_zone
            if status.upstream.availability_zone != source_zone:
                load += OTHER_ZONE_RUNS
            if load < status.upstream.slots + OTHER_ZONE_RUNS:
                found.append((load, random.random(), status))
        if not found:
            return None
        return attrs.evolve(placement, status=min(found)[2])

    def may_move(self, placement: Placement, destination: UpstreamStatus) -> bool:
        """Return whether a run may move to an engine now.

        :param placement: where it runs.
        """
        remaining_s = self._replaced_weights_deadline.remaining_s(
            placement.model, placement.version
        )
        source = placement.status
        return (
            remaining_s >= MOVE_S
            # A resting engine would not be asked to move it.
            and not source.availability.left_s(Unavailability.RESTING)
            and destination.upstream.incarnation_id in source.move_runs_to
            and not destination.is_leaving
            and not destination.is_closed
            and not destination.is_held_out
            and destination.runs(placement.version)
            and _is_same_software(destination, source)
        )

    def _check_wait(
        self, request: PlacementRequest, limit: WaitLimit, chosen: Candidate
    ) -> None:
        """Refuse a request whose first event would come too late.

        Prefilling its prompt would be wasted and would delay others; a caller that
        retries after the engines have worked off their queues can be served.
        """
        if limit.allows(chosen):
            return
        wait_s = self.wait_estimate.expected_ms(wait_ms(chosen)) / 1000.0
        retry_after_s = wait_s * RETRY_AFTER_SHARE
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        team = request.team.name if request.team else ""
        raise OverloadedError(team, request.service.name, retry_after_s)

    def _within_grace(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> list[UpstreamStatus]:
        """Return the engines on whose weights a request may start."""
        model = request.model
        known = [s for s in statuses if s.version_of(model) is not None]
        shortest_s = self.wait_estimate.expected_ms(0.0) / 1000.0 * request.start_margin
        in_time = [
            s
            for s in known
            if self._replaced_weights_deadline.remaining_s(model, s.version_of(model))
            > shortest_s
        ]
        if not in_time and self._may_be_named_just_now(request):
            return known
        return in_time

    def _may_be_named_just_now(self, request: PlacementRequest) -> bool:
        """Return whether the newest weights may have been named a moment ago.

        This process has just started and does not know when. Once any engine runs them,
        whether or not it takes this request, they were named some time ago.
        """
        model = request.model
        if self._targets.age_s(model) != UNKNOWN_AGE_S:
            return False
        newest = self._targets.newest_version(model)
        is_loaded = any(
            status.version_of(model) == newest
            for status in self._directory.of_service(request.service.name)
        )
        is_starting = self._targets.known_for_s(model) <= STARTUP_GRACE_S
        return is_starting and not is_loaded

    def _available_statuses(self, request: PlacementRequest) -> list[UpstreamStatus]:
        """Return the upstreams that may take it.

        Upstreams held out after failures are included only if there are no others.
        """
        listed = [
            status
            for status in self._directory.of_service(request.service.name)
            if not status.upstream.is_leaving
            and status.upstream.incarnation_id not in request.excluded
            and not status.is_closed
            and request.only in ("", status.upstream.incarnation_id)
            and request.software_version in ("", status.upstream.software_version)
        ]
        if request.software_version and not request.only:
            listed = self._without_full(listed)
        healthy = [s for s in listed if not s.is_held_out]
        return healthy or listed

    def _without_full(self, statuses: list[UpstreamStatus]) -> list[UpstreamStatus]:
        """Drop upstreams of which all slots are in use.

        A stream that can go on at few upstreams waits here, in order of arrival; if
        they refused it, it would use up the retry budget.
        """
        running = self._work.running_on(
            [status.upstream.incarnation_id for status in statuses],
            FULL_LOAD_MAX_AGE_S,
        )
        return [
            status
            for status in statuses
            if running.get(status.upstream.incarnation_id, status.running)
            < status.upstream.slots
        ]

    def _place_on_engine(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> Placement | None:
        limit = WaitLimit(
            self.wait_estimate.modelled_ms(request.max_wait_s * 1000.0),
            self.wait_estimate.modelled_ms(request.max_idle_wait_s * 1000.0),
        )
        comparison = EngineComparison(
            request,
            self._work,
            self._directory,
            self._reuse_window_s,
            limit,
            self._limits.has_room,
        )
        best = self._best_with_room(
            request, comparison, self._engine_options(request, statuses)
        )
        if best is None:
            return None
        self._check_wait(request, limit, best.candidate)
        status = self._status_if_available(best.candidate)
        if status is None or status.version_of(request.model) != best.version:
            return None
        self._log_choice(request, best.candidate, best.compared, best)
        return Placement(
            status,
            request.model,
            best.version,
            cache_salt(best.version, request.team),
            best.plan.prefill_tokens,
            comparison.cache_source(best.plan),
            comparison.cache_target(best),
            prompt=request.prompt,
            own_tokens=request.own_tokens,
            modelled_ms=wait_ms(best.candidate),
            wait_estimate=self.wait_estimate,
            replaced_weights_deadline=self._replaced_weights_deadline,
            slowdown=self._slowdown(best.candidate.incarnation_id),
            is_work_known=best.is_work_known,
        )

    def _best_with_room(
        self,
        request: PlacementRequest,
        comparison: EngineComparison,
        options: list[PlacementOption],
    ) -> EngineChoice | None:
        """Return the best engine whose announced limit has room.

        A comparison may find that the engines compared have none; then others are.

        :raises LimitsUsedUpError: if there are engines, and none of them has room.
        """
        remaining = options
        while remaining:
            remaining = self._limits.with_room(request, remaining)
            if not remaining:
                raise self._limits.used_up_error(request, options)
            best = comparison.best(remaining)
            if best is not None or all(map(self._has_room, remaining)):
                return best
        return None

    def _has_room(self, option: PlacementOption) -> bool:
        return self._limits.has_room(option.incarnation_id)

    def _engine_options(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> list[PlacementOption]:
        """Return the engines on which the request may start, with their penalties."""
        ranks = _rendezvous_ranks(
            request.prompt, [s.upstream.upstream_id for s in statuses]
        )
        now_s = self._clock()
        options = []
        for status in self._within_grace(request, statuses):
            version = status.version_of(request.model)
            age_s = self._targets.replaced_age_s(request.model, version)
            penalty_ms = replaced_weights_penalty_ms(age_s)
            if status.closing_until_s > now_s:
                penalty_ms += CLOSING_PENALTY_MS
            if not request.software_version and self._is_wanted(status):
                penalty_ms += WANTED_VERSION_PENALTY_MS
            rank = ranks[status.upstream.upstream_id]
            max_modelled_wait_ms = self._max_modelled_wait_ms(request, status)
            options.append(
                PlacementOption(status, version, rank, penalty_ms, max_modelled_wait_ms)
            )
        return options

    def _is_wanted(self, status: UpstreamStatus) -> bool:
        """Return whether streams wait for the software version of an engine."""
        upstream = status.upstream
        return self.demand.is_wanted(upstream.service, upstream.software_version)

    def _max_modelled_wait_ms(
        self, request: PlacementRequest, status: UpstreamStatus
    ) -> float:
        """Return the longest modelled wait after which a request may still start."""
        remaining_s = self._replaced_weights_deadline.remaining_after_send_s(
            request.model, status.version_of(request.model)
        )
        if remaining_s == math.inf:
            return math.inf
        factor = self._slowdown(status.upstream.incarnation_id).factor()
        factor *= request.start_margin
        return self.wait_estimate.modelled_ms(remaining_s * 1000.0 / factor)

    def _slowdown(self, incarnation_id: str) -> EngineSlowdown:
        """Return the slowdown estimate of an engine."""
        return self._slowdowns.setdefault(incarnation_id, EngineSlowdown(self._clock))

    def _place_without_model(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> Placement | None:
        all_options = [
            PlacementOption(
                status,
                penalty_ms=self._zone_penalty_ms(status) + 100.0 * status.failure_share,
            )
            for status in statuses
        ]
        remaining = self._limits.with_room(request, all_options)
        options: list[PlacementOption] = []
        while not options:
            if not remaining:
                raise self._limits.used_up_error(request, all_options)
            shortlist = self._work.shortlist(remaining)
            scopes = [HolderScope(option.incarnation_id, "") for option in shortlist]
            view = self._work.view(request.prompt, scopes)
            options = [o for o in shortlist if request.only or self._has_room(o)]
            compared = {option.incarnation_id for option in shortlist}
            remaining = [o for o in remaining if o.incarnation_id not in compared]
        candidates = [
            Candidate(
                option.incarnation_id,
                0,
                view.work_on(option.status).running,
                option.status.upstream.slots,
                option.rank,
                option.penalty_ms,
            )
            for option in options
        ]
        chosen = choose(candidates)
        status = self._status_if_available(chosen)
        if status is None:
            return None
        self._log_choice(request, chosen, len(candidates), None)
        return Placement(
            status, prompt=request.prompt, is_work_known=view.knows(status)
        )

    def _status_if_available(self, chosen: Candidate) -> UpstreamStatus | None:
        """Return the chosen upstream if it still takes requests.

        Querying other instances for its load takes some milliseconds, in which it may
        be ordered to load weights or to leave; a request that it then refuses uses up
        a retry.
        """
        status = self._directory.status(chosen.incarnation_id)
        if status is None or status.upstream.is_leaving:
            return None
        return None if status.is_closed else status

    def _zone_penalty_ms(self, status: UpstreamStatus) -> float:
        is_same_zone = status.upstream.availability_zone == self._zone
        return 0.0 if is_same_zone else OTHER_ZONE_MS

    def _log_choice(
        self,
        request: PlacementRequest,
        chosen: Candidate,
        count: int,
        choice: EngineChoice | None,
    ) -> None:
        plan = choice.plan if choice else None
        _log.bind(
            request=request.request_id,
            attempt=request.attempt,
            service=request.service.name,
            upstream=chosen.incarnation_id,
            candidates=count,
            running=chosen.running,
            expected_ms=round(self.wait_estimate.expected_ms(wait_ms(chosen))),
            pending_tokens=chosen.pending_tokens,
            version=choice.version if choice else None,
            software=self._software_of(chosen.incarnation_id),
            replaced_s=self._replaced_s(request.model, choice),
            held_tokens=plan.held_tokens if plan else 0,
            fetched_tokens=plan.fetched_tokens if plan else 0,
            repeated_tokens=plan.repeated_tokens if plan else 0,
            fetched_from=plan.source.holder if plan and plan.source else "",
            prompt_tokens=request.prompt.tokens,
            shared_tokens=request.prompt.shared_tokens,
            **self._limits.log_fields(chosen.incarnation_id),
            list_age_s=round(
                self._clock() - (self._directory.list_confirmed_s or 0.0), 2
            ),
        ).debug("Placed.")

    def _software_of(self, incarnation_id: str) -> str:
        status = self._directory.status(incarnation_id)
        return status.upstream.software_version if status is not None else ""

    def _replaced_s(self, model: str, choice: EngineChoice | None) -> float | None:
        """Return the known time since the chosen weights were replaced."""
        if choice is None:
            return None
        return round(self._targets.replaced_age_s(model, choice.version), 3)


def replaced_weights_penalty_ms(age_s: float) -> float:
    """Return the cost of starting on replaced weights, as a wait.

    :param age_s: how long ago newer weights were named; 0 if there are none.
    """
    return REPLACED_WEIGHTS_PENALTY_MS if age_s > REPLACED_WEIGHTS_FREE_S else 0.0


def _is_same_software(status: UpstreamStatus, other: UpstreamStatus) -> bool:
    version = other.upstream.software_version
    return bool(version) and status.upstream.software_version == version


def _rendezvous_ranks(prompt: PromptChain, upstream_ids: list[str]) -> dict[str, int]:
    """Return the rank of each upstream for the prompt, by rendezvous hashing.

    Prompts with the same last shared part give the same ranks, in every process that
    knows the same upstreams.
    """
    shared = prompt.shared
    key = shared[-1].part_id if shared else ""

    def weight(upstream_id: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}|{upstream_id}".encode())

    ordered = sorted(upstream_ids, key=weight, reverse=True)
    return {upstream_id: rank for rank, upstream_id in enumerate(ordered)}
