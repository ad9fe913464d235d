"""Placing requests by what trackers know."""

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
from kumquatseam.prompts import PartHolders, PromptChain
from kumquatseam.trackers._client import TrackerClient
from kumquatseam.trackers._messages import (
    PartsGiven,
    TrackedLoad,
    WorkBegan,
    WorkEnded,
    WorkRead,
)
from kumquatseam.upstreams import (
    InFlightRequest,
    OccupancyListener,
    UpstreamDirectory,
    UpstreamStatus,
)

#: upstreams compared by standing alone: the first ones of the prompt's order,
#: where its parts are if anyone has them.
STANDING_OPTIONS = 3
#: and drawn at random among those that stand as well as the best, and among all
#: others, so that a burst of one prompt finds room. With two drawn options the
#: longest queue grows with the logarithm of a logarithm of the upstreams.
DRAWN_ALIKE = 1
DRAWN_OTHERS = 1
#: further ones that are compared before a request is refused.
LAST_RESORT_OPTIONS = 16


class TrackedWork(WorkSource):
    """Asks the trackers of a few upstreams for each request.

    :param client: asks them.
    :param directory: this process's own requests.
    :param name: this instance.
    :param clock: monotonic clock in seconds.
    :param draw: draws upstreams.
    """

    def __init__(
        self,
        client: TrackerClient,
        directory: UpstreamDirectory,
        name: str,
        clock: Callable[[], float] = time.monotonic,
        draw: random.Random | None = None,
    ) -> None:
        self._client = client
        self._directory = directory
        self._clock = clock
        self._draw = draw or random.Random()
        # Works of an earlier life of this instance must not be taken for new.
        self._life = f"{name}/{self._draw.getrandbits(32):x}"
        self._numbers = itertools.count()
        self._running: dict[str, tuple[float, int]] = {}

    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        left = [o for o in options if o.incarnation_id not in already_compared]
        if already_compared:
            drawn = self._sample(left, LAST_RESORT_OPTIONS)
            return [attrs.evolve(o, rank=STANDING_OPTIONS) for o in drawn]
        self._draw.shuffle(left)
        left.sort(key=lambda option: option.static_cost_ms)
        chosen, rest = left[:STANDING_OPTIONS], left[STANDING_OPTIONS:]
        if rest:
            least_ms = chosen[0].penalty_ms
            alike = [option for option in rest if option.penalty_ms <= least_ms]
            drawn = self._sample(alike, DRAWN_ALIKE)
            others = [option for option in rest if option not in drawn]
            chosen += drawn + self._sample(others, DRAWN_OTHERS)
        # A place in this list counts, not one among all: beyond the first few,
        # no upstream is likelier than another to have the prompt's parts.
        return [
            attrs.evolve(option, rank=min(rank, STANDING_OPTIONS))
            for rank, option in enumerate(chosen)
        ]

    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        return TrackedView(self._client.ask(scopes, prompt.shared))

    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        oldest_s = self._clock() - max_age_s
        scopes = [
            HolderScope(incarnation_id, "")
            for incarnation_id in incarnation_ids
            if self._running.get(incarnation_id, (float("-inf"), 0))[0] <= oldest_s
        ]
        if scopes:
            loads = self._client.ask(scopes)
            now_s = self._clock()
            self._running.update({w.holder: (now_s, w.running) for w in loads})
        self._forget_gone()
        return {i: self._running[i][1] for i in incarnation_ids if i in self._running}

    def begin(self, work: RequestWork) -> InFlightRequest:
        holder = work.status.upstream.incarnation_id
        record = self._client.tracker_of(holder)
        if record is None:
            return self._directory.begin(work.status, work.pending_tokens)
        work_id = f"{self._life}/{next(self._numbers):x}"
        began = WorkBegan(
            work_id,
            holder,
            work.salt,
            work.prompt.shared,
            work.pending_tokens,
            work.own_tokens,
            int(max(0.0, work.max_duration_s) * 1000),
        )
        self._client.tell_instance(record, began)
        if work.cache_target:
            given = PartsGiven(work.cache_target, work.salt, work.prompt.shared)
            self._client.tell(work.cache_target, given)
        teller = _Teller(self._client, record, work_id)
        return self._directory.begin(work.status, work.pending_tokens, teller)

    def _sample(
        self, options: list[PlacementOption], count: int
    ) -> list[PlacementOption]:
        return self._draw.sample(options, min(count, len(options)))

    def _forget_gone(self) -> None:
        for incarnation_id in list(self._running):
            if self._directory.status(incarnation_id) is None:
                del self._running[incarnation_id]


class _Teller(OccupancyListener):
    """Tells the tracker of one request how it goes on."""

    def __init__(
        self, client: TrackerClient, record: InstanceRecord, work_id: str
    ) -> None:
        self._client = client
        self._record = record
        self._work_id = work_id

    def note_read(self) -> None:
        self._client.tell_instance(self._record, WorkRead(self._work_id))

    def note_end(self) -> None:
        self._client.tell_instance(self._record, WorkEnded(self._work_id))


class TrackedView(WorkView):
    """What trackers answered for one request.

    :param loads: their answers.
    """

    def __init__(self, loads: Sequence[TrackedLoad]) -> None:
        self._loads = {(load.holder, load.salt): load for load in loads}
        self._by_holder = {load.holder: load for load in loads}

    def work_on(self, status: UpstreamStatus) -> OutstandingWork:
        load = self._by_holder.get(status.upstream.incarnation_id)
        if load is None:
            # Nobody says; what this process has there is all that is known.
            return OutstandingWork(status.running, status.pending_tokens)
        return OutstandingWork(load.running, load.pending_tokens, load.memory_tokens)

    def kept_s(self, holder: str) -> float:
        load = self._by_holder.get(holder)
        return load.kept_s if load is not None else float("inf")

    def holders(self, salt: str) -> PartHolders:
        return _TrackedHolders(
            {
                holder: load
                for (holder, found), load in self._loads.items()
                if found == salt
            }
        )


class _TrackedHolders(PartHolders):
    """Who holds how much of a prompt, as trackers say."""

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


class FleetSizeSwitch(WorkSource):
    """Chooses between two sources by the size of the fleet.

    :param is_small: whether everyone is told everything.
    :param direct: for small fleets.
    :param tracked: for large ones.
    """

    def __init__(
        self, is_small: Callable[[], bool], direct: WorkSource, tracked: WorkSource
    ) -> None:
        self._is_small = is_small
        self._direct = direct
        self._tracked = tracked

    @property
    def _current(self) -> WorkSource:
        return self._direct if self._is_small() else self._tracked

    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        return self._current.shortlist(options, already_compared)

    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        return self._current.view(prompt, scopes)

    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        return self._current.running_on(incarnation_ids, max_age_s)

    def begin(self, work: RequestWork) -> InFlightRequest:
        return self._current.begin(work)
