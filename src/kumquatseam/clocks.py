"""The clock by which permissions and beliefs run out."""

import time

#: ``None`` where the platform has no clock that goes on during a suspension.
_SUSPEND_AWARE_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def elapsed_s() -> float:
    """Return seconds that also pass while the machine is suspended.

    ``time.monotonic`` stands still then, so what others took over or changed
    meanwhile would look as fresh as before. The values of the two do not compare.
    Where the platform has no other clock, it is ``time.monotonic``.
    """
    if _SUSPEND_AWARE_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_SUSPEND_AWARE_CLOCK)
