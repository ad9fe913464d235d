"""Waiting for a stream's first event, limited by the grace of replaced weights."""

import time
from collections.abc import Callable

from kumquatseam.gateway._outcomes import GraceExpiredError
from kumquatseam.http1 import ResponseInterruptedError, SocketWait


class FirstEventWait(SocketWait):
    """A wait that fails once the request may no longer start on its upstream.

    :param remaining_grace_s: returns the guaranteed remaining time in which the request
        may start; called again when that time is over, since a newer version of
        the weights may have been announced meanwhile.
    """

    def __init__(
        self,
        until_s: float,
        address: str,
        caller,
        on_caller: Callable[[], bool],
        remaining_grace_s: Callable[[], float],
    ) -> None:
        super().__init__(until_s, address, caller, on_caller)
        self._remaining_grace_s = remaining_grace_s
        self._has_started = False

    def note_first_event(self) -> None:
        """Stop limiting the wait: the request started, or will not stream."""
        self._has_started = True

    def __call__(self, upstream, wants_write: bool) -> bool:
        while not self._has_started:
            left_s = self._remaining_grace_s()
            if left_s <= 0:
                raise GraceExpiredError
            recheck_at_s = time.monotonic() + left_s
            if recheck_at_s >= self.until_s:
                break
            until_s, self.until_s = self.until_s, recheck_at_s
            try:
                return super().__call__(upstream, wants_write)
            except ResponseInterruptedError:
                continue
            finally:
                self.until_s = until_s
        return super().__call__(upstream, wants_write)
