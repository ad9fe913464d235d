"""Admission limits that protect teams and upstreams from each other.

- :class:`RetryCause` says why a request is sent once more.
- :class:`kumquatseam.admission.token_bucket.TokenBucket` limits consumption to a rate
  and a burst; ``quotas`` uses it for fleet-wide quotas. It is not exported here, since
  gateways load it with the first quota.
- :class:`kumquatseam.admission.retry_budget.RetryBudget` limits the retries of one
  process to a share of its requests. It is not exported here, since only routers need
  it; gateways share a budget (``quotas``).
- :class:`kumquatseam.admission.team_limiter.TeamLimiter` limits a team's concurrent
  requests across the fleet. It is not exported here, since only routers need it.

Load shedding by priority class and upstream is part of the routing decision
(:class:`kumquatseam.routing.Router`), since it depends on the candidates.
"""

from kumquatseam.admission._retry_cause import RetryCause

__all__ = ["RetryCause"]
