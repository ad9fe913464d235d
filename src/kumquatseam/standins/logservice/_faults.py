"""Faults the log service stand-in can be told to show."""

import attrs


@attrs.define
class LogFaults:
    """What is wrong with the log service now.

    :param down: every call is refused, nothing is done.
    :param slow_s: every call takes this much longer.
    :param lose_answers: this many of the next appends take effect without an
        answer.
    :param drop_appends: this many of the next appends are lost on the way:
        no answer and no effect.
    :param late_appends: this many of the next appends get no answer and take
        effect later (in process only).
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    drop_appends: int = 0
    late_appends: int = 0

    def take_lost_answer(self) -> bool:
        """Return whether the answer to this append is to be lost."""
        return self._take("lose_answers")

    def take_dropped_append(self) -> bool:
        """Return whether this append is to be lost before it takes effect."""
        return self._take("drop_appends")

    def take_late_append(self) -> bool:
        """Return whether this append is to take effect only later."""
        return self._take("late_appends")

    def _take(self, fault: str) -> bool:
        left = getattr(self, fault)
        setattr(self, fault, max(0, left - 1))
        return left > 0
