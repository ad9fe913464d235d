"""Limiting each team's concurrent requests across the fleet."""

import collections
import contextlib
import math
from collections.abc import Callable, Iterator

from kumquatseam.request_errors import TeamLimitError
from kumquatseam.settings import TeamSettings

#: retry delay given to callers of a team at its limit.
RETRY_AFTER_S = 0.5


class TeamLimiter:
    """Enforces this router's share of each team's concurrency limit.

    The load balancer spreads callers over the routers, so each router enforces the
    fleet's limit divided by the number of live routers. This way requests do not
    wait for coordination between routers.

    :param count_routers: returns the number of live routers, this one included.
    """

    def __init__(self, count_routers: Callable[[], int] = lambda: 1) -> None:
        self._count_routers = count_routers
        self._running: collections.Counter[str] = collections.Counter()

    def share(self, team: TeamSettings) -> int:
        """Return how many requests of ``team`` this router may run at once."""
        return math.ceil(team.max_running / max(1, self._count_routers()))

    def running(self) -> dict[str, int]:
        """Return the number of running requests by team, without zeros."""
        return {team: count for team, count in self._running.items() if count}

    @contextlib.contextmanager
    def running_request(self, team: TeamSettings) -> Iterator[None]:
        """Count a request of ``team`` as running for the block's duration.

        :raises TeamLimitError: if ``team`` already runs its share of requests.
        """
        share = self.share(team)
        if team.max_running and self._running[team.name] >= share:
            raise TeamLimitError(team.name, share, RETRY_AFTER_S)
        self._running[team.name] += 1
        try:
            yield
        finally:
            self._running[team.name] -= 1
