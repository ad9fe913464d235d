"""Which instances did not answer lately."""

import time
from collections.abc import Callable

import attrs

#: an instance that does not answer is passed over for this long, doubling with
#: each silence in a row up to the second figure. A single lost datagram should
#: not split what is known in two for long.
SILENT_S = 0.25
MAX_SILENT_S = 8.0


@attrs.define
class _Silence:
    """An instance that did not answer.

    :param in_row: silences since it was last heard.
    :param until_s: passed over until then.
    """

    in_row: int = 0
    until_s: float = 0.0


class UnresponsivePeers:
    """Remembers instances that did not answer, so that others are asked.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._silences: dict[str, _Silence] = {}

    def is_silent(self, name: str) -> bool:
        """Return whether an instance is passed over for now."""
        silence = self._silences.get(name)
        return silence is not None and silence.until_s > self._clock()

    def note_heard(self, name: str) -> None:
        """Note that an instance answered."""
        self._silences.pop(name, None)

    def note_silent(self, name: str) -> float:
        """Note that an instance did not answer; return for how long to pass it over."""
        silence = self._silences.setdefault(name, _Silence())
        silence.in_row += 1
        pause_s = min(MAX_SILENT_S, SILENT_S * 2 ** (silence.in_row - 1))
        silence.until_s = self._clock() + pause_s
        return pause_s
