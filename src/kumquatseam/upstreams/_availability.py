"""Until when, and why, upstreams get no requests.

Everything that says "not there, until then" is kept here: cooldowns after failures,
pauses after refusals, loads of weights, limits without room, times of rest and planned
shutdowns.
"""

import abc
import enum
import math
import random
import time
from collections.abc import Callable

import attrs

#: seconds for which the routers' own interface does not choose what failed.
FAILURE_COOLDOWN_S = 1.0
#: upstreams that are remembered without being listed.
MAX_UNLISTED = 16_384
#: longest time of rest that is not tried: a longer one may be a mistake.
MAX_UNTRIED_S = 30.0
#: requests sent to an upstream within the time of rest that it asked for, to find out
#: whether it still wants it; it gets no more than these.
MAX_TRIALS = 2
#: for how long another instance is told that an upstream is leaving.
LEAVING_TOLD_S = 5.0
#: a time of rest is extended by up to this share, differently on each instance, so that
#: they do not all return at once.
REST_SPREAD = 0.2


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
    #: it asked for no requests for a time.
    RESTING = "resting"
    #: it is shutting down. Ends with its incarnation only: an entry of the list may be
    #: older than what the upstream said.
    LEAVING = "leaving"


#: reasons for which an upstream gets no requests at all. Requests to one whose limit
#: has no room are decided by the owners of the limit.
CLOSING_REASONS = (
    Unavailability.REFUSED,
    Unavailability.LOADING,
    Unavailability.RESTING,
    Unavailability.LEAVING,
)
#: reasons that an upstream stated itself; they hold whatever its entry says.
STATED_REASONS = (Unavailability.RESTING, Unavailability.LEAVING)


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
    """Is told what upstreams say of themselves in responses to calls."""

    @abc.abstractmethod
    def begin_call(self, incarnation_id: str, is_urgent: bool = False) -> bool:
        """Return whether an upstream may be called now; it is counted as called.

        :param is_urgent: whether the call cannot wait until the upstream has rested.
        """

    @abc.abstractmethod
    def note_availability(
        self, incarnation_id: str, notice: AvailabilityNotice
    ) -> None:
        """Handle a notice of an upstream."""

    @abc.abstractmethod
    def note_born(self, incarnation_id: str, born_ms: int, asked_s: float) -> None:
        """Handle what an upstream says of its start.

        :param incarnation_id: the incarnation that was called.
        :param born_ms: when it started; 0 if it does not say so.
        :param asked_s: when it was called, in monotonic time.
        """


class NullAvailabilityObserver(AvailabilityObserver):
    """Ignores notices."""

    def begin_call(self, incarnation_id: str, is_urgent: bool = False) -> bool:
        return True

    def note_availability(
        self, incarnation_id: str, notice: AvailabilityNotice
    ) -> None:
        pass

    def note_born(self, incarnation_id: str, born_ms: int, asked_s: float) -> None:
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
        self._rest_known_s = -math.inf
        self._trials = 0
        #: entries up to this sequence are older than the one that said that the
        #: upstream is shutting down, or than its removal from the list.
        self.withdrawn_at = -math.inf

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
        if not self._until_s:
            # As a rule, and asked for each upstream at each placement.
            return 0.0
        return max(0.0, self.until_s(*reasons) - self._clock())

    @property
    def stated_for_s(self) -> float:
        """For how long the upstream itself said that it wants no requests; 0 if not.

        A shutdown counts as a short time, so that others ask again.
        """
        is_leaving = self.left_s(Unavailability.LEAVING) > 0
        return max(
            self.left_s(Unavailability.RESTING), LEAVING_TOLD_S if is_leaving else 0.0
        )

    @property
    def is_closed(self) -> bool:
        """Whether the upstream gets no requests at all now."""
        return self.left_s(*CLOSING_REASONS) > 0

    @property
    def is_rest_asked(self) -> bool:
        """Whether the upstream asked for a time of rest that is not over."""
        return self._clock() < self._rest_asked_until_s

    def rest(self, asked_s: float) -> None:
        """Record that the upstream wants no requests for ``asked_s`` seconds.

        A long time is tried: after :data:`MAX_UNTRIED_S` one request is sent, and it
        ends the rest if it is served.
        """
        now_s = self._clock()
        if not self.is_rest_asked:
            self._trials = 0
        self._rest_known_s = now_s
        self._rest_asked_until_s = max(self._rest_asked_until_s, now_s + asked_s)
        self._close_for_rest()

    def note_sent(self) -> None:
        """Record that a request is sent; one within a time of rest is a trial."""
        if self.is_rest_asked:
            self._trials += 1
            self._close_for_rest()

    def begin_call(self, is_urgent: bool) -> bool:
        """Return whether a call that is no request may be sent now, and count it.

        :param is_urgent: whether it is sent within a time of rest, too, in place of a
            trial.
        """
        may_call_in_rest = is_urgent and self._trials < MAX_TRIALS
        if self.left_s(Unavailability.RESTING) and not may_call_in_rest:
            return False
        self.note_sent()
        return True

    def note_served(self, sent_s: float) -> None:
        """Record that a request was served, so that the upstream no longer rests.

        :param sent_s: when it was sent, by this object's clock. One sent before the
            upstream asked for rest says nothing.
        """
        if self.is_rest_asked and sent_s > self._rest_known_s:
            self._rest_asked_until_s = -math.inf
            self.end(Unavailability.RESTING)

    def _close_for_rest(self) -> None:
        for_s = self._rest_asked_until_s - self._clock()
        if self._trials < MAX_TRIALS:
            for_s = min(for_s, MAX_UNTRIED_S)
        spread = 1.0 + REST_SPREAD * random.random()
        self.extend(Unavailability.RESTING, for_s * spread)


class Availabilities:
    """The availability of upstreams, by incarnation.

    It outlives the entries of upstreams: an entry may be removed and written again.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._listed: dict[str, Availability] = {}
        #: of upstreams that are not listed, or not any more, the oldest first.
        self._unlisted: dict[str, Availability] = {}

    def __len__(self) -> int:
        return len(self._listed) + len(self._unlisted)

    def of(self, incarnation_id: str) -> Availability:
        """Return the availability of an incarnation of an upstream."""
        known = self._listed.get(incarnation_id) or self._unlisted.get(incarnation_id)
        return known or self._add_unlisted(incarnation_id, Availability(self._clock))

    def note_listed(self, incarnation_id: str) -> Availability:
        """Record that an upstream is listed; return its availability."""
        known = self._unlisted.pop(incarnation_id, None) or Availability(self._clock)
        return self._listed.setdefault(incarnation_id, known)

    def note_removed(self, incarnation_id: str) -> None:
        """Record that an upstream is not listed any more.

        What it said itself, and its withdrawal, are kept: a delayed entry or an older
        copy of the list may list it again.
        """
        known = self._listed.pop(incarnation_id, None)
        if known is None:
            return
        if known.withdrawn_at >= 0 or known.left_s(*STATED_REASONS):
            self._add_unlisted(incarnation_id, known)

    def _add_unlisted(
        self, incarnation_id: str, availability: Availability
    ) -> Availability:
        self._unlisted[incarnation_id] = availability
        if len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]
        return availability
