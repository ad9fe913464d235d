"""Limits that protect teams and back ends from each other.

- :class:`TeamLimiter` bounds what a team has running over the fleet.
- :class:`RetryBudget` bounds retries to a share of requests.

Shedding by priority class and upstream is part of the routing decision
(:class:`kumquatseam.routing.Router`), since it depends on the candidates.
"""

from kumquatseam.admission._retry_budget import RetryBudget
from kumquatseam.admission._team_limiter import TeamLimiter

__all__ = ["RetryBudget", "TeamLimiter"]
