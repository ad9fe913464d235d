"""Which engines load new weights now, and where their runs go.

An engine finishes its runs before it loads, and streams last for seconds. So
the engines that load hand their runs over to others of the same weights, and
the last ones, which have nowhere to hand them, get no new work and load when
their runs have ended. New work goes to the engines that are ready.
"""

import collections
import math
from collections.abc import Sequence

import attrs

#: share of a model's engines that load at once: the others serve meanwhile, and
#: where many load, each load takes longer.
LOADING_SHARE = 0.4
#: share of its slots that an engine may fill with runs taken over.
TAKE_OVER_SHARE = 0.85
#: an engine loads at the latest this long after its weights were replaced, whatever
#: it still runs, or after this share of the time allowed for all.
FORCE_AFTER_S = 4.0
FORCE_SHARE = 0.4
#: share of the engines that have to be ready before the others may wait for
#: their runs to end: as many as carry the usual load.
READY_SHARE = 0.5
#: runs that the last engines may still have when they are ordered to load: a
#: run that just ended is counted for as long as loads take to be shared.
DRAINED_RUNS = 1


@attrs.frozen
class EngineState:
    """An engine as the holder of the duty sees it.

    :param incarnation_id: names it.
    :param version: the weights it runs; ``None`` if unknown.
    :param has_target: they are the ones that are to be in force.
    :param is_loading: it was ordered to them and has not finished.
    :param running: requests on it, as far as known.
    :param slots: requests it runs at once.
    :param availability_zone: where it is; runs move faster within one.
    :param is_reachable: whether it answers; one that does not takes no place
        among those that load.
    :param may_be_ordered: whether it did not just refuse to.
    :param replaced_s: how long ago its weights were replaced; 0 if they were not.
    """

    incarnation_id: str
    version: int | None
    has_target: bool
    is_loading: bool
    running: float
    slots: int
    availability_zone: str = ""
    is_reachable: bool = True
    may_be_ordered: bool = True
    replaced_s: float = 0.0


@attrs.frozen
class LoadPlan:
    """What is due.

    :param order_now: engines to order now.
    :param closing: engines that get no new work if others can take it.
    :param destinations: engines that take over the runs of those that load.
    :param at_once: those of ``order_now`` that cannot wait until their runs end.
    """

    order_now: tuple[str, ...] = ()
    closing: tuple[str, ...] = ()
    destinations: tuple[str, ...] = ()
    at_once: tuple[str, ...] = ()


def max_loading(engines: int) -> int:
    """Return how many of ``engines`` may load at once."""
    return max(1, int(engines * LOADING_SHARE))


@attrs.frozen
class RolloutBounds:
    """What is allowed after weights were named.

    :param begin_s: how long requests may begin on the weights replaced.
    :param complete_s: how long until every engine has to run the new ones.
    """

    begin_s: float = math.inf
    complete_s: float = math.inf

    @property
    def force_after_s(self) -> float:
        """How long an engine may go on with its runs."""
        return min(FORCE_AFTER_S, self.complete_s * FORCE_SHARE)


def plan_loads(
    engines: Sequence[EngineState],
    bounds: RolloutBounds,
    most_loading: int | None = None,
    order_takes_s: float = 0.0,
) -> LoadPlan:
    """Return what is due for the engines of one model.

    Each engine's time counts from when its own weights were replaced, and those on
    the oldest weights come first: while weights are named again and again, the time
    since the newest naming says nothing of the engines that lag most.

    :param bounds: what is allowed after a naming.
    :param most_loading: how many may load at once while it is not known whether
        the weights load at all.
    :param order_takes_s: how long orders take now, from the order to the end of the
        load; most of it is for runs to end.
    """
    limit = max_loading(len(engines)) if most_loading is None else most_loading
    if limit == 0:
        return LoadPlan()
    engines = [engine for engine in engines if engine.is_reachable]
    old = [e for e in engines if not e.has_target and not e.is_loading]
    orderable = sorted((e for e in old if e.may_be_ordered), key=_urgency)
    keepers = _keepers(engines)
    ready = sum(1 for e in engines if e.has_target)
    ready_to_load = [
        e
        for e in orderable
        if e.running <= DRAINED_RUNS
        or e.replaced_s > bounds.force_after_s
        or e not in keepers
    ]
    loading = sum(1 for e in engines if e.is_loading)
    if not ready_to_load and not loading and ready < len(engines) * READY_SHARE:
        # Nobody has room for another's runs; the weights have to get on anyway.
        ready_to_load = orderable[:1]
    now = ready_to_load[: max(0, limit - loading)]
    if most_loading is None:
        # Nothing may begin on these, so the limit keeps no engine for callers.
        now += [e for e in orderable if _is_useless(e, bounds) and e not in now]
    return LoadPlan(
        tuple(e.incarnation_id for e in now),
        tuple(e.incarnation_id for e in _lagging(engines, old) if e not in now),
        tuple(e.incarnation_id for e in keepers if e not in now),
        tuple(
            e.incarnation_id
            for e in now
            if e.running > DRAINED_RUNS
            and (
                bounds.complete_s < e.replaced_s + order_takes_s < math.inf
                or _is_stuck(e, [m for m in engines if m not in now], bounds)
            )
        ),
    )


def _is_stuck(
    engine: EngineState, others: Sequence[EngineState], bounds: RolloutBounds
) -> bool:
    """Return whether an engine's time is up, and its runs neither end nor can move.

    It got no new work for a while and is full all the same, so its runs would keep
    it out of service for much longer than runs usually last.
    """
    is_full = engine.running > engine.slots * TAKE_OVER_SHARE
    if not is_full or engine.replaced_s <= bounds.force_after_s:
        return False
    room = sum(
        max(0.0, other.slots * TAKE_OVER_SHARE - other.running)
        for other in others
        if other.version == engine.version and not other.is_loading
    )
    return room < engine.running


def _urgency(engine: EngineState) -> tuple[int, float, str]:
    """Return what engines to load are ordered by."""
    return engine.version or 0, engine.running, engine.incarnation_id


def _is_useless(engine: EngineState, bounds: RolloutBounds) -> bool:
    """Return whether no request may begin on an engine's weights any more."""
    return bounds.begin_s < engine.replaced_s < math.inf


def _lagging(
    engines: Sequence[EngineState], old: Sequence[EngineState]
) -> list[EngineState]:
    """Return the old engines while others have newer weights and take work."""
    newest = max((e.version or 0 for e in engines if not e.is_loading), default=0)
    return [e for e in old if (e.version or 0) < newest]


def _keepers(engines: Sequence[EngineState]) -> list[EngineState]:
    """Return the engines of each old version that keep its runs to the end.

    Runs move to these alone, so that none has to move twice. They are the
    engines with the most runs, as few as have the slots, and in as many
    availability zones as there are runs, since a move between two zones takes
    twice as long.
    """
    keepers: list[EngineState] = []
    for version in {e.version for e in engines if not e.has_target}:
        group = [e for e in engines if e.version == version and not e.has_target]
        runs = sum(e.running for e in group)
        zones = {e.availability_zone for e in group if e.running > DRAINED_RUNS}
        slots = 0.0
        for engine in _zones_in_turn([e for e in group if not e.is_loading]):
            if slots and slots >= runs and not zones:
                break
            zones.discard(engine.availability_zone)
            keepers.append(engine)
            slots += engine.slots * TAKE_OVER_SHARE
    return keepers


def _zones_in_turn(engines: Sequence[EngineState]) -> list[EngineState]:
    """Return engines with the most runs first, each zone in its turn."""
    ordered = sorted(
        engines, key=lambda engine: (-engine.running, engine.incarnation_id)
    )
    turns: collections.Counter[str] = collections.Counter()
    placed = []
    for engine in ordered:
        placed.append((turns[engine.availability_zone], engine))
        turns[engine.availability_zone] += 1
    return [engine for _, engine in sorted(placed, key=lambda item: item[0])]
