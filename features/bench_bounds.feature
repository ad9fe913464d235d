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
