"""Which engines load new weights now, and which next."""

from collections.abc import Sequence

import attrs

#: share of a model's engines that load at once: above three of nine, or 28 of
#: 70, each load takes longer (the users' sheets).
LOADING_SHARE = 0.4


@attrs.frozen
class EngineState:
    """An engine as the holder of the duty sees it.

    :param upstream_id: its id.
    :param has_target: it runs the weights that are to be in force.
    :param is_loading: it was ordered to them and has not finished.
    :param running: requests on it, as far as known.
    """

    upstream_id: str
    has_target: bool
    is_loading: bool
    running: float


@attrs.frozen
class LoadPlan:
    """What is due.

    :param order_now: engines to order now.
    :param close_next: engines that load in the next wave; new work goes to
        others, so that their requests have ended when their turn comes.
    """

    order_now: tuple[str, ...] = ()
    close_next: tuple[str, ...] = ()


def max_loading(engines: int) -> int:
    """Return how many of ``engines`` may load at once."""
    return max(1, int(engines * LOADING_SHARE))


def plan_loads(engines: Sequence[EngineState]) -> LoadPlan:
    """Return what is due for the engines of one model.

    Engines with the least work load first: the fewest requests wait for them,
    and an order lets them finish what they run.
    """
    waiting = [e for e in engines if not e.has_target and not e.is_loading]
    waiting.sort(key=lambda engine: (engine.running, engine.upstream_id))
    loading = sum(1 for e in engines if e.is_loading)
    room = max(0, max_loading(len(engines)) - loading)
    now, rest = waiting[:room], waiting[room:]
    ready = sum(1 for e in engines if e.has_target)
    closing = rest if ready else []
    return LoadPlan(
        tuple(e.upstream_id for e in now), tuple(e.upstream_id for e in closing)
    )
