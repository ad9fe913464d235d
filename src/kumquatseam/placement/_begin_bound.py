"""How long requests may begin on weights that were replaced."""

import math

import attrs


@attrs.frozen
class BeginBound:
    """The users' bound, and what an instance keeps back of it.

    :param begin_s: how long after a naming a request may begin on replaced weights.
    :param notice_s: how late an instance may learn of a naming.
    """

    begin_s: float = 8.0
    notice_s: float = 1.2

    def left_s(self, replaced_s: float) -> float:
        """Return how much longer requests may begin; negative if no longer.

        :param replaced_s: how long this instance has known newer weights; 0 if
            there are none.
        """
        if replaced_s <= 0.0:
            return math.inf
        return self.begin_s - self.notice_s - replaced_s
