"""Until when, and why, upstreams get no requests.

Everything that says "not there, until then" is kept here: cooldowns after failures,
pauses after refusals, loads of weights and limits without room.
"""

import enum
import math
import time
from collections.abc import Callable

#: seconds for which the routers' own interface does not choose what failed.
FAILURE_COOLDOWN_S = 1.0
#: upstreams that are remembered; those that ended are forgotten first.
MAX_KEPT = 4096


class Reason(enum.Enum):
    """Why an upstream gets no requests."""

    #: connections or responses failed; it is used only if no other can serve.
    FAILED = "failed"
    #: it turned a request away.
    REFUSED = "refused"
    #: it loads weights.
    LOADING = "loading"
    #: the limit that it announced has no room.
    LIMITED = "limited"


#: reasons for which an upstream gets no requests at all. Requests to one whose limit
#: has no room are decided by the owners of the limit.
CLOSING_REASONS = (Reason.REFUSED, Reason.LOADING)


class Availability:
    """Until when one incarnation of an upstream gets no requests.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._until_s: dict[Reason, float] = {}

    def extend(self, reason: Reason, for_s: float) -> bool:
        """Record a reason that holds for ``for_s`` seconds, or longer if known so.

        :returns: whether it holds longer than known before.
        """
        until_s = self._clock() + for_s
        if until_s <= self._until_s.get(reason, -math.inf):
            return False
        self._until_s[reason] = until_s
        return True

    def set(self, reason: Reason, for_s: float) -> None:
        """Record a reason that holds for ``for_s`` seconds, whatever it did before."""
        self._until_s[reason] = self._clock() + for_s

    def end(self, reason: Reason) -> None:
        """Record that a reason no longer holds."""
        self._until_s.pop(reason, None)

    def until_s(self, *reasons: Reason) -> float:
        """Return when the last of some reasons ends; 0 if none was recorded."""
        return max((self._until_s.get(reason, 0.0) for reason in reasons), default=0.0)

    def left_s(self, *reasons: Reason) -> float:
        """Return how long any of some reasons still holds; 0 if none does."""
        return max(0.0, self.until_s(*reasons) - self._clock())

    @property
    def is_closed(self) -> bool:
        """Whether the upstream gets no requests at all now."""
        return self.left_s(*CLOSING_REASONS) > 0


class Availabilities:
    """The availability of upstreams, by incarnation.

    It outlives the entries of upstreams: an entry may be removed and written again.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_name: dict[str, Availability] = {}

    def of(self, incarnation_id: str) -> Availability:
        """Return the availability of an incarnation of an upstream."""
        known = self._by_name.get(incarnation_id)
        if known is None:
            known = self._by_name[incarnation_id] = Availability(self._clock)
            if len(self._by_name) > MAX_KEPT:
                # The oldest: entries are in the order in which they were made.
                del self._by_name[next(iter(self._by_name))]
        return known
