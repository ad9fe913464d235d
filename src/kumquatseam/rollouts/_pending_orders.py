"""Orders sent to engines, tracked until they take effect or are sent again."""

import collections
import time
from collections.abc import Callable, Sequence

import attrs
import gevent

from kumquatseam.logs import part_logger
from kumquatseam.rollouts._orders import (
    EngineReport,
    LoadMode,
    OrderClient,
    OrderOutcome,
    WeightsOrder,
)
from kumquatseam.upstreams import UpstreamDirectory, UpstreamStatus, WeightsVersion

_log = part_logger("rollout")

#: time from an order to the first poll of the engine for its progress.
FIRST_POLL_DELAY_S = 0.5
#: pause between two polls.
POLL_INTERVAL_S = 0.06
#: an order that shows no effect for this long is sent again.
ORDER_TIMEOUT_S = 3.0
#: an order without an answer is sent again sooner, as it may not have arrived. So is
#: one that an engine refused while it was executing another.
UNANSWERED_TIMEOUT_S = 0.6
#: an engine that refuses orders and executes none is ordered again after this long,
#: and the delay doubles with each further refusal.
REFUSED_BACKOFF_S = 0.3
MAX_REFUSED_BACKOFF_S = 2.4
#: how many recent orders the typical duration is taken from, and its quantile.
RECENT_ORDERS = 8
DURATION_QUANTILE = 0.75
#: consecutive refusals that may be blamed on a wrong count of accepted orders.
MAX_COUNT_CORRECTIONS = 3


@attrs.define
class _PendingOrder:
    """An order that was sent.

    :param weights: the weights ordered.
    :param mode: what happens to the engine's runs.
    :param sent_s: when it was sent.
    :param is_repeat: whether it was sent before without a known effect. The engine may
        be executing it already, and then accepts it without counting it again.
    :param timeout_s: how long after ``sent_s`` it is sent again if it has no effect.
    :param is_accepted: whether the engine accepted it.
    :param polled_s: when the engine was last polled for its progress.
    :param answered_s: when it last answered a poll.
    :param is_polling: whether a poll is in flight.
    :param last_report: the engine's last report, to log changes only.
    """

    weights: WeightsVersion
    mode: LoadMode
    sent_s: float
    is_repeat: bool = False
    timeout_s: float = ORDER_TIMEOUT_S
    is_accepted: bool = False
    polled_s: float = 0.0
    answered_s: float = 0.0
    is_polling: bool = False
    last_report: EngineReport | None = None


@attrs.define
class _Refusal:
    """The refusals of an engine that executes no order.

    :param weights: the weights ordered.
    :param consecutive: how often it refused them in a row.
    :param until_s: it is not ordered to load them before then.
    :param uncounted_orders: orders that it may have accepted beyond those known: an
        engine that does not report may have counted one that was lost or sent twice.
    """

    weights: WeightsVersion
    consecutive: int = 0
    until_s: float = 0.0
    uncounted_orders: int = 0


class PendingOrders:
    """Sends orders to engines and tracks them until they take effect or time out.

    An engine accepts an order, finishes its runs and loads; or it refuses the order,
    does not answer, or ends. Its reports show which of these happened.

    :param client: sends orders and fetches reports.
    :param directory: the engines.
    :param on_fenced: called when an engine has seen a newer fencing token.
    :param on_outcome: called with the weights, the incarnation and the outcome.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        client: OrderClient,
        directory: UpstreamDirectory,
        on_fenced: Callable[[], None],
        on_outcome: Callable[[WeightsVersion, str, OrderOutcome], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._directory = directory
        self._on_fenced = on_fenced
        self._on_outcome = on_outcome
        self._clock = clock
        self._pending: dict[str, _PendingOrder] = {}
        #: each engine's last order that timed out without effect.
        self._ineffective: dict[str, _PendingOrder] = {}
        #: durations of the last orders that took effect.
        self._durations_s: collections.deque[float] = collections.deque(
            maxlen=RECENT_ORDERS
        )
        #: by incarnation and model.
        self._refusals: dict[tuple[str, str], _Refusal] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def clear(self) -> None:
        """Stop tracking all orders, since another instance holds the lease.

        They may still take effect, so an order that this instance sends again later
        counts as a repeat.
        """
        for incarnation_id, order in self._pending.items():
            self._ineffective[incarnation_id] = order
        self._pending.clear()
        self._refusals.clear()

    def has_pending(self, incarnation_id: str) -> bool:
        """Return whether an engine has an order that it may be executing."""
        return incarnation_id in self._pending

    def was_ordered(self, weights: WeightsVersion, incarnation_id: str) -> bool:
        """Return whether an engine may be executing an earlier order of the same."""
        return self._last_ineffective(incarnation_id, weights) is not None

    def mode_of(
        self, weights: WeightsVersion, incarnation_id: str, is_in_place: bool
    ) -> LoadMode:
        """Return the mode of the next order to an engine.

        An order that is sent again keeps its mode: the engine may be executing it
        already.

        :param is_in_place: whether the engine cannot wait until its runs end.
        """
        last = self._last_ineffective(incarnation_id, weights)
        if last is not None:
            return last.mode
        return LoadMode.IN_PLACE if is_in_place else LoadMode.DRAIN_FIRST

    def _last_ineffective(
        self, incarnation_id: str, weights: WeightsVersion
    ) -> _PendingOrder | None:
        """Return the engine's last order without effect if it was for these weights."""
        last = self._ineffective.get(incarnation_id)
        return last if last is not None and last.weights == weights else None

    def may_send(self, weights: WeightsVersion, incarnation_id: str) -> bool:
        """Return whether no backoff after a refusal of these weights is in effect."""
        refusal = self._refusals.get((incarnation_id, weights.model))
        if refusal is None or refusal.weights != weights:
            return True
        return self._clock() >= refusal.until_s

    def typical_duration_s(self) -> float:
        """Return the duration that three in four recent orders stay within.

        Pending orders count with the time they have taken so far.
        """
        now_s = self._clock()
        pending_s = [now_s - order.sent_s for order in self._pending.values()]
        known_s = sorted([*self._durations_s, *pending_s])
        return known_s[int(len(known_s) * DURATION_QUANTILE)] if known_s else 0.0

    def expected_orders(self, weights: WeightsVersion, status: UpstreamStatus) -> int:
        """Return how many orders an engine is assumed to have accepted."""
        known = status.orders_accepted or 0
        refusal = self._refusals.get((status.upstream.incarnation_id, weights.model))
        return known + (refusal.uncounted_orders if refusal is not None else 0)

    def drop_done(
        self, weights: WeightsVersion, statuses: Sequence[UpstreamStatus]
    ) -> None:
        """Stop tracking orders that took effect, timed out or lost their engine."""
        now_s = self._clock()
        known = {status.upstream.incarnation_id: status for status in statuses}
        for incarnation_id, order in list(self._pending.items()):
            if order.weights.model != weights.model:
                continue
            status = known.get(incarnation_id)
            done = status is None or has_weights(status, order.weights)
            if done:
                _log.bind(
                    upstream=incarnation_id,
                    version=order.weights.version,
                    took_s=round(now_s - order.sent_s, 3),
                    is_listed=status is not None,
                ).info("Order done.")
                self._ineffective.pop(incarnation_id, None)
                if status is not None:
                    self._durations_s.append(now_s - order.sent_s)
            elif now_s - order.sent_s > order.timeout_s:
                self._ineffective[incarnation_id] = order
            else:
                continue
            del self._pending[incarnation_id]
        for incarnation_id in list(self._ineffective):
            if self._directory.status(incarnation_id) is None:
                del self._ineffective[incarnation_id]
        for (incarnation_id, model), refusal in list(self._refusals.items()):
            if model != weights.model:
                continue
            status = known.get(incarnation_id)
            if status is None or has_weights(status, refusal.weights):
                del self._refusals[incarnation_id, model]

    def poll_due(
        self, weights: WeightsVersion, statuses: Sequence[UpstreamStatus]
    ) -> None:
        """Poll the engines of a model for the progress of their orders, where due."""
        now_s = self._clock()
        for status in statuses:
            order = self._pending.get(status.upstream.incarnation_id)
            if order is None or order.weights.model != weights.model:
                continue
            if now_s - order.sent_s < FIRST_POLL_DELAY_S:
                continue
            if now_s - order.polled_s >= POLL_INTERVAL_S and not order.is_polling:
                order.polled_s = now_s
                order.is_polling = True
                gevent.spawn(self._poll_pending, order, weights.model, status)

    def _poll_pending(
        self, order: _PendingOrder, model: str, status: UpstreamStatus
    ) -> None:
        try:
            self.poll_engine(model, status, order)
        finally:
            order.is_polling = False

    def poll_engine(
        self, model: str, status: UpstreamStatus, order: _PendingOrder | None = None
    ) -> EngineReport | None:
        """Fetch an engine's report and record its weights and accepted orders.

        :param order: the pending order that the poll is about, if any.
        :returns: the report; ``None`` if there is none or it is from an earlier
            incarnation.
        """
        report = self._client.report(status.upstream)
        if order is not None:
            self._note_poll(status, order, report)
        if report is None or report.born_ms < status.upstream.born_ms:
            return None
        if report.born_ms > status.upstream.born_ms:
            status = self._directory.note_restart(status, report.born_ms)
        if report.is_busy:
            # Its weights are about to change, so only the count is recorded.
            now_s = self._clock()
            status.note_reported_orders(report.orders_accepted, now_s)
            if order is not None and order.is_accepted:
                # It is executing the order, or finishing its runs first.
                order.timeout_s = now_s - order.sent_s + ORDER_TIMEOUT_S
            return report
        for named in report.weights:
            if named.model == model:
                status.note_report(
                    model, named.version, report.orders_accepted, self._clock()
                )
        return report

    def _note_poll(
        self, status: UpstreamStatus, order: _PendingOrder, report: EngineReport | None
    ) -> None:
        """Note whether an engine answers polls about an order.

        One that answers none may have ended. Its order times out at once, and sending
        it again shows whether the engine is still reachable.
        """
        now_s = self._clock()
        if report is not None:
            order.answered_s = now_s
            _log_report(status, order, report)
            return
        unanswered_since_s = max(order.answered_s, order.sent_s + FIRST_POLL_DELAY_S)
        if now_s - unanswered_since_s > UNANSWERED_TIMEOUT_S:
            order.timeout_s = 0.0

    def send(self, order: WeightsOrder, status: UpstreamStatus) -> None:
        """Send an order without waiting for the answer."""
        incarnation_id = status.upstream.incarnation_id
        is_repeat = self._last_ineffective(incarnation_id, order.weights) is not None
        pending = _PendingOrder(order.weights, order.mode, self._clock(), is_repeat)
        self._pending[incarnation_id] = pending
        gevent.spawn(self._send, order, status, pending)

    def _send(
        self, order: WeightsOrder, status: UpstreamStatus, pending: _PendingOrder
    ) -> None:
        upstream = status.upstream
        outcome = self._client.order(upstream, order)
        _log.bind(
            upstream=upstream.incarnation_id,
            model=order.weights.model,
            version=order.weights.version,
            fence=order.fence,
            mode=order.mode.value,
            expected_orders=order.expected_orders,
            known_orders=status.orders_accepted,
            outcome=outcome.value,
        ).info("Order given.")
        self._on_outcome(order.weights, upstream.incarnation_id, outcome)
        if outcome is OrderOutcome.ACCEPTED:
            pending.is_accepted = True
            counted = 0 if pending.is_repeat else 1
            status.note_inferred_orders(order.expected_orders + counted, self._clock())
            return
        pending.timeout_s = UNANSWERED_TIMEOUT_S
        if outcome is OrderOutcome.ALREADY_HOLDS:
            weights = order.weights
            status.record_version(weights.model, weights.version, self._clock())
        elif outcome is OrderOutcome.BUSY:
            self._handle_busy(order, status, pending)
        elif outcome is OrderOutcome.FENCED:
            self._on_fenced()
        elif outcome in (OrderOutcome.UNREACHED, OrderOutcome.OTHER_INCARNATION):
            pending.timeout_s = 0.0
            self._directory.note_connection_failure(status, f"order {outcome.value}")
        elif outcome is not OrderOutcome.UNANSWERED:
            self._back_off(self._note_refusal(order, status), status, pending)

    def _handle_busy(
        self, order: WeightsOrder, status: UpstreamStatus, pending: _PendingOrder
    ) -> None:
        """Find out why an engine refused: it is busy, or its count of orders differs.

        The report is older than the refusal, so one that shows no work is trusted only
        after a second refusal.
        """
        refusal = self._note_refusal(order, status)
        report = self.poll_engine(order.weights.model, status, pending)
        if report is not None and report.is_busy:
            refusal.consecutive = 0
            return
        if report is None:
            refusal.uncounted_orders = 1 - refusal.uncounted_orders
        else:
            refusal.uncounted_orders = 0
            is_explained = status.orders_accepted != order.expected_orders
            if is_explained and refusal.consecutive <= MAX_COUNT_CORRECTIONS:
                self._untrack(status, pending)
                return
        if refusal.consecutive > 1:
            self._back_off(refusal, status, pending)

    def _note_refusal(self, order: WeightsOrder, status: UpstreamStatus) -> _Refusal:
        """Count that an engine refused an order."""
        key = (status.upstream.incarnation_id, order.weights.model)
        refusal = self._refusals.get(key)
        if refusal is None or refusal.weights != order.weights:
            refusal = self._refusals[key] = _Refusal(order.weights)
        refusal.consecutive += 1
        return refusal

    def _back_off(
        self, refusal: _Refusal, status: UpstreamStatus, pending: _PendingOrder
    ) -> None:
        """Free the loading slot of an engine that executes no order, and back off."""
        self._untrack(status, pending)
        backoff_s = REFUSED_BACKOFF_S * 2 ** (refusal.consecutive - 1)
        refusal.until_s = self._clock() + min(MAX_REFUSED_BACKOFF_S, backoff_s)

    def _untrack(self, status: UpstreamStatus, pending: _PendingOrder) -> None:
        """Stop tracking an order, unless another was sent since."""
        incarnation_id = status.upstream.incarnation_id
        if self._pending.get(incarnation_id) is pending:
            del self._pending[incarnation_id]


def _log_report(
    status: UpstreamStatus, order: _PendingOrder, report: EngineReport
) -> None:
    """Log an engine's report if it differs from the previous one."""
    comparable = attrs.evolve(report, waiting=0, running=0)
    if comparable == order.last_report:
        return
    order.last_report = comparable
    _log.bind(
        upstream=status.upstream.incarnation_id,
        ordered_version=order.weights.version,
        weights={named.model: named.version for named in report.weights},
        is_busy=report.is_busy,
        orders_accepted=report.orders_accepted,
        known_orders=status.orders_accepted,
        waiting=report.waiting,
        running=report.running,
    ).debug("Engine reported.")


def has_weights(status: UpstreamStatus, weights: WeightsVersion) -> bool:
    """Return whether an engine is known to run some weights, or newer ones."""
    known = status.version_of(weights.model)
    return known is not None and known >= weights.version
