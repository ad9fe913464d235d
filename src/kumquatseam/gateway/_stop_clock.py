"""When this instance stops, and which requests it may begin until then."""

import math
import time

from kumquatseam.gateway._refusals import Reason, RefusedError

#: new connections, and requests that are expected to end in time, are accepted for this
#: long after a stop was requested; the load balancer needs two failed health checks, a
#: second apart, to detect it. Later ones come on kept connections only, and others
#: serve them at once, so they need not rely on an estimate.
ADMIT_WHILE_STOPPING_S = 2.6
#: Retry-After of an instance that stops; others serve the request at once.
STOPPING_RETRY_S = 0.05


class StopClock:
    """Tells how long requests may still take, once a stop was requested."""

    def __init__(self) -> None:
        #: when the stop was requested, and when what is still served is cut.
        self.began_s = self._end_s = math.inf

    def begin(self, end_s: float) -> None:
        """Note that a stop was requested.

        :param end_s: when what is still served is cut, in monotonic time.
        """
        self.began_s = time.monotonic()
        self._end_s = end_s

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.began_s != math.inf

    @property
    def left_s(self) -> float:
        """Time until what is still served is cut; infinite unless it stops."""
        return max(0.0, self._end_s - time.monotonic())

    def check(self, complete_s: float, end_s: float, allowed_s: float) -> None:
        """Check that a request that is sent now can end before the stop.

        :param complete_s: when it had been received.
        :param end_s: when its deadline passes; it ends by then in any case.
        :param allowed_s: the time to allow for it.
        :raises RefusedError: if it may be cut.
        """
        if end_s <= self._end_s:
            return
        is_late = complete_s > self.began_s + ADMIT_WHILE_STOPPING_S
        if is_late or allowed_s > self.left_s:
            needed = "more than is certain" if is_late else f"{allowed_s:.2f} s"
            detail = f"needs {needed}, {self.left_s:.2f} s left"
            raise RefusedError(503, Reason.STOPPING, STOPPING_RETRY_S, detail)
