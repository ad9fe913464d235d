"""The request limits that upstreams announce in their responses."""

import math
from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger

_log = part_logger("limits")

#: the rate of an upstream that announces no limit.
NO_LIMIT_PER_S = math.inf


@attrs.frozen
class LimitObservation:
    """What a response says about the limit of the upstream that sent it.

    The upstream stated it at some moment between the two times.

    :param rate_per_s: requests a second that it accepts from all instances together;
        :data:`NO_LIMIT_PER_S` if it announces no limit.
    :param sent_s: when the request was sent.
    :param received_s: when the head of the response arrived.
    """

    rate_per_s: float = NO_LIMIT_PER_S
    sent_s: float = -math.inf
    received_s: float = -math.inf

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s < NO_LIMIT_PER_S

    def merge(self, other: "LimitObservation") -> "LimitObservation":
        """Return which of two observations is the newer one.

        Responses overtake each other. If the order of the two is unknown, the lower
        limit applies: a limit is lifted only by the response to a request that was
        sent after the last response with the limit had arrived.
        """
        if other.rate_per_s == self.rate_per_s:
            sent_s = max(self.sent_s, other.sent_s)
            received_s = max(self.received_s, other.received_s)
            return LimitObservation(self.rate_per_s, sent_s, received_s)
        if other.rate_per_s < self.rate_per_s:
            is_outdated = other.received_s < self.sent_s
            return self if is_outdated else other
        return other if other.sent_s >= self.received_s else self


class AnnouncedLimits:
    """The newest observation of the limit of each upstream, by incarnation.

    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_s) -> None:
        self._clock = clock
        self._newest: dict[str, LimitObservation] = {}
        #: requests that this instance sent to upstreams with a limit.
        self.sent = 0

    def count_limited(self) -> int:
        """Return the number of upstreams with a limit."""
        return sum(observed.is_limited for observed in self._newest.values())

    def of(self, incarnation_id: str) -> LimitObservation:
        """Return the newest observation of an upstream's limit."""
        return self._newest.get(incarnation_id, LimitObservation())

    def age_s(self, incarnation_id: str) -> float:
        """Return the time since an upstream's limit was last announced."""
        return self._clock() - self.of(incarnation_id).received_s

    def note_sent(self, incarnation_id: str) -> None:
        """Count a request that is sent to an upstream."""
        self.sent += self.of(incarnation_id).is_limited

    def observe(self, incarnation_id: str, rate_per_s: float, sent_s: float) -> None:
        """Record what a response says that arrives now.

        :param rate_per_s: the limit, or :data:`NO_LIMIT_PER_S`.
        :param sent_s: when the request was sent, by this object's clock.
        """
        observed = LimitObservation(rate_per_s, sent_s, self._clock())
        self.merge(incarnation_id, observed, "response")

    def merge(
        self, incarnation_id: str, observed: LimitObservation, source: str
    ) -> None:
        """Record an observation of this or another instance.

        :param source: where it is from, for the log.
        """
        known = self.of(incarnation_id)
        if not known.is_limited and not observed.is_limited:
            # Upstreams that never announced a limit take no memory.
            return
        newest = known.merge(observed)
        self._newest[incarnation_id] = newest
        if newest.rate_per_s != known.rate_per_s:
            _log.bind(
                upstream=incarnation_id,
                rate_per_s=newest.rate_per_s if newest.is_limited else None,
                before_per_s=known.rate_per_s if known.is_limited else None,
                source=source,
                age_s=round(self._clock() - newest.received_s, 3),
            ).info("Limit of an upstream changed.")

    def forget(self, incarnation_id: str) -> None:
        """Drop what is known of an upstream that ended."""
        self._newest.pop(incarnation_id, None)
