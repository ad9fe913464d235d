"""Limits that protect teams and back ends from each other.

- :class:`RetryBudget` bounds retries to a share of requests.
- :class:`TokenBucket` bounds what is taken to a rate and a burst; ``quotas`` keeps
  one a team for all instances.
- :class:`kumquatseam.admission.team_limiter.TeamLimiter` bounds what a team has
  running over the fleet; it is imported by itself, since only routers need it.

Shedding by priority class and upstream is part of the routing decision
(:class:`kumquatseam.routing.Router`), since it depends on the candidates.
"""

from kumquatseam.admission._retry_budget import RetryBudget
from kumquatseam.admission._token_bucket import TokenBucket

__all__ = ["RetryBudget", "TokenBucket"]
