"""A retry budget: a share of the requests in a sliding window."""

import collections
import time
from collections.abc import Callable

from kumquatseam.settings import AdmissionSettings


class RetryBudget:
    """Allows retries up to a share of the requests plus a slack.

    When an engine fails or many restart at once, retries multiply the load on the
    other engines by at most ``1 + ratio``, plus the slack, instead of by the number
    of attempts.

    :param settings: the ratio, the slack and the window.
    :param count_routers: returns the number of routers that share the slack, which
        applies to the whole fleet.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        count_routers: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._count_routers = count_routers
        self._clock = clock
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    @property
    def retries_in_window(self) -> int:
        """Retries in the window, as of the last call of :meth:`try_acquire`."""
        return len(self._retries)

    def record_request(self) -> None:
        """Count a caller's request, which enlarges the budget."""
        self._requests.append(self._clock())

    def try_acquire(self) -> bool:
        """Return whether one more retry is allowed, and count it if so."""
        now_s = self._clock()
        oldest_s = now_s - self._settings.retry_window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()
        slack = self._settings.retry_budget_slack / max(1, self._count_routers())
        allowed = self._settings.retry_budget_ratio * len(self._requests) + slack
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True
