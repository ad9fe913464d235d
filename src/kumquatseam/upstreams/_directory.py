"""The upstreams known to this process and what its traffic showed of them."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.upstreams._upstream import Upstream

_log = part_logger("upstreams")

#: first time out after a failure, in seconds; doubles with each further one.
#: About the time a restarted upstream takes to be listed again.
HOLD_OUT_S = 0.5
#: longest time out: a third of the shortest usual client deadline.
MAX_HOLD_OUT_S = 4.0
#: an entry that was just written shows what an upstream was this long ago at
#: most: the list's own lag and a pause between two reads.
ENTRY_LAG_S = 1.5
#: and one that was not changed since, a heartbeat more.
UNCHANGED_ENTRY_LAG_S = 3.0
#: an entry that lapsed in an outage of the list is back this long after its end
#: if the upstream lives: the platform's two seconds and a pause between reads.
LAPSE_GRACE_S = 2.5
#: an engine sends an event of some answer every 40 ms; with answers under way
#: and nothing for this long, it or the way to it is gone.
SILENT_AFTER_S = 0.7
SILENT_HOLD_OUT_S = 0.5
#: a share of failures above this holds an upstream out, over recent answers.
FAILURE_SHARE_LIMIT = 0.3
#: weight of the newest answer in the failure share.
FAILURE_WEIGHT = 0.1


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
    :param orders_accepted: orders it accepted in this life, if known.
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

    def note_report(
        self, model: str, version: int, orders_accepted: int, now_s: float
    ) -> None:
        """Take what the engine said of itself some time ago.

        After more orders than known it is news, whichever way the version
        went: an order that was lost may be carried out late. After as many it
        may be older than what is known, and after fewer it is.
        """
        known_orders = self.orders_accepted
        if known_orders is not None and orders_accepted < known_orders:
            return
        known = self._versions.get(model)
        is_news = orders_accepted != known_orders
        if known is None or is_news or version > known:
            self.note_answered(model, version, now_s)
        self.orders_accepted = orders_accepted

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


class Occupancy:
    """A request's place on an upstream, until :meth:`end`.

    :param status: the upstream.
    :param pending_tokens: prompt tokens it has to read.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, status: UpstreamStatus, pending_tokens: int, clock: Callable[[], float]
    ) -> None:
        self._status = status
        self._pending_tokens = pending_tokens
        self._clock = clock
        self._is_answering = False
        status.running += 1
        status.pending_tokens += pending_tokens

    def note_heard(self) -> None:
        """Note that bytes of the answer came."""
        self._status.heard_s = self._clock()

    def note_answering(self) -> None:
        """Note that the prompt was read: the answer began."""
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

    def _read_prompt(self) -> None:
        self._status.pending_tokens -= self._pending_tokens
        self._pending_tokens = 0


class UpstreamDirectory:
    """Upstreams by id, kept in step with the platform's list.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._statuses: dict[str, UpstreamStatus] = {}
        self._on_gone: list[Callable[[Upstream], None]] = []
        self.listed_s: float | None = None
        #: counts requests sent; tells whether own loads grew.
        self.changes = 0

    def on_gone(self, listener: Callable[[Upstream], None]) -> None:
        """Call ``listener`` with each upstream that left the list."""
        self._on_gone.append(listener)

    def status(self, upstream_id: str) -> UpstreamStatus | None:
        """Return what is known of one upstream."""
        return self._statuses.get(upstream_id)

    def all(self) -> list[UpstreamStatus]:
        """Return every upstream known."""
        return list(self._statuses.values())

    def of_service(self, service: str) -> list[UpstreamStatus]:
        """Return the upstreams of ``service``, in order of their ids."""
        found = [s for s in self._statuses.values() if s.upstream.service == service]
        return sorted(found, key=lambda status: status.upstream.upstream_id)

    def put(self, upstream: Upstream) -> bool:
        """Take in a new or changed entry; return whether it says anything new."""
        now_s = self._clock()
        known = self._statuses.get(upstream.upstream_id)
        if known is None:
            status = UpstreamStatus(upstream)
            status.note_entry(upstream, now_s)
            self._statuses[upstream.upstream_id] = status
            self._log_change("listed", upstream)
            return True
        if known.upstream.is_leaving != upstream.is_leaving:
            self._log_change("leaving" if upstream.is_leaving else "back", upstream)
        has_lapsed = known.lapses_s is not None
        known.lapses_s = None
        is_news = has_lapsed or upstream != known.upstream
        known.note_entry(upstream, now_s)
        return is_news

    def remove(self, upstream_id: str, outage_age_s: float | None = None) -> bool:
        """Drop an entry that left the list.

        Entries lapse while the list is out of reach, although their upstreams
        live; dropping them all at its return would leave requests nowhere to go.

        :param outage_age_s: how long ago the list was last out of reach, if
            lately: the upstream then stays until it had time to be listed again.
        :returns: whether it was known.
        """
        known = self._statuses.get(upstream_id)
        if known is None:
            return False
        is_in_outage = outage_age_s is not None and outage_age_s < LAPSE_GRACE_S
        if not is_in_outage or known.upstream.is_leaving:
            self._drop(known)
            return True
        if known.lapses_s is None:
            self._log_change("lapsed in an outage", known.upstream)
        known.lapses_s = self._clock() + LAPSE_GRACE_S - outage_age_s
        return True

    def note_listed(self) -> None:
        """Note that every entry was up to date a moment ago."""
        now_s = self._clock()
        self.listed_s = now_s
        for status in self._statuses.values():
            status.note_entry(status.upstream, now_s, UNCHANGED_ENTRY_LAG_S)

    def _drop(self, status: UpstreamStatus) -> None:
        del self._statuses[status.upstream.upstream_id]
        self._log_change("gone", status.upstream)
        for listener in self._on_gone:
            listener(status.upstream)

    def begin(self, status: UpstreamStatus, pending_tokens: int) -> "Occupancy":
        """Count a request that is about to be sent.

        :param pending_tokens: prompt tokens the upstream has to read for it.
        """
        self.changes += 1
        return Occupancy(status, pending_tokens, self._clock)

    def note_answer(self, status: UpstreamStatus, is_failure: bool) -> None:
        """Learn from an answer that came."""
        status.failures_in_row = 0
        self._weigh(status, is_failure)
        if is_failure and status.failure_share > FAILURE_SHARE_LIMIT:
            self._hold_out(status, HOLD_OUT_S, "failing answers")

    def note_broken(self, status: UpstreamStatus, reason: str) -> None:
        """Learn from a connection that failed or an answer that broke off."""
        status.failures_in_row += 1
        self._weigh(status, True)
        doubled_s = HOLD_OUT_S * 2 ** (status.failures_in_row - 1)
        self._hold_out(status, min(doubled_s, MAX_HOLD_OUT_S), reason)

    def sweep(self) -> None:
        """Leave out upstreams that fell silent, and drop those that lapsed.

        A dead one and a cut link send no reset; its requests would each wait
        for a timeout of their own.
        """
        now_s = self._clock()
        for status in list(self._statuses.values()):
            if status.lapses_s is not None and now_s >= status.lapses_s:
                self._drop(status)
                continue
            is_silent = now_s - status.heard_s > SILENT_AFTER_S
            is_in_use = status.held_out_until_s <= now_s
            if status.answering and is_silent and is_in_use:
                self._hold_out(status, SILENT_HOLD_OUT_S, "silent")

    def block(self, status: UpstreamStatus, for_s: float) -> None:
        """Note that an upstream refuses work while it loads weights."""
        status.blocked_until_s = max(status.blocked_until_s, self._clock() + for_s)

    def _weigh(self, status: UpstreamStatus, is_failure: bool) -> None:
        newest = 1.0 if is_failure else 0.0
        status.failure_share += FAILURE_WEIGHT * (newest - status.failure_share)

    def _hold_out(self, status: UpstreamStatus, for_s: float, reason: str) -> None:
        until_s = self._clock() + for_s
        if until_s > status.held_out_until_s:
            status.held_out_until_s = until_s
            _log.bind(
                upstream=status.upstream.upstream_id,
                reason=reason,
                in_row=status.failures_in_row,
                share=round(status.failure_share, 3),
                for_s=round(for_s, 2),
            ).info("Upstream held out.")

    def _log_change(self, change: str, upstream: Upstream) -> None:
        _log.bind(
            upstream=upstream.upstream_id,
            service=upstream.service,
            address=upstream.address,
            zone=upstream.availability_zone,
            weights={named.model: named.version for named in upstream.weights},
        ).info("Upstream {}.", change)
