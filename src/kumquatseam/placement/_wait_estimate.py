"""Learning how long engines really take to the first event.

Under load an engine takes longer than the tokens it has to read make believe: it
reads them between the steps of other requests, and long prompts take more than
their share. How much longer differs from engine to engine, with the mix of requests
and from minute to minute, so it is learnt from what was sent and when its first event
came. Without this, most of what is let in at an overload comes just too late.
"""

import attrs

#: answers that weigh as much as all that came before: a few seconds of an
#: instance's requests, so that it follows a change of load.
MEMORY_ANSWERS = 40
#: what is believed before anything was learnt, as so many answers that came as
#: expected, and how far apart their waits lie.
PRIOR_ANSWERS = 6
PRIOR_SPREAD_MS = 300.0
#: least and most that the real wait grows with the believed one.
MIN_SLOPE = 0.7
MAX_SLOPE = 4.0
#: most that an answer takes with no wait at all.
MAX_BASE_MS = 400.0
#: an answer that took longer than this many times what was expected, and a second,
#: tells of a failure and not of the load.
OUTLIER_FACTOR = 4.0
OUTLIER_MS = 1000.0


@attrs.define
class WaitEstimate:
    """A line through believed and observed waits; recent ones weigh most.

    Pure: nothing here reads a clock or waits.
    """

    _weight: float = PRIOR_ANSWERS
    _believed: float = PRIOR_ANSWERS * PRIOR_SPREAD_MS
    _observed: float = PRIOR_ANSWERS * PRIOR_SPREAD_MS
    _squares: float = PRIOR_ANSWERS * 2 * PRIOR_SPREAD_MS**2
    _products: float = PRIOR_ANSWERS * 2 * PRIOR_SPREAD_MS**2

    def note(self, believed_ms: float, observed_ms: float) -> None:
        """Take in how long a first event took that was believed to take so long."""
        longest_ms = self.expected_ms(believed_ms) * OUTLIER_FACTOR + OUTLIER_MS
        observed_ms = min(observed_ms, longest_ms)
        kept = 1 - 1 / MEMORY_ANSWERS
        self._weight = self._weight * kept + 1
        self._believed = self._believed * kept + believed_ms
        self._observed = self._observed * kept + observed_ms
        self._squares = self._squares * kept + believed_ms**2
        self._products = self._products * kept + believed_ms * observed_ms

    def expected_ms(self, believed_ms: float) -> float:
        """Return how long a first event will take that is believed to take so long."""
        slope, base_ms = self._line()
        return base_ms + slope * believed_ms

    def believed_ms(self, expected_ms: float) -> float:
        """Return what is believed of a wait that will take so long."""
        slope, base_ms = self._line()
        return max(0.0, (expected_ms - base_ms) / slope)

    def _line(self) -> tuple[float, float]:
        """Return the slope and the base of the line."""
        mean_believed = self._believed / self._weight
        mean_observed = self._observed / self._weight
        spread = self._squares / self._weight - mean_believed**2
        common = self._products / self._weight - mean_believed * mean_observed
        slope = common / spread if spread > 1.0 else 1.0
        slope = min(MAX_SLOPE, max(MIN_SLOPE, slope))
        base_ms = mean_observed - slope * mean_believed
        return slope, min(MAX_BASE_MS, max(0.0, base_ms))
