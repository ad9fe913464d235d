"""The requests that were served recently."""

import collections
import time
from collections.abc import Callable

#: maximum number of requests; the least recently served are evicted. About 100 bytes
#: each.
MAX_SERVED = 2048


class ServedRequests:
    """Fingerprints of the requests that upstreams completed recently.

    A popular request runs on several upstreams at any time, so it is implicated when
    they crash for another reason. Having been served since the first crash clears it.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._served_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Record that a request was completed just now."""
        self._served_s[fingerprint] = self._clock()
        self._served_s.move_to_end(fingerprint)
        if len(self._served_s) > MAX_SERVED:
            self._served_s.popitem(last=False)

    def was_served_within(self, fingerprint: str, age_s: float) -> bool:
        """Return whether a request was served within the last ``age_s`` seconds."""
        served_s = self._served_s.get(fingerprint)
        return served_s is not None and self._clock() - served_s <= age_s
