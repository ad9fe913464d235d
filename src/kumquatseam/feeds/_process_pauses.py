"""Detection of pauses of this process, during which messages were delayed."""

from collections.abc import Callable

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger

_log = part_logger("feeds")

#: interval of the heartbeats that show that the process runs.
HEARTBEAT_INTERVAL_S = 0.2
#: a longer gap between heartbeats means that the process was suspended; a shortage
#: of processor time delays one by some tenths of a second.
PAUSE_MIN_S = 0.7
#: messages sent during a pause may still arrive for this long after it: peers send
#: what they had to hold back.
RECOVERY_S = 1.0


class ProcessPauses:
    """Detects whether messages that arrive now may have been delayed by a pause.

    After a pause, a process finds the messages of that time in its socket buffers,
    where they look as if they had just been sent.

    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_s) -> None:
        self._clock = clock
        self._last_heartbeat_s: float | None = None
        self._pause_start_s = self._pause_end_s = float("-inf")

    def note_running(self) -> None:
        """Record a heartbeat; call this every :data:`HEARTBEAT_INTERVAL_S`."""
        now_s = self._clock()
        last_s = self._last_heartbeat_s if self._last_heartbeat_s is not None else now_s
        self._last_heartbeat_s = now_s
        if now_s - last_s <= PAUSE_MIN_S:
            return
        if not self._is_recovering(last_s):
            self._pause_start_s = last_s
        self._pause_end_s = now_s
        for_s = round(now_s - last_s, 2)
        _log.bind(for_s=for_s).warning("The process was suspended.")

    def max_delay_s(self) -> float:
        """Return by how much a message that arrives now may be delayed."""
        self.note_running()
        now_s = self._clock()
        return now_s - self._pause_start_s if self._is_recovering(now_s) else 0.0

    def _is_recovering(self, now_s: float) -> bool:
        return now_s - self._pause_end_s <= RECOVERY_S
