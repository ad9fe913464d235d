"""The clock for the expiry of leases and of cached state."""

import time

#: ``None`` on platforms without a clock that advances during a suspension.
_SUSPEND_AWARE_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def elapsed_s() -> float:
    """Return monotonic time in seconds that includes machine suspensions.

    ``time.monotonic`` does not advance during a suspension, so a lease or cached
    state that expired in that time would still look valid. The values of the two
    clocks are not comparable. On platforms without such a clock the time is
    ``time.monotonic``.
    """
    if _SUSPEND_AWARE_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_SUSPEND_AWARE_CLOCK)
