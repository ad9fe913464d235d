"""Modelled time for steps that need no sleeping."""


class Clock:
    """Seconds that pass when a step says so."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s

    def sleep(self, pause_s: float) -> None:
        """Let seconds pass at once."""
        self.now_s += pause_s
