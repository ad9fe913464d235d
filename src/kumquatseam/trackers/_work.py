"""Provides the load data of trackers to placement."""

import itertools
import random
import time
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from kumquatseam.peers import InstanceRecord
from kumquatseam.placement import (
    HolderScope,
    OutstandingWork,
    PlacementOption,
    RequestWork,
    WorkSource,
    WorkView,
)
from kumquatseam.prompts import PartHolders, PromptChain, PromptPart
from kumquatseam.trackers._client import TrackerClient
from kumquatseam.trackers._messages import (
    PartsSent,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkPrefilled,
)
from kumquatseam.upstreams import (
    InFlightRequest,
    InFlightRequestListener,
    UpstreamDirectory,
    UpstreamStatus,
)

#: upstreams shortlisted by static cost alone: the first in the prompt's rendezvous
#: order, which are the likeliest to have its parts cached.
STATIC_OPTIONS = 3
#: upstreams added at random, one with no higher penalty than the best option and one
#: of all others, so that a burst of one prompt spreads. With two random options the
#: longest queue grows only with log(log(number of upstreams)).
RANDOM_EQUAL_OPTIONS = 1
RANDOM_OTHER_OPTIONS = 1
#: further upstreams compared before a request is refused.
LAST_RESORT_OPTIONS = 16


class TrackedWork(WorkSource):
    """Queries the trackers of a few upstreams for each request.

    :param client: queries the trackers.
    :param directory: the upstreams, with this process's own requests.
    :param name: name of this instance.
    :param clock: monotonic clock in seconds.
    :param draw: random generator for the choice of upstreams.
    :param note_load: called with each load that a tracker reports.
    """

    def __init__(
        self,
        client: TrackerClient,
        directory: UpstreamDirectory,
        name: str,
        clock: Callable[[], float] = time.monotonic,
        draw: random.Random | None = None,
        note_load: Callable[[TrackedLoad], None] = lambda load: None,
    ) -> None:
        self._client = client
        self._directory = directory
        self._clock = clock
        self._draw = draw or random.Random()
        self._note_load = note_load
        # Requests from before a restart must not be confused with new ones.
        self._work_id_prefix = f"{name}/{self._draw.getrandbits(32):x}"
        self._work_numbers = itertools.count()
        self._running_cache: dict[str, tuple[float, int]] = {}

    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        remaining = [o for o in options if o.incarnation_id not in already_compared]
        if already_compared:
            drawn = self._sample(remaining, LAST_RESORT_OPTIONS)
            return [attrs.evolve(o, rank=STATIC_OPTIONS) for o in drawn]
        self._draw.shuffle(remaining)
        remaining.sort(key=lambda option: option.static_cost_ms)
        chosen, rest = remaining[:STATIC_OPTIONS], remaining[STATIC_OPTIONS:]
        if rest:
            best_penalty_ms = chosen[0].penalty_ms
            equal = [option for option in rest if option.penalty_ms <= best_penalty_ms]
            drawn = self._sample(equal, RANDOM_EQUAL_OPTIONS)
            others = [option for option in rest if option not in drawn]
            chosen += drawn + self._sample(others, RANDOM_OTHER_OPTIONS)
        # The rank within this list is used instead of the rank among all: beyond
        # the first few, all upstreams are equally likely to have the prompt's parts.
        return [
            attrs.evolve(option, rank=min(rank, STATIC_OPTIONS))
            for rank, option in enumerate(chosen)
        ]

    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        return TrackedView(self._query(scopes, prompt.shared))

    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        oldest_s = self._clock() - max_age_s
        scopes = [
            HolderScope(incarnation_id, "")
            for incarnation_id in incarnation_ids
            if self._running_cache.get(incarnation_id, (float("-inf"), 0))[0]
            <= oldest_s
        ]
        if scopes:
            loads = self._query(scopes)
            now_s = self._clock()
            self._running_cache.update({w.holder: (now_s, w.running) for w in loads})
        self._remove_gone()
        return {
            i: self._running_cache[i][1]
            for i in incarnation_ids
            if i in self._running_cache
        }

    def begin(self, work: RequestWork) -> InFlightRequest:
        holder = work.status.upstream.incarnation_id
        record = self._client.tracker_of(holder)
        if record is None:
            return self._directory.begin(work.status, work.pending_tokens)
        work_id = f"{self._work_id_prefix}/{next(self._work_numbers):x}"
        began = WorkBegan(
            work_id,
            holder,
            work.salt,
            work.prompt.shared,
            work.pending_tokens,
            work.own_tokens,
            int(max(0.0, work.max_duration_s) * 1000),
        )
        self._client.notify_instance(record, began)
        if work.cache_target:
            sent = PartsSent(work.cache_target, work.salt, work.prompt.shared)
            self._client.notify(work.cache_target, sent)
        reporter = _TrackerReporter(self._client, record, work_id)
        return self._directory.begin(work.status, work.pending_tokens, reporter)

    def _query(
        self, scopes: Sequence[HolderScope], parts: tuple[PromptPart, ...] = ()
    ) -> list[TrackedLoad]:
        """Return the load of some holders as their trackers know it."""
        loads = self._client.query(scopes, parts)
        for load in loads:
            self._note_load(load)
        return loads

    def _sample(
        self, options: list[PlacementOption], count: int
    ) -> list[PlacementOption]:
        return self._draw.sample(options, min(count, len(options)))

    def _remove_gone(self) -> None:
        for incarnation_id in list(self._running_cache):
            if self._directory.status(incarnation_id) is None:
                del self._running_cache[incarnation_id]


class _TrackerReporter(InFlightRequestListener):
    """Reports the state changes of one request to its tracker."""

    def __init__(
        self, client: TrackerClient, record: InstanceRecord, work_id: str
    ) -> None:
        self._client = client
        self._record = record
        self._work_id = work_id

    def note_prefill_done(self) -> None:
        self._client.notify_instance(self._record, WorkPrefilled(self._work_id))

    def note_end(self) -> None:
        self._client.notify_instance(self._record, WorkEnded(self._work_id))


class TrackedView(WorkView):
    """The load data that trackers returned for one request.

    :param loads: the results.
    """

    def __init__(self, loads: Sequence[TrackedLoad]) -> None:
        self._loads = {(load.holder, load.salt): load for load in loads}
        self._by_holder = {load.holder: load for load in loads}

    def work_on(self, status: UpstreamStatus) -> OutstandingWork:
        load = self._by_holder.get(status.upstream.incarnation_id)
        if load is None:
            # No tracker replied: only this process's own requests are known.
            return OutstandingWork(status.running, status.pending_tokens)
        return OutstandingWork(load.running, load.pending_tokens, load.memory_tokens)

    def knows(self, status: UpstreamStatus) -> bool:
        return status.upstream.incarnation_id in self._by_holder

    def kept_s(self, holder: str) -> float:
        load = self._by_holder.get(holder)
        return load.kept_s if load is not None else float("inf")

    def holders(self, salt: str) -> PartHolders:
        return _TrackedHolders(
            {
                holder: load
                for (holder, load_salt), load in self._loads.items()
                if load_salt == salt
            }
        )


class _TrackedHolders(PartHolders):
    """The holders of a prompt's shared parts according to trackers."""

    def __init__(self, loads: Mapping[str, TrackedLoad]) -> None:
        self._loads = loads

    def held_tokens(self, holder: str) -> int:
        load = self._loads.get(holder)
        return load.held_tokens if load is not None else 0

    def settled_tokens(self, holder: str) -> int:
        load = self._loads.get(holder)
        return load.settled_tokens if load is not None else 0

    def held_anywhere_tokens(self) -> int:
        return max((load.held_tokens for load in self._loads.values()), default=0)

    def holders(self) -> set[str]:
        return {holder for holder, load in self._loads.items() if load.held_tokens}
