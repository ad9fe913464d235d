"""Deciding which engines load new weights now, and where their runs move.

An engine finishes its runs before it loads, and streams last for seconds. So runs of
the engines that load move to other engines with the same weights. The last engines
have no such destination: they receive no new requests and load when their runs have
ended. New requests go to the engines that already run the new weights.
"""

import collections
import math
from collections.abc import Sequence

import attrs

#: maximum share of a model's engines that load at the same time: the others keep
#: serving, and each load takes longer the more engines load.
LOADING_SHARE = 0.4
#: share of its slots up to which an engine accepts moved runs.
MOVED_RUNS_FILL_SHARE = 0.85
#: an engine loads at the latest this long after its weights were replaced, even if it
#: still has runs, or after this share of the time allowed for all engines.
FORCE_AFTER_S = 4.0
FORCE_SHARE = 0.4
#: share of the engines that have to be ready before the others may wait for their
#: runs to end: enough engines to serve the usual load.
READY_SHARE = 0.5
#: an engine with at most this many runs counts as drained: a run that just ended is
#: still counted until the instances have exchanged their loads.
DRAINED_RUNS = 1


@attrs.frozen
class EngineState:
    """The state of an engine as known to the holder of the lease.

    :param incarnation_id: identifies the engine.
    :param version: the weights it runs; ``None`` if unknown.
    :param has_target: whether it runs the target version, or a newer one.
    :param is_loading: whether it was ordered to load the target and has not finished.
    :param running: requests on it, as far as known.
    :param slots: how many requests it can run concurrently.
    :param availability_zone: its zone; runs move faster within one zone.
    :param is_reachable: whether it answers; one that does not is left out of the plan.
    :param may_be_ordered: whether no backoff after a refusal is in effect for it.
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
    """Which engines load, drain and receive runs now.

    :param order_now: engines to order now.
    :param closing: engines that get new requests only if no other engine can take them.
    :param destinations: engines to which the runs of those that load move.
    :param in_place: those of ``order_now`` that load without finishing their runs.
    """

    order_now: tuple[str, ...] = ()
    closing: tuple[str, ...] = ()
    destinations: tuple[str, ...] = ()
    in_place: tuple[str, ...] = ()


def loading_limit(engines: int) -> int:
    """Return how many of ``engines`` may load at the same time."""
    return max(1, int(engines * LOADING_SHARE))


@attrs.frozen
class RolloutBounds:
    """Time limits of a rollout, counted from when operators named the weights.

    :param begin_s: how long requests may still start on the replaced weights.
    :param complete_s: how long until every engine has to run the new ones.
    """

    begin_s: float = math.inf
    complete_s: float = math.inf

    @property
    def force_after_s(self) -> float:
        """How long an engine may continue its runs before it has to load."""
        return min(FORCE_AFTER_S, self.complete_s * FORCE_SHARE)


def plan_loads(
    engines: Sequence[EngineState],
    bounds: RolloutBounds,
    backoff_limit: int | None = None,
    order_duration_s: float = 0.0,
) -> LoadPlan:
    """Return the plan for the engines of one model.

    Each engine's time counts from when its own weights were replaced, and engines on
    the oldest weights come first: if new weights are named repeatedly, the time since
    the newest naming does not show how far the slowest engines lag.

    :param bounds: time limits of the rollout.
    :param backoff_limit: how many engines may load at the same time until the weights
        are known to load, after failed attempts; ``None`` for no such limit.
    :param order_duration_s: how long orders take at present, from sending to the end
        of the load; mostly waiting for runs to end.
    """
    limit = loading_limit(len(engines)) if backoff_limit is None else backoff_limit
    if limit == 0:
        return LoadPlan()
    engines = [engine for engine in engines if engine.is_reachable]
    old = [e for e in engines if not e.has_target and not e.is_loading]
    orderable = sorted((e for e in old if e.may_be_ordered), key=_load_priority)
    destinations = _destinations(engines)
    ready = sum(1 for e in engines if e.has_target)
    ready_to_load = [
        e
        for e in orderable
        if e.running <= DRAINED_RUNS
        or e.replaced_s > bounds.force_after_s
        or e not in destinations
    ]
    loading = sum(1 for e in engines if e.is_loading)
    if not ready_to_load and not loading and ready < len(engines) * READY_SHARE:
        # No engine has room for moved runs, but the rollout has to progress.
        ready_to_load = orderable[:1]
    now = ready_to_load[: max(0, limit - loading)]
    if backoff_limit is None:
        # No request may start on these, so the limit would keep no engine in service.
        now += [
            e for e in orderable if _is_past_begin_bound(e, bounds) and e not in now
        ]
    return LoadPlan(
        tuple(e.incarnation_id for e in now),
        tuple(e.incarnation_id for e in _lagging(engines, old) if e not in now),
        tuple(e.incarnation_id for e in destinations if e not in now),
        tuple(
            e.incarnation_id
            for e in now
            if loads_in_place(
                e, [m for m in engines if m not in now], bounds, order_duration_s
            )
        ),
    )


def loads_in_place(
    engine: EngineState,
    others: Sequence[EngineState],
    bounds: RolloutBounds,
    order_duration_s: float,
) -> bool:
    """Return whether an engine has to load without finishing its runs.

    :param others: the engines that stay in service.
    :param order_duration_s: how long orders take at present.
    """
    if engine.running <= DRAINED_RUNS:
        return False
    is_late = bounds.complete_s < engine.replaced_s + order_duration_s < math.inf
    return is_late or _is_stuck(engine, others, bounds)


def _is_stuck(
    engine: EngineState, others: Sequence[EngineState], bounds: RolloutBounds
) -> bool:
    """Return whether an overdue engine has runs that neither end nor can be moved.

    It has received no new requests for a while and is still full, so waiting for its
    runs would keep it out of service for much longer than runs usually last.
    """
    is_full = engine.running > engine.slots * MOVED_RUNS_FILL_SHARE
    if not is_full or engine.replaced_s <= bounds.force_after_s:
        return False
    room = sum(
        max(0.0, other.slots * MOVED_RUNS_FILL_SHARE - other.running)
        for other in others
        if other.version == engine.version and not other.is_loading
    )
    return room < engine.running


def _load_priority(engine: EngineState) -> tuple[int, float, str]:
    """Return the sort key of engines to load: oldest weights, then fewest runs."""
    return engine.version or 0, engine.running, engine.incarnation_id


def _is_past_begin_bound(engine: EngineState, bounds: RolloutBounds) -> bool:
    """Return whether requests may no longer start on an engine's weights."""
    return bounds.begin_s < engine.replaced_s < math.inf


def _lagging(
    engines: Sequence[EngineState], old: Sequence[EngineState]
) -> list[EngineState]:
    """Return the old engines whose weights are older than those of serving ones."""
    newest = max((e.version or 0 for e in engines if not e.is_loading), default=0)
    return [e for e in old if (e.version or 0) < newest]


def _destinations(engines: Sequence[EngineState]) -> list[EngineState]:
    """Return the engines of each old version that load last and receive its runs.

    Runs move only to these, so that no run has to move twice. They are the engines
    with the most runs, as few as provide the slots needed, and cover every
    availability zone that has runs, since a move between two zones takes twice as
    long.
    """
    destinations: list[EngineState] = []
    for version in {e.version for e in engines if not e.has_target}:
        group = [e for e in engines if e.version == version and not e.has_target]
        runs = sum(e.running for e in group)
        zones = {e.availability_zone for e in group if e.running > DRAINED_RUNS}
        slots = 0.0
        for engine in _round_robin_zones([e for e in group if not e.is_loading]):
            if slots and slots >= runs and not zones:
                break
            zones.discard(engine.availability_zone)
            destinations.append(engine)
            slots += engine.slots * MOVED_RUNS_FILL_SHARE
    return destinations


def _round_robin_zones(engines: Sequence[EngineState]) -> list[EngineState]:
    """Return engines round-robin over the zones, those with the most runs first."""
    ordered = sorted(
        engines, key=lambda engine: (-engine.running, engine.incarnation_id)
    )
    zone_counts: collections.Counter[str] = collections.Counter()
    ranked = []
    for engine in ordered:
        ranked.append((zone_counts[engine.availability_zone], engine))
        zone_counts[engine.availability_zone] += 1
    return [engine for _, engine in sorted(ranked, key=lambda item: item[0])]
