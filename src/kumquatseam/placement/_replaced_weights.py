"""How long requests may still start on model weights that have been replaced."""

import math

import attrs

from kumquatseam.upstreams import UNKNOWN_AGE_S, WeightsTargets

#: reserved for closing the connection of a waiting request: the network delay to
#: its engine, and other requests that this instance handles first.
CONNECTION_CLOSE_S = 0.1
#: largest share of the grace period reserved for propagation delay.
MAX_PROPAGATION_SHARE = 0.5


@attrs.frozen
class ReplacedWeightsGrace:
    """The users' grace period for replaced weights, and the margin within it.

    :param grace_s: how long after new weights are named a request may start on the
        weights they replace.
    :param propagation_s: longest delay until an instance learns of new weights.
    """

    grace_s: float = 8.0
    propagation_s: float = 1.2

    @property
    def local_grace_s(self) -> float:
        """The grace period counted from when this instance learns of new weights."""
        propagation_s = min(self.propagation_s, self.grace_s * MAX_PROPAGATION_SHARE)
        return self.grace_s - propagation_s - CONNECTION_CLOSE_S


@attrs.frozen
class ReplacedWeightsDeadline:
    """Remaining time in which requests may start on a version of a model's weights.

    :param targets: the newest weights named for each model.
    :param grace: the grace period for replaced weights.
    """

    _targets: WeightsTargets
    _grace: ReplacedWeightsGrace

    def remaining_s(self, model: str, version: int) -> float:
        """Return the remaining time in which a request may start on ``version``.

        :returns: infinity if the version is not replaced; a negative time if the
            grace period is over or it is unknown when the version was replaced.
        """
        replaced_s = self._targets.replaced_age_s(model, version)
        if replaced_s <= 0.0:
            return math.inf
        return self._grace.local_grace_s - replaced_s

    def remaining_after_send_s(self, model: str, version: int) -> float:
        """Return the remaining time for a request that was already sent.

        Where it is unknown when the weights were replaced, the time is infinite,
        since placement has already accepted these weights for the request.
        """
        if self._targets.replaced_age_s(model, version) == UNKNOWN_AGE_S:
            return math.inf
        return self.remaining_s(model, version)

    def guaranteed_s(self, model: str, version: int) -> float:
        """Return the remaining time even if new weights are named right now."""
        return min(
            self._grace.local_grace_s, self.remaining_after_send_s(model, version)
        )
