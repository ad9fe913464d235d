"""Counting events by time."""

import collections
import itertools
import math
from collections.abc import Sequence


class StepCount:
    """Counts events by time in steps, with memory for the newest steps only.

    :param step_s: length of a step in seconds.
    :param kept_steps: number of steps, the current one included.
    """

    def __init__(self, step_s: float, kept_steps: int) -> None:
        self._step_s = step_s
        self._newest = 0
        self._amounts: collections.deque[float] = collections.deque(maxlen=kept_steps)
        self._amounts.extend([0.0] * kept_steps)

    def add(self, amount: float, at_s: float, now_s: float) -> None:
        """Count events; a negative amount takes back earlier ones."""
        self._advance(now_s)
        age = self._newest - math.floor(at_s / self._step_s)
        if 0 <= age < len(self._amounts):
            self._amounts[age] += amount

    def by_age(self, now_s: float) -> tuple[float, ...]:
        """Return the events by age in steps, the newest first."""
        self._advance(now_s)
        return tuple(self._amounts)

    def totals_by_age(self, now_s: float) -> list[float]:
        """Return how many events are at most so many steps old, by that number."""
        self._advance(now_s)
        return list(itertools.accumulate(self._amounts))

    def add_by_age(self, by_age: Sequence[float], now_s: float) -> None:
        """Add events counted elsewhere, by age in steps, the newest first."""
        self._advance(now_s)
        for age, amount in enumerate(by_age[: len(self._amounts)]):
            self._amounts[age] += amount

    def clear(self) -> None:
        """Forget all events."""
        for age in range(len(self._amounts)):
            self._amounts[age] = 0.0

    def _advance(self, now_s: float) -> None:
        newest = math.floor(now_s / self._step_s)
        for _ in range(min(newest - self._newest, len(self._amounts))):
            self._amounts.appendleft(0.0)
        self._newest = max(newest, self._newest)
