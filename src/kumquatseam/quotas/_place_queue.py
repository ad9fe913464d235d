"""Requests of all instances that wait for a place at one upstream."""

import attrs

#: a request that has its turn is waited for this long before others may take its place.
HELD_S = 0.05
#: one that does not ask this long after its turn has given up.
LATE_S = 0.25
#: share of its longest wait in which a request has to expect its turn, or it does not
#: wait at all: places may get free later than expected.
MAX_EXPECTED_SHARE = 0.8


@attrs.define
class _Waiting:
    """A request that waits.

    :param due_s: when it was told to ask again.
    """

    due_s: float


class PlaceQueue:
    """Keeps the order in which requests came, and when they ask again."""

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def may_take(self, key: str, free: int, now_s: float, soon_s: float) -> bool:
        """Return whether a request may take a place; it no longer waits then.

        :param free: number of free places. Those that wait and have their turn come
            first, in the order in which they came.
        :param soon_s: those that ask again by then come before one that has just come.
        """
        self._drop_late(now_s)
        before = 0
        until_s = now_s if key in self._waiting else soon_s
        for other, waiting in self._waiting.items():
            if other == key:
                break
            before += waiting.due_s <= until_s and now_s <= waiting.due_s + HELD_S
        if free <= before:
            return False
        self.leave(key)
        return True

    def wait(
        self,
        key: str,
        interval_s: float,
        earliest_s: float,
        latest_s: float,
        now_s: float,
    ) -> tuple[float, bool]:
        """Let a request wait, if it will do so for long enough.

        :param interval_s: time between two places that get free.
        :param earliest_s: when the first one may be taken.
        :param latest_s: until when it waits.
        :returns: when to ask again, and whether it waits until then.
        """
        position = len(self._waiting)
        if key in self._waiting:
            position = list(self._waiting).index(key)
        else:
            latest_s = now_s + (latest_s - now_s) * MAX_EXPECTED_SHARE
        # Half an interval early on average, so that no place stands empty.
        due_s = earliest_s + (position + 0.5) * interval_s
        if due_s > latest_s:
            self.leave(key)
            return due_s, False
        self._waiting.setdefault(key, _Waiting(due_s)).due_s = due_s
        return due_s, True

    def leave(self, key: str) -> None:
        """Have a request wait no longer."""
        self._waiting.pop(key, None)

    def _drop_late(self, now_s: float) -> None:
        for key, waiting in list(self._waiting.items()):
            if waiting.due_s + LATE_S < now_s:
                del self._waiting[key]
