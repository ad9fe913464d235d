"""Noticing that this process stood still, and what arrived meanwhile waited."""

from collections.abc import Callable

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger

_log = part_logger("feeds")

#: seconds between two signs that the process runs.
PULSE_S = 0.2
#: a sign that is later than this means that the process stood still; one that is
#: short of processor time is some tenths of a second late.
STANDSTILL_MIN_S = 0.7
#: for this long after a standstill, what was sent in it may still arrive: peers go
#: on sending what they could not send.
RECOVERY_S = 1.0


class Standstills:
    """Knows whether what arrives now may have waited for this process to go on.

    A process that was frozen finds everything that was sent to it meanwhile in its
    sockets, as if it had been sent just now.

    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_s) -> None:
        self._clock = clock
        self._running_s: float | None = None
        self._began_s = self._ended_s = float("-inf")

    def note_running(self) -> None:
        """Note that the process runs; to be called every :data:`PULSE_S`."""
        now_s = self._clock()
        last_s = self._running_s if self._running_s is not None else now_s
        self._running_s = now_s
        if now_s - last_s <= STANDSTILL_MIN_S:
            return
        if not self._is_recovering(last_s):
            self._began_s = last_s
        self._ended_s = now_s
        for_s = round(now_s - last_s, 2)
        _log.bind(for_s=for_s).warning("The process stood still.")

    def unseen_s(self) -> float:
        """Return for how long what arrives now may have waited."""
        self.note_running()
        now_s = self._clock()
        return now_s - self._began_s if self._is_recovering(now_s) else 0.0

    def _is_recovering(self, now_s: float) -> bool:
        return now_s - self._ended_s <= RECOVERY_S
