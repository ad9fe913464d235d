"""Waiting for a stream to begin, as long as it may begin."""

import time
from collections.abc import Callable

from kumquatseam.gateway._outcomes import CalledBackError
from kumquatseam.http1 import AnswerBrokenError, Wait


class BeginWait(Wait):
    """A wait that ends when the request may no longer begin.

    :param remaining_grace_s: returns how much longer at least it may begin where it
        waits; asked again then, since newer weights may be named meanwhile.
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
        self._begin_left_s = remaining_grace_s
        self._has_begun = False

    def note_begun(self) -> None:
        """Note that the request began, or never will."""
        self._has_begun = True

    def __call__(self, upstream, wants_write: bool) -> bool:
        while not self._has_begun:
            left_s = self._begin_left_s()
            if left_s <= 0:
                raise CalledBackError
            look_s = time.monotonic() + left_s
            if look_s >= self.until_s:
                break
            until_s, self.until_s = self.until_s, look_s
            try:
                return super().__call__(upstream, wants_write)
            except AnswerBrokenError:
                continue
            finally:
                self.until_s = until_s
        return super().__call__(upstream, wants_write)
