"""What this process learnt of one incarnation of an upstream."""

import abc
import math
from collections.abc import Callable

import attrs

from kumquatseam.upstreams._upstream import Upstream

#: an entry that was just written shows what an upstream was this long ago at
#: most: the list's own lag and a pause between two reads.
ENTRY_LAG_S = 1.5
#: and one that was not changed since, a heartbeat more.
UNCHANGED_ENTRY_LAG_S = 3.0
#: a report shows what an engine was this long ago at most: its own age and the way.
REPORT_LAG_S = 1.5


@attrs.define
class UpstreamStatus:
    """An upstream and what this process learnt of it.

    :param upstream: its newest entry.
    :param running: requests of this process on it.
    :param pending_tokens: prompt tokens it still has to read for those of them
        that have not begun to answer.
    :param answering: of those requests, the ones whose answer began.
    :param heard_s: when an answer's bytes last came.
    :param failures_in_row: connection failures since the last answer.
    :param failure_share: recent share of failed answers, 0 to 1.
    :param held_out_until_s: takes no work before this time if others can.
    :param orders_accepted: orders it accepted in this incarnation, if known.
    :param blocked_until_s: refuses work while it loads weights.
    :param move_runs_to: upstreams that take its runs over while it loads.
    :param closing_until_s: loads weights next; work should go to others.
    :param lapses_s: when it counts as gone, if its entry lapsed in an outage.
    """

    upstream: Upstream
    running: int = 0
    pending_tokens: int = 0
    answering: int = 0
    heard_s: float = 0.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    held_out_until_s: float = 0.0
    orders_accepted: int | None = None
    _versions: dict[str, int] = attrs.Factory(dict)
    _known_s: dict[str, float] = attrs.Factory(dict)
    _orders_known_s: float = -math.inf
    blocked_until_s: float = 0.0
    closing_until_s: float = 0.0
    lapses_s: float | None = None
    move_runs_to: tuple[str, ...] = ()

    def version_of(self, model: str) -> int | None:
        """Return the weights of ``model`` it is known to run."""
        return self._versions.get(model)

    def note_answered(self, model: str, version: int, now_s: float) -> None:
        """Take what an answer named: it holds now, older or newer than known."""
        self._versions[model] = version
        self._known_s[model] = now_s

    def record_peer_version(self, model: str, version: int, now_s: float) -> None:
        """Take in what an instance tells of its weights, if that is news.

        What is known already is not made younger: told again and again, it would
        outlast the engine's own word.
        """
        known = self._versions.get(model)
        if known is None or version > known:
            self.note_answered(model, version, now_s)

    def note_report(
        self, model: str, version: int, orders_accepted: int, now_s: float
    ) -> None:
        """Take what the engine said of itself some time ago.

        After another number of orders than known it is news, whichever way the
        version went: an order that was lost may be carried out late. After as many
        it may be older than what is known.
        """
        known_orders = self.orders_accepted
        if not self.note_reported_orders(orders_accepted, now_s):
            return
        known = self._versions.get(model)
        is_news = orders_accepted != known_orders
        if known is None or is_news or version > known:
            self.note_answered(model, version, now_s)

    def note_reported_orders(self, accepted: int, now_s: float) -> bool:
        """Take in how many orders it says it accepted.

        :returns: whether the report is as new as what is known. One with fewer
            orders is older if more became known lately; else what was concluded
            from an answer, or told by an instance, was wrong.
        """
        known = self.orders_accepted
        is_recent = now_s - self._orders_known_s <= REPORT_LAG_S
        if known is not None and accepted < known and is_recent:
            return False
        self.orders_accepted = accepted
        self._orders_known_s = now_s
        return True

    def note_inferred_orders(self, accepted: int, now_s: float) -> None:
        """Take in how many orders it must have accepted, until it reports itself.

        Concluded from an answer to an order, or told by an instance.
        """
        if self.orders_accepted is None or accepted > self.orders_accepted:
            self.orders_accepted = accepted
            self._orders_known_s = now_s

    def note_entry(
        self, upstream: Upstream, now_s: float, lag_s: float = ENTRY_LAG_S
    ) -> None:
        """Take in an entry, which lags behind what answers name.

        :param lag_s: by how much at most.
        """
        self.upstream = upstream
        for named in upstream.weights:
            known = self._versions.get(named.model)
            known_for_s = now_s - self._known_s.get(named.model, 0.0)
            if known is None or named.version > known or known_for_s > lag_s:
                self.note_answered(named.model, named.version, now_s)

    def runs(self, version: int | None) -> bool:
        """Return whether it runs ``version`` of a model."""
        models = {named.model for named in self.upstream.weights}
        return any(self.version_of(model) == version for model in models)


class OccupancyListener(abc.ABC):
    """Is told how a request on an upstream goes on."""

    @abc.abstractmethod
    def note_read(self) -> None:
        """Note that the prompt was read."""

    @abc.abstractmethod
    def note_end(self) -> None:
        """Note that the request is no longer on the upstream."""


class InFlightRequest:
    """A request's place on an upstream, until :meth:`end`.

    :param status: the upstream.
    :param pending_tokens: prompt tokens it has to read.
    :param clock: monotonic clock in seconds.
    :param listener: is told how it goes on.
    """

    def __init__(
        self,
        status: UpstreamStatus,
        pending_tokens: int,
        clock: Callable[[], float],
        listener: OccupancyListener | None = None,
    ) -> None:
        self._status = status
        self._pending_tokens = pending_tokens
        self._clock = clock
        self._listener = listener
        self._is_answering = False
        status.running += 1
        status.pending_tokens += pending_tokens

    def note_heard(self) -> None:
        """Note that bytes of the answer came."""
        self._status.heard_s = self._clock()

    def note_answering(self) -> None:
        """Note that the prompt was read: the answer began."""
        if self._pending_tokens and self._listener is not None:
            self._listener.note_read()
        self._read_prompt()
        self._is_answering = True
        self._status.answering += 1
        self.note_heard()

    def end(self) -> None:
        """Note that the request is no longer on the upstream."""
        self._read_prompt()
        self._status.running -= 1
        if self._is_answering:
            self._status.answering -= 1
        if self._listener is not None:
            self._listener.note_end()

    def _read_prompt(self) -> None:
        self._status.pending_tokens -= self._pending_tokens
        self._pending_tokens = 0
