"""Health, load and weights of one incarnation of an upstream."""

import abc
import math
from collections.abc import Callable

import attrs

from kumquatseam.upstreams._availability import (
    CLOSING_REASONS,
    Availability,
    Unavailability,
)
from kumquatseam.upstreams._upstream import Upstream

#: maximum age of the state in a newly written entry: the list's own lag plus one
#: poll interval.
ENTRY_LAG_S = 1.5
#: the same for an unchanged entry: one heartbeat interval more.
UNCHANGED_ENTRY_LAG_S = 3.0
#: maximum age of the state in an engine's report: its own age plus the network delay.
REPORT_LAG_S = 1.5


@attrs.define
class UpstreamStatus:
    """An upstream with this process's observations of it.

    :param upstream: its newest entry.
    :param running: number of this process's requests on it.
    :param pending_tokens: prompt tokens it still has to prefill for those requests.
    :param answering: number of those requests whose response began.
    :param last_received_s: when response bytes last arrived from it.
    :param failures_in_row: connection failures since the last response.
    :param failure_share: moving average of failed responses, 0 to 1.
    :param availability: until when, and why, it gets no requests.
    :param orders_accepted: number of load orders that this incarnation accepted, if
        known.
    :param closing_until_s: until then it is about to load weights, and requests
        should prefer other upstreams.
    :param known_since_s: when it became known; it had started by then.
    :param alive_s: when it is known to have run last.
    :param contradicted_s: when an entry first contradicted its start.
    :param expires_s: when to remove it, if its entry expired during an outage of the
        list or is unreadable.
    """

    upstream: Upstream
    running: int = 0
    pending_tokens: int = 0
    answering: int = 0
    last_received_s: float = 0.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    availability: Availability = attrs.Factory(Availability)
    orders_accepted: int | None = None
    _versions: dict[str, int] = attrs.Factory(dict)
    _version_known_s: dict[str, float] = attrs.Factory(dict)
    _orders_known_s: float = -math.inf
    closing_until_s: float = 0.0
    known_since_s: float = 0.0
    alive_s: float = -math.inf
    contradicted_s: float = math.inf
    expires_s: float | None = None
    _move_runs_to: tuple[str, ...] = ()

    @property
    def move_runs_to(self) -> tuple[str, ...]:
        """Upstreams that its running requests move to.

        None once the notices that it loads have stopped: it may have been ordered to
        load, or not.
        """
        is_loading = self.availability.left_s(Unavailability.LOADING) > 0
        return self._move_runs_to if is_loading else ()

    def move_runs(self, destinations: tuple[str, ...]) -> None:
        """Set the upstreams that its running requests move to while it loads."""
        self._move_runs_to = destinations

    @property
    def is_leaving(self) -> bool:
        """Whether it is shutting down, by its entry or by a response."""
        is_said = self.availability.left_s(Unavailability.LEAVING) > 0
        return is_said or self.upstream.is_leaving

    @property
    def is_closed(self) -> bool:
        """Whether it gets no requests at all now."""
        return self.availability.is_closed

    @property
    def is_held_out(self) -> bool:
        """Whether it gets requests only if no other can serve them."""
        return self.availability.left_s(Unavailability.FAILED) > 0

    @property
    def held_out_until_s(self) -> float:
        """When it is no longer held out."""
        return self.availability.until_s(Unavailability.FAILED)

    @property
    def blocked_until_s(self) -> float:
        """When it is no longer closed."""
        return self.availability.until_s(*CLOSING_REASONS)

    def version_of(self, model: str) -> int | None:
        """Return the version of ``model`` that it is known to run."""
        return self._versions.get(model)

    def record_version(self, model: str, version: int, now_s: float) -> None:
        """Set the current version, which may be older than the known one."""
        self._versions[model] = version
        self._version_known_s[model] = now_s

    def record_peer_version(self, model: str, version: int, now_s: float) -> None:
        """Record a version that another instance reported, if it is newer.

        A version that is known already keeps its time: otherwise repeated reports
        of peers would always count as newer than the engine's own entry.
        """
        known = self._versions.get(model)
        if known is None or version > known:
            self.record_version(model, version, now_s)

    def note_report(
        self, model: str, version: int, orders_accepted: int, now_s: float
    ) -> None:
        """Record an engine's own report, which may be delayed.

        If the number of accepted orders differs from the known one, the reported
        version is used even if it is lower, since a lost order may be executed
        late. If the number is the same, the report may be older than the known
        version, so only a higher version is used.
        """
        known_orders = self.orders_accepted
        if not self.note_reported_orders(orders_accepted, now_s):
            return
        known = self._versions.get(model)
        has_new_orders = orders_accepted != known_orders
        if known is None or has_new_orders or version > known:
            self.record_version(model, version, now_s)

    def note_reported_orders(self, accepted: int, now_s: float) -> bool:
        """Record how many orders an engine reports to have accepted.

        :returns: whether the report is current. One with fewer orders than known is
            outdated if the known number is recent; otherwise the known number,
            inferred from a response or reported by an instance, was wrong.
        """
        known = self.orders_accepted
        is_recent = now_s - self._orders_known_s <= REPORT_LAG_S
        if known is not None and accepted < known and is_recent:
            return False
        self.orders_accepted = accepted
        self._orders_known_s = now_s
        return True

    def note_inferred_orders(self, accepted: int, now_s: float) -> None:
        """Record how many orders it accepted at least, until its next own report.

        Inferred from the response to an order, or reported by another instance.
        """
        if self.orders_accepted is None or accepted > self.orders_accepted:
            self.orders_accepted = accepted
            self._orders_known_s = now_s

    def note_entry(
        self, upstream: Upstream, now_s: float, lag_s: float = ENTRY_LAG_S
    ) -> None:
        """Record an entry, whose versions may be older than those in responses.

        :param lag_s: the maximum age of the entry's state.
        """
        self.upstream = upstream
        for listed in upstream.weights:
            known = self._versions.get(listed.model)
            known_for_s = now_s - self._version_known_s.get(listed.model, 0.0)
            if known is None or listed.version > known or known_for_s > lag_s:
                self.record_version(listed.model, listed.version, now_s)

    def runs(self, version: int | None) -> bool:
        """Return whether it runs ``version`` of any of its models."""
        models = {listed.model for listed in self.upstream.weights}
        return any(self.version_of(model) == version for model in models)


class InFlightRequestListener(abc.ABC):
    """Receives the state changes of a request in flight."""

    @abc.abstractmethod
    def note_prefill_done(self) -> None:
        """Handle that the prompt was prefilled."""

    @abc.abstractmethod
    def note_end(self) -> None:
        """Handle that the request is no longer on the upstream."""


class InFlightRequest:
    """A request that counts towards an upstream's load until :meth:`end`.

    :param status: the upstream.
    :param pending_tokens: prompt tokens that the upstream has to prefill.
    :param clock: monotonic clock in seconds.
    :param listener: receives the request's state changes.
    :param on_end: called with the upstream once the request no longer counts.
    """

    def __init__(
        self,
        status: UpstreamStatus,
        pending_tokens: int,
        clock: Callable[[], float],
        listener: InFlightRequestListener | None = None,
        on_end: Callable[[UpstreamStatus], None] = lambda status: None,
    ) -> None:
        self._status = status
        self._pending_tokens = pending_tokens
        self._clock = clock
        self._listener = listener
        self._on_end = on_end
        self._is_answering = False
        status.running += 1
        status.pending_tokens += pending_tokens

    def note_heard(self) -> None:
        """Record that bytes of the response arrived."""
        self._status.last_received_s = self._clock()

    def note_answering(self) -> None:
        """Record that the response began, and so that the prompt was prefilled."""
        if self._pending_tokens and self._listener is not None:
            self._listener.note_prefill_done()
        self._clear_pending_tokens()
        self._is_answering = True
        self._status.answering += 1
        self.note_heard()

    def end(self) -> None:
        """Stop counting the request."""
        self._clear_pending_tokens()
        self._status.running -= 1
        if self._is_answering:
            self._status.answering -= 1
        if self._listener is not None:
            self._listener.note_end()
        self._on_end(self._status)

    def _clear_pending_tokens(self) -> None:
        self._status.pending_tokens -= self._pending_tokens
        self._pending_tokens = 0
