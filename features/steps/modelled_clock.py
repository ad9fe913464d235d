"""Modelled time for steps that run without sleeping."""


class Clock:
    """A monotonic clock that steps advance explicitly."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s

    def sleep(self, pause_s: float) -> None:
        """Advance the clock instead of sleeping."""
        self.now_s += pause_s
