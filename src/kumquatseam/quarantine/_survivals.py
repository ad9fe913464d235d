"""Runs with a watched part that did not crash their upstreams."""

import collections
from collections.abc import Callable

from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import RunEnded
from kumquatseam.quarantine._owners import OwnerClient

#: interval at which runs with one part are reported.
REPORT_INTERVAL_S = 0.25
#: how much later each further instance reports a part first, on average: most of a
#: large fleet learn before that the part was cleared.
DELAY_PER_INSTANCE_S = 0.001


class SurvivalReporter:
    """Counts the runs with watched parts for their owners.

    :param owners: sends the counts.
    :param suspects: the watched parts.
    :param count_instances: returns the number of instances.
    :param call_later: calls a function after a delay in seconds.
    :param draw_uniform: returns a random number between two bounds.
    """

    def __init__(
        self,
        owners: OwnerClient,
        suspects: SuspectList,
        count_instances: Callable[[], int],
        call_later: Callable[..., object],
        draw_uniform: Callable[[float, float], float],
    ) -> None:
        self._owners = owners
        self._suspects = suspects
        self._count_instances = count_instances
        self._call_later = call_later
        self._draw_uniform = draw_uniform
        self._counts: collections.Counter[str] = collections.Counter()
        self._scheduled: set[str] = set()

    def add(self, part: str) -> None:
        """Count a run with a part, which is reported a moment later."""
        self._counts[part] += 1
        if part not in self._scheduled:
            self._scheduled.add(part)
            longest_s = DELAY_PER_INSTANCE_S * self._count_instances()
            delay_s = self._draw_uniform(0.0, longest_s)
            self._call_later(delay_s, self._report, part)

    def report_trial(self, part: str) -> None:
        """Report a trial of a part at once."""
        self._send(part, 1, is_trial=True)

    def _report(self, part: str) -> None:
        count = self._counts.pop(part, 0)
        if not count or part not in self._suspects:
            self._counts.pop(part, None)
            self._scheduled.discard(part)
            return
        self._send(part, count, is_trial=False)
        self._call_later(REPORT_INTERVAL_S, self._report, part)

    def _send(self, part: str, count: int, is_trial: bool) -> None:
        number = self._owners.next_number()
        self._owners.call(RunEnded(number, part, True, count, is_trial))
