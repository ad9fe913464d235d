"""How long the requests take that an instance carries for others."""

import math
import time
from collections.abc import Callable

from kumquatseam.metrics import RecentLongest


class CarriedTimes:
    """Tells whether a request that is begun now ends before this instance stops.

    :param end_s: when this instance stops, in monotonic time.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, end_s: float = math.inf, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.end_s = end_s
        self._clock = clock
        self._longest = RecentLongest(clock)

    def record(self, sent_s: float) -> None:
        """Record that the response to a request is complete.

        :param sent_s: when the request was sent.
        """
        self._longest.record(self._clock() - sent_s)

    @property
    def ends_in_time(self) -> bool:
        """Whether a request that is begun now is expected to end before the stop."""
        if self.end_s == math.inf:
            return True
        return self._clock() + self._longest.allowed_s < self.end_s
