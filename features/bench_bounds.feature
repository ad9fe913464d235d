Feature: The bench holds its regression bounds
  Seeded traces in modelled time, so the verdict is the same on every run.
  Bounds are ratios within one run: prefix-aware hit rate at least 0.9 of
  the oracle's and 1.5 times round-robin's, wasted recomputation at most a
  quarter of round-robin's, p99 time to first token no worse than
  least-loaded's, no duplicates and none lost.

  Scenario Outline: Prefix-aware routing holds the bounds on <scenario>
    When the bench runs scenario "<scenario>" with seed 1 and 1500 requests
    Then every regression bound holds

    Examples:
      | scenario |
      | hivatal  |
      | exchange |
  Scenario: What seven routers tell each other holds their tail down
    When scenarios "hivatal-7" and "hivatal-7-mute" run with seed 1
    Then the first one's p99 time to first token is at most 0.5 of the second's
    And nothing was run twice or lost in either

  Scenario: Shedding the low class protects the high one in a burst
    When scenarios "burst-shed" and "burst" run with seed 1
    Then the first one's p99 for "checklist" is at most 0.8 of the second's
    And only "notes" and "status" were refused
    And nothing was run twice or lost in either

  Scenario: Routers that restart together go on warm
    When scenarios "router-herd" and "router-herd-cold" run with seed 1
    Then the first one's wasted tokens are at most 0.8 of the second's
    And nothing was run twice or lost in either

  Scenario: Lost cache events cost little recomputation
    When policies "prefix_aware" and "round_robin" run scenario "event-loss" with seed 1
    Then the first one's wasted tokens are at most 0.06 of the second's
    And nothing was run twice or lost in either
