"""Whether the event loop ever has nothing to do."""

import time

import gevent


class LoopIdleness:
    """Finds out for how long the event loop has always had events to handle.

    A loop that never runs out of events has more work than its process can do: each
    event is handled later than the one before it. The length of its wait for events
    would not tell, since the process may also wait for a processor at that moment.
    """

    def __init__(self) -> None:
        # Called when no other event is pending.
        self._watcher = gevent.get_hub().loop.idle(ref=False)
        self._began_s: float | None = None
        self._began_processor_s = 0.0

    def close(self) -> None:
        """Stop observing the loop."""
        self._watcher.stop()
        self._watcher.close()
        self._began_s = None

    def observe(self) -> None:
        """Observe the loop until it is idle; with each call that finds it idle anew."""
        if self._began_s is None:
            self._began_s = time.monotonic()
            self._began_processor_s = time.process_time()
            self._watcher.start(self._note_idle)

    @property
    def busy_s(self) -> float:
        """The time for which the observed loop has not been idle."""
        return time.monotonic() - self._began_s if self._began_s is not None else 0.0

    @property
    def busy_processor_s(self) -> float:
        """The processor time that this process used meanwhile."""
        if self._began_s is None:
            return 0.0
        return time.process_time() - self._began_processor_s

    def _note_idle(self) -> None:
        self._watcher.stop()
        self._began_s = None
