"""Whether weights can be loaded, from what became of the engines ordered to them.

Weights that cannot be loaded end every engine that tries. Engines also end for
other reasons while they load, and a rollout must not stop for those. The two are
told apart by the first engine that runs the weights: from then on they are known
to load. Until then one engine at a time tries after the first ones ended, with a
pause that grows from try to try.
"""

import time
from collections.abc import Callable

import attrs

from kumquatseam.upstreams import WeightsNamed

#: pause before the second try after the first one; the one right after the first
#: wave ended has none, since its engines may have ended for another reason.
FIRST_PAUSE_S = 3.0
PAUSE_FACTOR = 8.0
MAX_PAUSE_S = 600.0
#: an engine that neither ended nor loaded for this long after its order is no
#: longer expected to: longer than an order may be held up on the way.
OUTCOME_WITHIN_S = 15.0


@attrs.define
class _Trial:
    """What is known of one version of a model's weights.

    :param version: the version.
    :param has_loaded: some engine runs it.
    :param failed_tries: how many tries ended their engines, a wave being one.
    :param next_s: no engine is ordered before.
    :param ordered: the engines whose outcome is open, by incarnation, with the
        try they belong to and when they were ordered.
    """

    version: int
    has_loaded: bool = False
    failed_tries: int = 0
    next_s: float = 0.0
    ordered: dict[str, tuple[int, float]] = attrs.Factory(dict)


class LoadTrials:
    """Limits how many engines load weights that ended all engines so far.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._trials: dict[str, _Trial] = {}

    def most_loading(self, weights: WeightsNamed) -> int | None:
        """Return how many engines may load now; ``None`` without a limit."""
        trial = self._trial(weights)
        if trial.has_loaded or not trial.failed_tries:
            return None
        return 1 if self._clock() >= trial.next_s else 0

    def failed_tries(self, weights: WeightsNamed) -> int:
        """Return how many tries to load some weights ended their engines."""
        trial = self._trial(weights)
        return 0 if trial.has_loaded else trial.failed_tries

    def hear(self, weights: WeightsNamed, failed_tries: int) -> None:
        """Take in how many tries failed under the holder before this one."""
        trial = self._trial(weights)
        if failed_tries > trial.failed_tries:
            self._note_failed(trial, failed_tries)

    def note_ordered(self, weights: WeightsNamed, incarnation_id: str) -> None:
        """Note that an engine is ordered to load weights."""
        trial = self._trial(weights)
        trial.ordered[incarnation_id] = (trial.failed_tries, self._clock())

    def note_loaded(self, weights: WeightsNamed) -> None:
        """Note that some engine runs the weights."""
        trial = self._trial(weights)
        trial.has_loaded = True
        trial.ordered.clear()

    def open_outcomes(self, weights: WeightsNamed) -> list[str]:
        """Return the engines that were ordered and have neither loaded nor ended."""
        trial = self._trial(weights)
        oldest_s = self._clock() - OUTCOME_WITHIN_S
        for incarnation_id, (_, ordered_s) in list(trial.ordered.items()):
            if ordered_s < oldest_s:
                del trial.ordered[incarnation_id]
        return list(trial.ordered)

    def note_ended(self, weights: WeightsNamed, incarnation_id: str) -> None:
        """Note that an engine ended after it was ordered to load weights."""
        trial = self._trial(weights)
        number, _ = trial.ordered.pop(incarnation_id, (-1, 0.0))
        # The others of a wave belong to the same try.
        if number == trial.failed_tries:
            self._note_failed(trial, trial.failed_tries + 1)

    def forget(self, weights: WeightsNamed, incarnation_id: str) -> None:
        """Note that an engine's end will tell nothing: it leaves as planned."""
        self._trial(weights).ordered.pop(incarnation_id, None)

    def _trial(self, weights: WeightsNamed) -> _Trial:
        trial = self._trials.get(weights.model)
        if trial is None or trial.version != weights.version:
            trial = self._trials[weights.model] = _Trial(weights.version)
        return trial

    def _note_failed(self, trial: _Trial, failed_tries: int) -> None:
        trial.failed_tries = failed_tries
        if failed_tries > 1:
            pause_s = FIRST_PAUSE_S * PAUSE_FACTOR ** (failed_tries - 2)
            trial.next_s = self._clock() + min(MAX_PAUSE_S, pause_s)
