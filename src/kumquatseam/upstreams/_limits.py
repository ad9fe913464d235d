"""The request limits that upstreams announce in their responses."""

import abc
import math
from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger

_log = part_logger("limits")

#: the rate of an upstream that announces no limit.
NO_LIMIT_PER_S = math.inf
#: upstreams whose limits are kept; the oldest observation is dropped first. Other
#: instances may report limits of upstreams that are not listed here yet.
MAX_KEPT = 4096


def parse_limit(text: str | None) -> float | None:
    """Return the limit that a response header announces, in requests a second.

    :param text: the header's value; ``None`` if the response has no such header.
    :returns: :data:`NO_LIMIT_PER_S` without a header; ``None`` if it is unreadable.
    """
    if text is None:
        return NO_LIMIT_PER_S
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0 else None


class LimitObserver(abc.ABC):
    """Is told of the limits in the responses of upstreams."""

    @abc.abstractmethod
    def observe(
        self,
        incarnation_id: str,
        rate_per_s: float | None,
        sent_s: float,
        is_from_run: bool = True,
    ) -> None:
        """Handle the limit in a response that arrives now.

        :param rate_per_s: the limit, or :data:`NO_LIMIT_PER_S`; ``None`` if unreadable.
        :param sent_s: when the request was sent, by
            :func:`~kumquatseam.clocks.elapsed_s`.
        :param is_from_run: whether the request ran. Only such a response shows that
            there is no limit: refusals may not come from where limits are decided.
        """

    @abc.abstractmethod
    def note_rest(self, incarnation_id: str, rest_s: float | None) -> None:
        """Handle for how long a response says that no requests are wanted.

        :param rest_s: seconds; ``None`` if it says nothing of the kind.
        """


class NullLimitObserver(LimitObserver):
    """Ignores limits."""

    def note_rest(self, incarnation_id: str, rest_s: float | None) -> None:
        pass

    def observe(
        self,
        incarnation_id: str,
        rate_per_s: float | None,
        sent_s: float,
        is_from_run: bool = True,
    ) -> None:
        pass


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


@attrs.frozen
class LimitReport:
    """An observation as one instance sends it to others, whose clocks differ.

    :param incarnation_id: the upstream.
    :param rate_per_s: its limit, or :data:`NO_LIMIT_PER_S`.
    :param sent_ago_s: time since the request was sent.
    :param received_ago_s: time since the response arrived.
    """

    incarnation_id: str
    rate_per_s: float = NO_LIMIT_PER_S
    sent_ago_s: float = math.inf
    received_ago_s: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s < NO_LIMIT_PER_S


class AnnouncedLimits:
    """The newest observation of the limit of each upstream, by incarnation.

    :param clock: seconds that also pass while the machine is suspended.
    :param max_delay_s: returns by how much a message that arrives now may have been
        delayed by a suspension of this process.
    """

    def __init__(
        self,
        clock: Callable[[], float] = elapsed_s,
        max_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._max_delay_s = max_delay_s
        self._newest: dict[str, LimitObservation] = {}
        self._listeners: list[Callable[[str], None]] = []
        #: requests that this instance sent to upstreams with a limit.
        self.sent = 0

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with each upstream whose limit changed."""
        self._listeners.append(listener)

    def limited(self) -> list[str]:
        """Return the upstreams with a limit, and the keys of brittle services."""
        return [name for name, known in self._newest.items() if known.is_limited]

    def of(self, incarnation_id: str) -> LimitObservation:
        """Return the newest observation of an upstream's limit."""
        return self._newest.get(incarnation_id, LimitObservation())

    def age_s(self, incarnation_id: str) -> float:
        """Return the time since an upstream's limit was last announced."""
        return self._clock() - self.of(incarnation_id).received_s

    def note_sent(self, incarnation_id: str) -> None:
        """Count a request that is sent to an upstream."""
        self.sent += self.of(incarnation_id).is_limited

    def observe(self, incarnation_id: str, rate_per_s: float, sent_s: float) -> bool:
        """Record what a response says that arrives now.

        :param rate_per_s: the limit, or :data:`NO_LIMIT_PER_S`.
        :param sent_s: when the request was sent, by this object's clock.
        :returns: whether the limit changed.
        """
        observed = LimitObservation(rate_per_s, sent_s, self._clock())
        return self._merge(incarnation_id, observed, "response")

    def report_of(self, incarnation_id: str) -> LimitReport:
        """Return what is known of an upstream's limit, to be sent to an instance."""
        known, now_s = self.of(incarnation_id), self._clock()
        return LimitReport(
            incarnation_id,
            known.rate_per_s,
            now_s - known.sent_s,
            now_s - known.received_s,
        )

    def merge_report(self, report: LimitReport) -> bool:
        """Merge what another instance knows.

        A message read after a suspension of this process is older than it says. That
        matters for one that lifts a limit: the limit may be newer.

        :returns: whether the limit changed.
        """
        now_s = self._clock()
        delay_s = 0.0 if report.is_limited else self._max_delay_s()
        observed = LimitObservation(
            report.rate_per_s,
            now_s - report.sent_ago_s - delay_s,
            now_s - report.received_ago_s - delay_s,
        )
        return self._merge(report.incarnation_id, observed, "instance")

    def forget(self, incarnation_id: str) -> None:
        """Drop what is known of an upstream that ended."""
        self._newest.pop(incarnation_id, None)

    def _merge(
        self, incarnation_id: str, observed: LimitObservation, source: str
    ) -> bool:
        known = self.of(incarnation_id)
        if not known.is_limited and not observed.is_limited:
            # Upstreams that never announced a limit take no memory.
            return False
        newest = known.merge(observed)
        self._store(incarnation_id, newest)
        if newest.rate_per_s == known.rate_per_s:
            return False
        _log.bind(
            upstream=incarnation_id,
            rate_per_s=newest.rate_per_s if newest.is_limited else None,
            before_per_s=known.rate_per_s if known.is_limited else None,
            source=source,
            age_s=round(self._clock() - newest.received_s, 3),
        ).info("Limit of an upstream changed.")
        for listener in self._listeners:
            listener(incarnation_id)
        return True

    def _store(self, incarnation_id: str, observed: LimitObservation) -> None:
        self._newest[incarnation_id] = observed
        if len(self._newest) > MAX_KEPT:
            oldest = min(self._newest, key=lambda name: self._newest[name].received_s)
            del self._newest[oldest]
