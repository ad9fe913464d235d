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
from kumquatseam.placement._begin_bound import BeginLimit, ReplacedWeightsGrace
from kumquatseam.placement._choice import Candidate, WaitLimit, choose, wait_ms
from kumquatseam.placement._comparison import (
    DEFAULT_REUSE_WINDOW_S,
    EngineChoice,
    EngineComparison,
    cache_salt,
)
from kumquatseam.placement._engine_pace import EnginePace
from kumquatseam.placement._request import Placement, PlacementRequest
from kumquatseam.placement._wait_estimate import WaitEstimate
from kumquatseam.placement._work import (
    BroadcastWork,
    HolderScope,
    PlacementOption,
    WorkSource,
)
from kumquatseam.prompts import PromptChain, PromptIndex
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
#: runs that an engine had this long ago may be taken for those it has now, when
#: one is to be moved: moving takes longer.
MOVE_LOAD_MAX_AGE_S = 0.05
#: requests may begin on weights that were just replaced at no loss for this
#: long; later ones lose a fifth of their worth to the users.
OLD_WEIGHTS_FREE_S = 1.3
#: a process that has just started and finds no engine on the newest weights
#: uses the others for this long: they were named a moment ago, or a rollout
#: would have brought the first engines that far.
UNCERTAIN_LIMIT_S = 3.0
#: what beginning on replaced weights costs after that, as a wait: a late answer
#: loses more than one on replaced weights.
OLD_WEIGHTS_PENALTY_MS = 300.0
#: kept back of the bound for the way of a run that moves.
MOVE_S = 0.3
#: it may come back when half of what waits has been read.
RETRY_AFTER_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
#: an engine that is about to load takes work only if the others are this much
#: slower; more would crowd the first engines that are ready.
CLOSING_PENALTY_MS = 60.0


class Placer:
    """Places requests on upstreams.

    :param directory: the upstreams.
    :param index: what they hold.
    :param zone: this process's availability zone.
    :param targets: the weights that are to be in force.
    :param peer_loads: what other processes have on an upstream.
    :param clock: monotonic clock in seconds.
    :param work: knows the work on upstreams; by default what ``peer_loads`` and
        ``index`` say.
    :param reuse_window_s: parts asked for again within this time are worth keeping.
    :param replaced_weights_grace: how long requests may begin on replaced weights.
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
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._targets = targets
        self._work = work or BroadcastWork(directory, index, peer_loads)
        self._clock = clock
        self._reuse_window_s = reuse_window_s
        self._begin_limit = BeginLimit(
            targets, replaced_weights_grace or ReplacedWeightsGrace()
        )
        self._paces: dict[str, EnginePace] = {}
        directory.on_gone(lambda gone: self._paces.pop(gone.incarnation_id, None))
        #: how long first events really take.
        self.waits = WaitEstimate()

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

    def move_destination(self, placement: Placement) -> Placement | None:
        """Return where a run goes whose engine is to be emptied.

        Only engines of the same weights can go on with it, and only while
        requests may begin on these: a moved run counts as one that begins.
        """
        now_s = self._clock()
        left_s = self._begin_limit.left_s(placement.model, placement.version)
        if left_s < MOVE_S:
            return None
        open_to_it = [
            status
            for status in map(self._directory.status, placement.status.move_runs_to)
            if status is not None
            and max(status.blocked_until_s, status.held_out_until_s) <= now_s
            and status.runs(placement.version)
        ]
        running = self._work.running_on(
            [status.upstream.incarnation_id for status in open_to_it],
            MOVE_LOAD_MAX_AGE_S,
        )
        found = []
        for status in open_to_it:
            load = running.get(status.upstream.incarnation_id, status.running)
            source_zone = placement.status.upstream.availability_zone
            if status.upstream.availability_zone != source_zone:
                load += OTHER_ZONE_RUNS
            if load < status.upstream.slots + OTHER_ZONE_RUNS:
                found.append((load, random.random(), status))
        if not found:
            return None
        return attrs.evolve(placement, status=min(found)[2])

    def _check_wait(
        self, request: PlacementRequest, limit: WaitLimit, chosen: Candidate
    ) -> None:
        """Refuse what could not be answered in time anyway.

        Its prompt would be read in vain and hold up others; a caller that
        comes back when the engines have read what waits is served then.
        """
        if limit.allows(chosen):
            return
        wait_s = self.waits.expected_ms(wait_ms(chosen)) / 1000.0
        retry_after_s = wait_s * RETRY_AFTER_SHARE
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        team = request.team.name if request.team else ""
        raise OverloadedError(team, request.service.name, retry_after_s)

    def _with_weights_in_time(
        self, model: str, statuses: list[UpstreamStatus]
    ) -> list[UpstreamStatus]:
        """Return the engines whose weights a request may begin on."""
        known = [s for s in statuses if s.version_of(model) is not None]
        shortest_s = self.waits.expected_ms(0.0) / 1000.0
        in_time = [
            s
            for s in known
            if self._begin_limit.left_s(model, s.version_of(model)) > shortest_s
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
        limit = WaitLimit(
            self.waits.believed_ms(request.max_wait_s * 1000.0),
            self.waits.believed_ms(request.longest_alone_s * 1000.0),
        )
        comparison = EngineComparison(
            request, self._work, self._directory, self._reuse_window_s, limit
        )
        best = comparison.best(self._engine_options(request, statuses))
        if best is None:
            return None
        self._check_wait(request, limit, best.candidate)
        status = self._still_open(best.candidate)
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
            believed_ms=wait_ms(best.candidate),
            waits=self.waits,
            begin_limit=self._begin_limit,
            pace=self._pace(best.candidate.incarnation_id),
        )

    def _engine_options(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> list[PlacementOption]:
        """Return the engines that the prompt may begin on, as they stand."""
        order = _rank(request.prompt, [s.upstream.upstream_id for s in statuses])
        now_s = self._clock()
        options = []
        for status in self._with_weights_in_time(request.model, statuses):
            version = status.version_of(request.model)
            age_s = self._targets.replaced_age_s(request.model, version)
            penalty_ms = old_weights_penalty_ms(age_s)
            if status.closing_until_s > now_s:
                penalty_ms += CLOSING_PENALTY_MS
            rank = order[status.upstream.upstream_id]
            begin_within_ms = self._begin_within_ms(request.model, status)
            options.append(
                PlacementOption(status, version, rank, penalty_ms, begin_within_ms)
            )
        return options

    def _begin_within_ms(self, model: str, status: UpstreamStatus) -> float:
        """Return the longest modelled wait after which a request may still begin."""
        left_s = self._begin_limit.sent_left_s(model, status.version_of(model))
        if left_s == math.inf:
            return math.inf
        factor = self._pace(status.upstream.incarnation_id).factor()
        return self.waits.believed_ms(left_s * 1000.0 / factor)

    def _pace(self, incarnation_id: str) -> EnginePace:
        """Return what is learnt of an engine's pace."""
        return self._paces.setdefault(incarnation_id, EnginePace(self._clock))

    def _place_plainly(
        self, request: PlacementRequest, statuses: list[UpstreamStatus]
    ) -> Placement | None:
        options = self._work.shortlist(
            [
                PlacementOption(
                    status,
                    penalty_ms=self._distance_ms(status) + 100.0 * status.failure_share,
                )
                for status in statuses
            ]
        )
        scopes = [HolderScope(option.incarnation_id, "") for option in options]
        view = self._work.view(request.prompt, scopes)
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
        status = self._still_open(chosen)
        if status is None:
            return None
        self._log_choice(request, chosen, len(candidates), None)
        return Placement(status, prompt=request.prompt)

    def _still_open(self, chosen: Candidate) -> UpstreamStatus | None:
        """Return the upstream chosen, if it still takes work.

        Others are asked what they have on it for some milliseconds, and it may be
        told to load or to leave meanwhile; a refused arrival counts as a retry.
        """
        status = self._directory.status(chosen.incarnation_id)
        if status is None or status.upstream.is_leaving:
            return None
        return status if status.blocked_until_s <= self._clock() else None

    def _distance_ms(self, status: UpstreamStatus) -> float:
        is_near = status.upstream.availability_zone == self._zone
        return 0.0 if is_near else OTHER_ZONE_MS

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
            expected_ms=round(self.waits.expected_ms(wait_ms(chosen))),
            pending_tokens=chosen.pending_tokens,
            version=choice.version if choice else None,
            replaced_s=self._replaced_s(request.model, choice),
            held_tokens=plan.held_tokens if plan else 0,
            fetched_tokens=plan.fetched_tokens if plan else 0,
            repeated_tokens=plan.repeated_tokens if plan else 0,
            fetched_from=plan.source.holder if plan and plan.source else "",
            prompt_tokens=request.prompt.tokens,
            shared_tokens=request.prompt.shared_tokens,
            list_age_s=round(self._clock() - (self._directory.listed_s or 0.0), 2),
        ).debug("Placed.")

    def _replaced_s(self, model: str, choice: EngineChoice | None) -> float | None:
        """Return how long the weights chosen are known to be replaced."""
        if choice is None:
            return None
        return round(self._targets.replaced_age_s(model, choice.version), 3)


def old_weights_penalty_ms(age_s: float) -> float:
    """Return what beginning on replaced weights costs, as a wait.

    :param age_s: how long ago newer weights were named; 0 if there are none.
    """
    return OLD_WEIGHTS_PENALTY_MS if age_s > OLD_WEIGHTS_FREE_S else 0.0


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
