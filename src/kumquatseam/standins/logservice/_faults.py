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
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    drop_appends: int = 0

    def take_lost_answer(self) -> bool:
        """Return whether the answer to this append is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return False

    def take_dropped_append(self) -> bool:
        """Return whether this append is to be lost before it takes effect."""
        if self.drop_appends > 0:
            self.drop_appends -= 1
            return True
        return False
