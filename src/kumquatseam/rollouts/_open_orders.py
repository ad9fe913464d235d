"""Orders given to engines, until they take effect or are given again."""

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
from kumquatseam.upstreams import UpstreamDirectory, UpstreamStatus, WeightsNamed

_log = part_logger("rollout")

#: time from an order to the first question whether it is carried out.
FIRST_QUESTION_S = 0.5
#: pause between two questions.
QUESTION_PAUSE_S = 0.06
#: an order that shows no effect for this long is given again.
ORDER_PATIENCE_S = 3.0
#: an order without an answer is given again sooner: it may not have arrived. So is
#: one that an engine refused while it carried out another.
UNANSWERED_PATIENCE_S = 0.6
#: an engine that refuses orders and carries none out is ordered again after this
#: long, and after twice as long each further time.
REFUSED_PAUSE_S = 0.3
MAX_REFUSED_PAUSE_S = 2.4
#: orders by which it is known how long one takes, and the share of them that is.
REMEMBERED_ORDERS = 8
EXPECTED_SHARE = 0.75
#: refusals in a row that a wrong count of orders may explain.
MAX_CORRECTIONS = 3


@attrs.define
class _Order:
    """An order that was given.

    :param weights: the weights ordered.
    :param mode: what becomes of the engine's runs.
    :param given_s: when.
    :param is_repeat: it was given before without a known effect. The engine may be
        carrying it out already and then accepts it without counting it again.
    :param patience_s: when to give it again without effect.
    :param is_accepted: whether the engine accepted it.
    :param asked_s: when the engine was last asked about it.
    :param heard_s: when it last answered that.
    :param is_asking: whether that question is still under way.
    :param heard: what the engine said last, to log only what is new.
    """

    weights: WeightsNamed
    mode: LoadMode
    given_s: float
    is_repeat: bool = False
    patience_s: float = ORDER_PATIENCE_S
    is_accepted: bool = False
    asked_s: float = 0.0
    heard_s: float = 0.0
    is_asking: bool = False
    heard: EngineReport | None = None


@attrs.define
class _Refusal:
    """An engine that refused an order and carries none out.

    :param weights: the weights ordered.
    :param in_row: how often it refused them in a row.
    :param until_s: it is not ordered to them before.
    :param more_orders: orders it may have accepted beyond those known: it does not
        report, and one that was lost or given twice may count.
    """

    weights: WeightsNamed
    in_row: int = 0
    until_s: float = 0.0
    more_orders: int = 0


class OpenOrders:
    """Gives orders to engines and follows what becomes of them.

    An engine accepts an order, finishes its runs and loads; or refuses it, does not
    answer, or ends. What it reports of itself tells which.

    :param client: speaks to engines.
    :param directory: the engines.
    :param on_fenced: called when an engine has seen a newer holder of the duty.
    :param on_outcome: called with how an engine took an order.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        client: OrderClient,
        directory: UpstreamDirectory,
        on_fenced: Callable[[], None],
        on_outcome: Callable[[WeightsNamed, str, OrderOutcome], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._directory = directory
        self._on_fenced = on_fenced
        self._on_outcome = on_outcome
        self._clock = clock
        self._given: dict[str, _Order] = {}
        #: each engine's last order that showed no effect.
        self._without_effect: dict[str, _Order] = {}
        #: how long the last orders took.
        self._took_s: collections.deque[float] = collections.deque(
            maxlen=REMEMBERED_ORDERS
        )
        #: by incarnation and model.
        self._refused: dict[tuple[str, str], _Refusal] = {}

    def __len__(self) -> int:
        return len(self._given)

    def clear(self) -> None:
        """Forget every order: another instance gives them now.

        What was given may still take effect, so it counts as given if this instance
        orders the same once more.
        """
        for incarnation_id, order in self._given.items():
            self._without_effect[incarnation_id] = order
        self._given.clear()
        self._refused.clear()

    def is_open(self, incarnation_id: str) -> bool:
        """Return whether an engine has an order that it may be carrying out."""
        return incarnation_id in self._given

    def keeps_runs(self, incarnation_id: str) -> bool:
        """Return whether an engine's order lets its runs go on."""
        given = self._given.get(incarnation_id)
        return given is not None and given.mode is LoadMode.IN_PLACE

    def mode_of(
        self, weights: WeightsNamed, incarnation_id: str, is_at_once: bool
    ) -> LoadMode:
        """Return how an engine is to be ordered to load.

        An order that is given again may be carried out already, and runs may be
        moving away for it, so it says the same.

        :param is_at_once: it cannot wait until its runs end.
        """
        last = self._last(incarnation_id, weights)
        if last is not None:
            return last.mode
        return LoadMode.IN_PLACE if is_at_once else LoadMode.DRAIN_FIRST

    def _last(self, incarnation_id: str, weights: WeightsNamed) -> _Order | None:
        """Return the engine's last order without effect, if it was to these weights."""
        last = self._without_effect.get(incarnation_id)
        return last if last is not None and last.weights == weights else None

    def may_give(self, weights: WeightsNamed, incarnation_id: str) -> bool:
        """Return whether an engine did not just refuse these weights."""
        refusal = self._refused.get((incarnation_id, weights.model))
        if refusal is None or refusal.weights != weights:
            return True
        return self._clock() >= refusal.until_s

    def expected_s(self) -> float:
        """Return how long orders take now: what three in four stay within.

        Those that are not done count with the time they have taken so far.
        """
        now_s = self._clock()
        open_s = [now_s - order.given_s for order in self._given.values()]
        known_s = sorted([*self._took_s, *open_s])
        return known_s[int(len(known_s) * EXPECTED_SHARE)] if known_s else 0.0

    def expected_orders(self, weights: WeightsNamed, status: UpstreamStatus) -> int:
        """Return how many orders an engine is taken to have accepted."""
        known = status.orders_accepted or 0
        refusal = self._refused.get((status.upstream.incarnation_id, weights.model))
        return known + (refusal.more_orders if refusal is not None else 0)

    def drop_done(
        self, weights: WeightsNamed, statuses: Sequence[UpstreamStatus]
    ) -> None:
        """Forget orders that took effect, lapsed or lost their engine."""
        now_s = self._clock()
        known = {status.upstream.incarnation_id: status for status in statuses}
        for incarnation_id, order in list(self._given.items()):
            if order.weights.model != weights.model:
                continue
            status = known.get(incarnation_id)
            done = status is None or has_weights(status, order.weights)
            if done:
                _log.bind(
                    upstream=incarnation_id,
                    version=order.weights.version,
                    took_s=round(now_s - order.given_s, 3),
                    is_listed=status is not None,
                ).info("Order done.")
                self._without_effect.pop(incarnation_id, None)
                if status is not None:
                    self._took_s.append(now_s - order.given_s)
            elif now_s - order.given_s > order.patience_s:
                self._without_effect[incarnation_id] = order
            else:
                continue
            del self._given[incarnation_id]
        for incarnation_id in list(self._without_effect):
            if self._directory.status(incarnation_id) is None:
                del self._without_effect[incarnation_id]
        for (incarnation_id, model), refusal in list(self._refused.items()):
            if model != weights.model:
                continue
            status = known.get(incarnation_id)
            if status is None or has_weights(status, refusal.weights):
                del self._refused[incarnation_id, model]

    def ask_due(
        self, weights: WeightsNamed, statuses: Sequence[UpstreamStatus]
    ) -> None:
        """Ask the engines of a model whose load should be done how they are."""
        now_s = self._clock()
        for status in statuses:
            order = self._given.get(status.upstream.incarnation_id)
            if order is None or order.weights.model != weights.model:
                continue
            if now_s - order.given_s < FIRST_QUESTION_S:
                continue
            if now_s - order.asked_s >= QUESTION_PAUSE_S and not order.is_asking:
                order.asked_s = now_s
                order.is_asking = True
                gevent.spawn(self._ask_about, order, weights.model, status)

    def _ask_about(self, order: _Order, model: str, status: UpstreamStatus) -> None:
        try:
            self.ask(model, status, order)
        finally:
            order.is_asking = False

    def ask(
        self, model: str, status: UpstreamStatus, order: _Order | None = None
    ) -> EngineReport | None:
        """Ask an engine what it runs and how many orders it accepted.

        :param order: the order it is asked about, if any.
        :returns: its report, unless it gave none or an earlier incarnation did.
        """
        report = self._client.report(status.upstream)
        if order is not None:
            self._note_asked(status, order, report)
        if report is None or report.born_ms < status.upstream.born_ms:
            return None
        if report.born_ms > status.upstream.born_ms:
            status = self._directory.note_started(status, report.born_ms)
        if report.is_busy:
            # Its weights are about to change; only the count is news.
            now_s = self._clock()
            status.note_reported_orders(report.orders_accepted, now_s)
            if order is not None and order.is_accepted:
                # It is at work on it, or finishes its runs first.
                order.patience_s = now_s - order.given_s + ORDER_PATIENCE_S
            return report
        for named in report.weights:
            if named.model == model:
                status.note_report(
                    model, named.version, report.orders_accepted, self._clock()
                )
        return report

    def _note_asked(
        self, status: UpstreamStatus, order: _Order, report: EngineReport | None
    ) -> None:
        """Note whether an engine answers questions about an order.

        One that answers none may have ended: it is ordered again, which tells.
        """
        now_s = self._clock()
        if report is not None:
            order.heard_s = now_s
            _log_report(status, order, report)
            return
        silent_since_s = max(order.heard_s, order.given_s + FIRST_QUESTION_S)
        if now_s - silent_since_s > UNANSWERED_PATIENCE_S:
            order.patience_s = 0.0

    def give(self, order: WeightsOrder, status: UpstreamStatus) -> None:
        """Give an order without waiting for its answer."""
        incarnation_id = status.upstream.incarnation_id
        is_repeat = self._last(incarnation_id, order.weights) is not None
        given = _Order(order.weights, order.mode, self._clock(), is_repeat)
        self._given[incarnation_id] = given
        gevent.spawn(self._give, order, status, given)

    def _give(self, order: WeightsOrder, status: UpstreamStatus, given: _Order) -> None:
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
            given.is_accepted = True
            counted = 0 if given.is_repeat else 1
            status.note_orders(order.expected_orders + counted, self._clock())
            return
        given.patience_s = UNANSWERED_PATIENCE_S
        if outcome is OrderOutcome.ALREADY_HOLDS:
            weights = order.weights
            status.note_answered(weights.model, weights.version, self._clock())
        elif outcome is OrderOutcome.BUSY:
            self._after_busy(order, status, given)
        elif outcome is OrderOutcome.FENCED:
            self._on_fenced()
        elif outcome in (OrderOutcome.UNREACHED, OrderOutcome.OTHER_INCARNATION):
            given.patience_s = 0.0
            self._directory.note_broken(status, f"order {outcome.value}")
        elif outcome is not OrderOutcome.UNANSWERED:
            self._pause(self._note_refused(order, status), status, given)

    def _after_busy(
        self, order: WeightsOrder, status: UpstreamStatus, given: _Order
    ) -> None:
        """Learn why an engine refused: it is at work, or counts its orders otherwise.

        A report is older than the refusal, so one that tells of no work is believed
        when the engine refuses once more.
        """
        refusal = self._note_refused(order, status)
        report = self.ask(order.weights.model, status, given)
        if report is not None and report.is_busy:
            refusal.in_row = 0
            return
        if report is None:
            refusal.more_orders = 1 - refusal.more_orders
        else:
            refusal.more_orders = 0
            is_explained = status.orders_accepted != order.expected_orders
            if is_explained and refusal.in_row <= MAX_CORRECTIONS:
                self._forget(status, given)
                return
        if refusal.in_row > 1:
            self._pause(refusal, status, given)

    def _note_refused(self, order: WeightsOrder, status: UpstreamStatus) -> _Refusal:
        """Count that an engine refused an order."""
        key = (status.upstream.incarnation_id, order.weights.model)
        refusal = self._refused.get(key)
        if refusal is None or refusal.weights != order.weights:
            refusal = self._refused[key] = _Refusal(order.weights)
        refusal.in_row += 1
        return refusal

    def _pause(self, refusal: _Refusal, status: UpstreamStatus, given: _Order) -> None:
        """Give the place of an engine that carries nothing out to others."""
        self._forget(status, given)
        pause_s = REFUSED_PAUSE_S * 2 ** (refusal.in_row - 1)
        refusal.until_s = self._clock() + min(MAX_REFUSED_PAUSE_S, pause_s)

    def _forget(self, status: UpstreamStatus, given: _Order) -> None:
        """Forget an order, unless another was given since."""
        incarnation_id = status.upstream.incarnation_id
        if self._given.get(incarnation_id) is given:
            del self._given[incarnation_id]


def _log_report(status: UpstreamStatus, order: _Order, report: EngineReport) -> None:
    """Log what an engine says of itself, unless it said the same before."""
    heard = attrs.evolve(report, waiting=0, running=0)
    if heard == order.heard:
        return
    order.heard = heard
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


def has_weights(status: UpstreamStatus, weights: WeightsNamed) -> bool:
    """Return whether an engine is known to run some weights, or newer ones."""
    known = status.version_of(weights.model)
    return known is not None and known >= weights.version
