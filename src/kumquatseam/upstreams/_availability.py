"""Until when, and why, upstreams get no requests.

Everything that says "not there, until then" is kept here: cooldowns after failures,
pauses after refusals, loads of weights and limits without room.
"""

import abc
import enum
import math
import time
from collections.abc import Callable

import attrs

#: seconds for which the routers' own interface does not choose what failed.
FAILURE_COOLDOWN_S = 1.0
#: upstreams that are remembered after they were removed from the list.
MAX_REMOVED = 4096


class Unavailability(enum.Enum):
    """Why an upstream gets no requests."""

    #: connections or responses failed; it is used only if no other can serve.
    FAILED = "failed"
    #: it turned a request away.
    REFUSED = "refused"
    #: it loads weights.
    LOADING = "loading"
    #: the limit that it announced has no room.
    LIMITED = "limited"
    #: it is shutting down. Ends with its incarnation only: an entry of the list may be
    #: older than what the upstream said.
    LEAVING = "leaving"


#: reasons for which an upstream gets no requests at all. Requests to one whose limit
#: has no room are decided by the owners of the limit.
CLOSING_REASONS = (
    Unavailability.REFUSED,
    Unavailability.LOADING,
    Unavailability.LEAVING,
)
#: reasons that an upstream stated itself; they hold whatever its entry says.
STATED_REASONS = (Unavailability.LEAVING,)


@attrs.frozen
class AvailabilityNotice:
    """What a response says about further requests to its upstream.

    :param is_leaving: whether it is shutting down.
    :param rest_s: for how long it wants no requests from this machine; ``None`` if it
        says nothing of the kind.
    """

    is_leaving: bool = False
    rest_s: float | None = None


class AvailabilityObserver(abc.ABC):
    """Is told what responses say about further requests to upstreams."""

    @abc.abstractmethod
    def note_availability(
        self, incarnation_id: str, notice: AvailabilityNotice
    ) -> None:
        """Handle a notice of an upstream."""


class NullAvailabilityObserver(AvailabilityObserver):
    """Ignores notices."""

    def note_availability(
        self, incarnation_id: str, notice: AvailabilityNotice
    ) -> None:
        pass


class Availability:
    """Until when one incarnation of an upstream gets no requests.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._until_s: dict[Unavailability, float] = {}
        #: end of the time of rest that the upstream asked for.
        self._rest_asked_until_s = -math.inf

    def extend(self, reason: Unavailability, for_s: float) -> bool:
        """Record a reason that holds for ``for_s`` seconds, or longer if known so.

        :returns: whether it holds longer than known before.
        """
        until_s = self._clock() + for_s
        if until_s <= self._until_s.get(reason, -math.inf):
            return False
        self._until_s[reason] = until_s
        return True

    def set(self, reason: Unavailability, for_s: float) -> None:
        """Record a reason that holds for ``for_s`` seconds, whatever it did before."""
        self._until_s[reason] = self._clock() + for_s

    def end(self, reason: Unavailability) -> None:
        """Record that a reason no longer holds."""
        self._until_s.pop(reason, None)

    def until_s(self, *reasons: Unavailability) -> float:
        """Return when the last of some reasons ends; 0 if none was recorded."""
        return max((self._until_s.get(reason, 0.0) for reason in reasons), default=0.0)

    def left_s(self, *reasons: Unavailability) -> float:
        """Return how long any of some reasons still holds; 0 if none does."""
        return max(0.0, self.until_s(*reasons) - self._clock())

    @property
    def is_closed(self) -> bool:
        """Whether the upstream gets no requests at all now."""
        return self.left_s(*CLOSING_REASONS) > 0

    @property
    def is_rest_asked(self) -> bool:
        """Whether the upstream asked for a time of rest that is not over."""
        return self._clock() < self._rest_asked_until_s

    def rest(self, asked_s: float) -> None:
        """Record that the upstream wants no requests for ``asked_s`` seconds."""
        until_s = self._clock() + asked_s
        self._rest_asked_until_s = max(self._rest_asked_until_s, until_s)


class Availabilities:
    """The availability of upstreams, by incarnation.

    It outlives the entries of upstreams: an entry may be removed and written again.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_name: dict[str, Availability] = {}
        #: of upstreams that are not listed any more, the oldest first.
        self._removed: dict[str, Availability] = {}

    def of(self, incarnation_id: str) -> Availability:
        """Return the availability of an incarnation of an upstream."""
        known = self._by_name.get(incarnation_id)
        if known is None:
            removed = self._removed.pop(incarnation_id, None)
            known = removed or Availability(self._clock)
            self._by_name[incarnation_id] = known
        return known

    def note_removed(self, incarnation_id: str) -> None:
        """Record that an upstream is not listed any more.

        What it said itself is kept: a delayed entry may list it again.
        """
        known = self._by_name.pop(incarnation_id, None)
        if known is None or not known.left_s(*STATED_REASONS):
            return
        self._removed[incarnation_id] = known
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
