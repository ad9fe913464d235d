"""When this instance stops, and which requests it may begin until then."""

import math
import time


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
        if end_s > self._end_s:
            # Loaded by then: the stop has begun.
            from kumquatseam.gateway._server_stop import check_request

            check_request(self, complete_s, allowed_s)
