"""Whether weights can be loaded, from what became of the engines ordered to them.

Weights that cannot be loaded end every engine that tries. Engines also end for
other reasons while they load, and a rollout must not stop for those. The two are
told apart by the first engine that runs the weights: from then on they are known
to load. Until then a try whose engines ended says that the weights are the cause,
unless many others, which were not loading, ended about then. While tries say so, one
engine at a time tries, with a pause that grows from try to try.
"""

import collections
import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.rollouts._orders import OrderOutcome
from kumquatseam.upstreams import WeightsNamed

#: pause before the second try after the first one; the one right after the first
#: wave ended has none, since its engines may have ended for another reason.
FIRST_PAUSE_S = 3.0
PAUSE_FACTOR = 8.0
#: a try costs one engine the seconds it takes to start again: a twentieth of its
#: time. Waiting leaves the whole fleet on old weights if the tries misled.
MAX_PAUSE_S = 60.0
#: an engine that neither ended nor loaded for this long after its order is no
#: longer expected to: longer than an order may be held up on the way.
OUTCOME_WITHIN_S = 15.0
#: ends of one cause become known up to this far apart: an entry lapses late after
#: an outage, and a restart behind a cut shows when the cut has ended.
SAME_CAUSE_WITHIN_S = 10.0
#: other engines that have to end to explain a try, as a share of a model's engines:
#: fewer hardly ever hit the one that loads, try after try.
EXPLAINING_SHARE = 1 / 3
#: outcomes of an order that the engine did not take and will not carry out later.
_NOT_TAKEN = {
    OrderOutcome.FENCED,
    OrderOutcome.OTHER_INCARNATION,
    OrderOutcome.REFUSED,
    OrderOutcome.UNREACHED,
}


@attrs.define
class _OpenOrder:
    """An order whose outcome is open.

    :param number: the try it belongs to.
    :param ordered_s: when it was given last.
    :param is_accepted: the engine said that it carries it out.
    """

    number: int
    ordered_s: float
    is_accepted: bool = False


@attrs.define
class _Trial:
    """What is known of one version of a model's weights.

    :param version: the version.
    :param has_loaded: some engine ran it.
    :param is_heard: what other holders saw of it is taken in.
    :param tries: how many tries ended their engines, a wave being one.
    :param failed_tries: those of them that nothing else explains.
    :param failed_s: when the last one of these became known.
    :param next_s: no engine is ordered before.
    :param ordered: the orders whose outcome is open, by incarnation.
    """

    version: int
    has_loaded: bool = False
    is_heard: bool = False
    tries: int = 0
    failed_tries: int = 0
    failed_s: float = 0.0
    next_s: float = 0.0
    ordered: dict[str, _OpenOrder] = attrs.Factory(dict)


class LoadTrials:
    """Limits how many engines load weights that ended all engines so far.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._trials: dict[str, _Trial] = {}
        #: a model's engines when they were last looked at.
        self._listed: dict[str, frozenset[str]] = {}
        #: when engines of a model ended that were not loading; those that explain
        #: a try are taken out.
        self._other_ends_s: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def most_loading(self, weights: WeightsNamed) -> int | None:
        """Return how many engines may load now; ``None`` without a limit."""
        trial = self._trial(weights)
        if trial.has_loaded or not trial.failed_tries:
            return None
        return 1 if self._clock() >= trial.next_s else 0

    def failed_tries(self, weights: WeightsNamed) -> int:
        """Return how many tries failed that only the weights explain."""
        trial = self._trial(weights)
        return 0 if trial.has_loaded else trial.failed_tries

    def stand_by(self) -> None:
        """Note that another instance may hold the duty from now on."""
        self._listed.clear()
        for trial in self._trials.values():
            trial.is_heard = False
            trial.ordered.clear()

    def hear(self, weights: WeightsNamed, failed_tries: int) -> None:
        """Take in, after taking over, how many tries failed under other holders.

        How much of the pause is over is not known. One try too many costs less
        than a pause that begins anew with each holder.
        """
        trial = self._trial(weights)
        if trial.is_heard:
            return
        trial.is_heard = True
        trial.failed_tries = failed_tries
        trial.tries = max(trial.tries, failed_tries)
        trial.next_s = self._clock() + (FIRST_PAUSE_S if failed_tries > 1 else 0.0)

    def note_ordered(self, weights: WeightsNamed, incarnation_id: str) -> None:
        """Note that an engine is ordered to load weights, maybe once more."""
        trial = self._trial(weights)
        now_s = self._clock()
        order = trial.ordered.setdefault(incarnation_id, _OpenOrder(trial.tries, now_s))
        order.ordered_s = now_s

    def note_outcome(
        self, weights: WeightsNamed, incarnation_id: str, outcome: OrderOutcome
    ) -> None:
        """Note how an engine took the order."""
        trial = self._trials.get(weights.model)
        if trial is None or trial.version != weights.version:
            return
        order = trial.ordered.get(incarnation_id)
        if order is None:
            return
        if outcome is OrderOutcome.ACCEPTED:
            order.is_accepted = True
        elif outcome in _NOT_TAKEN and not order.is_accepted:
            del trial.ordered[incarnation_id]

    def note_loaded(self, weights: WeightsNamed) -> None:
        """Note that some engine runs the weights."""
        trial = self._trial(weights)
        trial.has_loaded = True
        trial.ordered.clear()

    def look(self, weights: WeightsNamed, listed: Iterable[str]) -> list[str]:
        """Return the model's engines that are no longer there since the last look.

        :param listed: those that are there.
        """
        before = self._listed.get(weights.model, frozenset())
        now = self._listed[weights.model] = frozenset(listed)
        return sorted(before - now)

    def note_ended(self, weights: WeightsNamed, incarnation_id: str) -> bool:
        """Note that an engine ended; return whether it was ordered to load."""
        trial = self._trial(weights)
        order = trial.ordered.pop(incarnation_id, None)
        now_s = self._clock()
        is_due = order is not None and now_s - order.ordered_s <= OUTCOME_WITHIN_S
        if trial.has_loaded or not is_due:
            self._other_ends_s[weights.model].append(now_s)
        # The others of a wave belong to the same try.
        elif order.is_accepted and order.number == trial.tries:
            trial.tries += 1
            self._note_failed(trial)
        self._explain(weights.model, trial)
        return is_due

    def forget(self, weights: WeightsNamed, incarnation_id: str) -> None:
        """Note that an engine's end will tell nothing: it leaves as planned."""
        self._trial(weights).ordered.pop(incarnation_id, None)

    def _trial(self, weights: WeightsNamed) -> _Trial:
        trial = self._trials.get(weights.model)
        if trial is None or trial.version != weights.version:
            trial = self._trials[weights.model] = _Trial(weights.version)
        return trial

    def _note_failed(self, trial: _Trial) -> None:
        trial.failed_tries += 1
        trial.failed_s = self._clock()
        if trial.failed_tries > 1:
            pause_s = FIRST_PAUSE_S * PAUSE_FACTOR ** (trial.failed_tries - 2)
            trial.next_s = trial.failed_s + min(MAX_PAUSE_S, pause_s)

    def _explain(self, model: str, trial: _Trial) -> None:
        """Take back the last failed try if enough others ended about then."""
        now_s = self._clock()
        ends_s = self._other_ends_s[model]
        while ends_s and now_s - ends_s[0] > SAME_CAUSE_WITHIN_S:
            ends_s.popleft()
        needed = max(1, int(len(self._listed[model]) * EXPLAINING_SHARE))
        is_recent = now_s - trial.failed_s <= SAME_CAUSE_WITHIN_S
        if trial.failed_tries and is_recent and len(ends_s) >= needed:
            for _ in range(needed):
                ends_s.popleft()
            trial.failed_tries -= 1
            trial.next_s = now_s
