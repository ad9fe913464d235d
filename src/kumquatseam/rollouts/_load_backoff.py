"""Backoff for weights that crash the engines that load them.

Weights that cannot be loaded crash every engine that tries. Engines also end for
other reasons while they load, and those must not stop a rollout. Once one engine
runs the weights, they are known to be loadable and there is no limit any more. Until
then an attempt whose engines ended counts as failed, unless many engines that were
not loading ended at about the same time. While there are failed attempts, one engine
at a time loads, with a backoff that grows with each failure.
"""

import collections
import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.rollouts._orders import OrderOutcome
from kumquatseam.upstreams import WeightsVersion

#: backoff after the second failed attempt. There is none after the first one, since
#: the first wave of engines may have ended for another reason.
FIRST_BACKOFF_S = 3.0
BACKOFF_FACTOR = 8.0
#: at this interval an attempt costs one engine about a twentieth of its time, for its
#: restart. A longer wait keeps the whole fleet on old weights if the attempts failed
#: for another reason.
MAX_BACKOFF_S = 60.0
#: an engine that ends later than this after its order counts as not loading. It is
#: longer than the delivery of an order may be delayed.
OUTCOME_TIMEOUT_S = 15.0
#: ends of one cause are detected up to this far apart: an entry expires late after an
#: outage, and a restart during a network partition is detected when it has healed.
COMMON_CAUSE_WINDOW_S = 10.0
#: share of a model's engines that have to end without loading for a failed attempt
#: to be attributed to the same cause: fewer random crashes would hardly ever hit the
#: one engine that loads in attempt after attempt.
UNRELATED_ENDS_SHARE = 1 / 3
#: outcomes of orders that the engine did not accept and will not execute later.
_NEVER_EXECUTED = {
    OrderOutcome.FENCED,
    OrderOutcome.OTHER_INCARNATION,
    OrderOutcome.REFUSED,
    OrderOutcome.UNREACHED,
}


@attrs.define
class _PendingLoad:
    """An order to load whose result is not known yet.

    :param attempt: number of the attempt it belongs to.
    :param ordered_s: when it was last sent.
    :param is_accepted: whether the engine accepted it.
    """

    attempt: int
    ordered_s: float
    is_accepted: bool = False


@attrs.define
class _LoadHistory:
    """The attempts to load one version of a model's weights.

    :param version: the version.
    :param has_loaded: whether any engine runs it.
    :param is_restored: whether the failures under earlier holders are included.
    :param attempts: attempts whose engines ended; a wave of engines counts as one.
    :param failed_tries: those of them that have no other explanation.
    :param failed_s: when the last one of these was detected.
    :param next_s: no engine is ordered before then.
    :param pending: the orders whose result is not known yet, by incarnation.
    """

    version: int
    has_loaded: bool = False
    is_restored: bool = False
    attempts: int = 0
    failed_tries: int = 0
    failed_s: float = 0.0
    next_s: float = 0.0
    pending: dict[str, _PendingLoad] = attrs.Factory(dict)


class LoadBackoff:
    """Limits how many engines load weights that no engine has loaded successfully.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._histories: dict[str, _LoadHistory] = {}
        #: the engines of each model at the last call of `update_listed`.
        self._listed: dict[str, frozenset[str]] = {}
        #: when engines of a model ended that were not loading; removed once they
        #: have explained a failed attempt.
        self._other_ends_s: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def loading_limit(self, weights: WeightsVersion) -> int | None:
        """Return how many engines may load now; ``None`` for no limit."""
        history = self._history(weights)
        if history.has_loaded or not history.failed_tries:
            return None
        return 1 if self._clock() >= history.next_s else 0

    def failed_tries(self, weights: WeightsVersion) -> int:
        """Return how many attempts failed because of the weights, as far as known."""
        history = self._history(weights)
        return 0 if history.has_loaded else history.failed_tries

    def on_standby(self) -> None:
        """Drop state that goes stale while another instance holds the lease."""
        self._listed.clear()
        for history in self._histories.values():
            history.is_restored = False
            history.pending.clear()

    def restore_failures(self, weights: WeightsVersion, failed_tries: int) -> None:
        """Set the number of failures under earlier holders, after a takeover.

        How much of the backoff has passed is not known. One attempt too many costs
        less than a full backoff after each takeover.
        """
        history = self._history(weights)
        if history.is_restored:
            return
        history.is_restored = True
        history.failed_tries = failed_tries
        history.attempts = max(history.attempts, failed_tries)
        history.next_s = self._clock() + (FIRST_BACKOFF_S if failed_tries > 1 else 0.0)

    def note_ordered(self, weights: WeightsVersion, incarnation_id: str) -> None:
        """Note that an engine is ordered, perhaps repeatedly, to load weights."""
        history = self._history(weights)
        now_s = self._clock()
        order = history.pending.setdefault(
            incarnation_id, _PendingLoad(history.attempts, now_s)
        )
        order.ordered_s = now_s

    def note_outcome(
        self, weights: WeightsVersion, incarnation_id: str, outcome: OrderOutcome
    ) -> None:
        """Note the outcome of sending an order."""
        history = self._histories.get(weights.model)
        if history is None or history.version != weights.version:
            return
        order = history.pending.get(incarnation_id)
        if order is None:
            return
        if outcome is OrderOutcome.ACCEPTED:
            order.is_accepted = True
        elif outcome in _NEVER_EXECUTED and not order.is_accepted:
            del history.pending[incarnation_id]

    def note_loaded(self, weights: WeightsVersion) -> None:
        """Note that some engine runs the weights."""
        history = self._history(weights)
        history.has_loaded = True
        history.pending.clear()

    def update_listed(
        self, weights: WeightsVersion, listed: Iterable[str]
    ) -> list[str]:
        """Return the engines of the model that were removed since the last call.

        :param listed: the engines that are listed now.
        """
        before = self._listed.get(weights.model, frozenset())
        now = self._listed[weights.model] = frozenset(listed)
        return sorted(before - now)

    def note_ended(self, weights: WeightsVersion, incarnation_id: str) -> bool:
        """Note that an engine ended; return whether it was ordered to load."""
        history = self._history(weights)
        order = history.pending.pop(incarnation_id, None)
        now_s = self._clock()
        was_loading = order is not None and now_s - order.ordered_s <= OUTCOME_TIMEOUT_S
        if history.has_loaded or not was_loading:
            self._other_ends_s[weights.model].append(now_s)
        # Further engines of the same wave do not count as another attempt.
        elif order.is_accepted and order.attempt == history.attempts:
            history.attempts += 1
            self._note_failure(history)
        self._retract_explained(weights.model, history)
        return was_loading

    def forget(self, weights: WeightsVersion, incarnation_id: str) -> None:
        """Ignore the coming end of an engine that leaves as planned."""
        self._history(weights).pending.pop(incarnation_id, None)

    def _history(self, weights: WeightsVersion) -> _LoadHistory:
        history = self._histories.get(weights.model)
        if history is None or history.version != weights.version:
            history = self._histories[weights.model] = _LoadHistory(weights.version)
        return history

    def _note_failure(self, history: _LoadHistory) -> None:
        history.failed_tries += 1
        history.failed_s = self._clock()
        if history.failed_tries > 1:
            backoff_s = FIRST_BACKOFF_S * BACKOFF_FACTOR ** (history.failed_tries - 2)
            history.next_s = history.failed_s + min(MAX_BACKOFF_S, backoff_s)

    def _retract_explained(self, model: str, history: _LoadHistory) -> None:
        """Retract the last failure if enough other engines ended about then."""
        now_s = self._clock()
        other_ends_s = self._other_ends_s[model]
        while other_ends_s and now_s - other_ends_s[0] > COMMON_CAUSE_WINDOW_S:
            other_ends_s.popleft()
        needed = max(1, int(len(self._listed[model]) * UNRELATED_ENDS_SHARE))
        is_recent = now_s - history.failed_s <= COMMON_CAUSE_WINDOW_S
        if history.failed_tries and is_recent and len(other_ends_s) >= needed:
            for _ in range(needed):
                other_ends_s.popleft()
            history.failed_tries -= 1
            history.next_s = now_s
