"""How long requests may begin on weights that were replaced."""

import math

import attrs

from kumquatseam.upstreams import UNKNOWN_AGE_S, WeightsTargets

#: kept back for closing the connection of a request that waits: the way to its
#: engine, and other requests of this instance that are served first.
CLOSE_S = 0.1
#: largest share of the bound that is kept back for late news.
MAX_NOTICE_SHARE = 0.5


@attrs.frozen
class ReplacedWeightsGrace:
    """The users' bound, and what an instance keeps back of it.

    :param begin_s: how long after a naming a request may begin on replaced weights.
    :param notice_s: how late an instance may learn of a naming.
    """

    begin_s: float = 8.0
    notice_s: float = 1.2

    @property
    def known_s(self) -> float:
        """How long after an instance learnt of a naming requests may begin."""
        notice_s = min(self.notice_s, self.begin_s * MAX_NOTICE_SHARE)
        return self.begin_s - notice_s - CLOSE_S


@attrs.frozen
class BeginLimit:
    """How much longer requests may begin on some weights.

    :param targets: the weights that are to be in force.
    :param bound: how long requests may begin on replaced weights.
    """

    _targets: WeightsTargets
    _bound: ReplacedWeightsGrace

    def left_s(self, model: str, version: int) -> float:
        """Return how much longer a request may begin on ``version``.

        :returns: infinity if it is not replaced; a negative time if no longer, or
            if nobody knows since when.
        """
        replaced_s = self._targets.replaced_age_s(model, version)
        if replaced_s <= 0.0:
            return math.inf
        return self._bound.known_s - replaced_s

    def sent_left_s(self, model: str, version: int) -> float:
        """Return the same for a request that was sent to an engine.

        Where nobody knows since when its weights are replaced, it may begin: it was
        sent all the same.
        """
        if self._targets.replaced_age_s(model, version) == UNKNOWN_AGE_S:
            return math.inf
        return self.left_s(model, version)

    def sure_s(self, model: str, version: int) -> float:
        """Return for how long at least it may begin, whatever is named meanwhile."""
        return min(self._bound.known_s, self.sent_left_s(model, version))
