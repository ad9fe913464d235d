"""Engines whose runs move away before they are ordered to load.

An engine that was ordered to load may discard the memory of its runs as soon as none
is at work, and refuses whatever has not begun. So runs are moved before the order:
until then their engine can take back what no other engine goes on with.
"""

import enum
import time
from collections.abc import Callable, Collection, Mapping

import attrs

from kumquatseam.upstreams import WeightsVersion

#: how long runs are moved off an engine at most; what is left then ends there, after
#: the order.
MAX_DRAIN_S = 0.8
#: time between the notice that no more runs move and the order, while some are left: a
#: run that is on its way arrives meanwhile, or its source takes it back.
SETTLE_S = 1.0


class DrainPhase(enum.Enum):
    """What happens to an engine that is to load."""

    #: its runs move to other engines.
    MOVING = "moving"
    #: no more runs move; those on their way arrive.
    SETTLING = "settling"
    #: it can be ordered to load.
    DONE = "done"


@attrs.define
class _Drain:
    """One engine that drains.

    :param weights: what it is to load.
    :param since_s: when it began to.
    :param moved_s: when runs may have moved off or to it last.
    """

    weights: WeightsVersion
    since_s: float
    moved_s: float


class Drains:
    """The engines of all models that drain.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._drains: dict[str, _Drain] = {}

    def __len__(self) -> int:
        return len(self._drains)

    def clear(self) -> None:
        """Forget all, since another instance decides."""
        self._drains.clear()

    def has(self, incarnation_id: str) -> bool:
        """Return whether an engine drains."""
        return incarnation_id in self._drains

    def begin(self, weights: WeightsVersion, incarnation_id: str) -> None:
        """Let an engine drain before it is ordered to load ``weights``."""
        now_s = self._clock()
        self._drains.setdefault(incarnation_id, _Drain(weights, now_s, now_s))

    def end(self, incarnation_id: str) -> None:
        """Record that an engine drains no longer."""
        self._drains.pop(incarnation_id, None)

    def phases(
        self,
        model: str,
        running: Mapping[str, float],
        movable: Collection[str],
    ) -> dict[str, DrainPhase]:
        """Return the phase of each engine of a model that drains.

        Engines that ended, or have loaded, are forgotten.

        :param running: requests on the engines that can be ordered.
        :param movable: the engines whose runs others take over, and in time.
        """
        found = {}
        for incarnation_id, drain in list(self._drains.items()):
            if drain.weights.model != model:
                continue
            if incarnation_id not in running:
                del self._drains[incarnation_id]
                continue
            found[incarnation_id] = self._phase(
                drain, running[incarnation_id], incarnation_id in movable
            )
        return found

    def _phase(self, drain: _Drain, running: float, can_move: bool) -> DrainPhase:
        now_s = self._clock()
        if running <= 0:
            return DrainPhase.DONE
        if can_move and now_s - drain.since_s < MAX_DRAIN_S:
            drain.moved_s = now_s
            return DrainPhase.MOVING
        if now_s - drain.moved_s < SETTLE_S:
            return DrainPhase.SETTLING
        return DrainPhase.DONE
