Feature: Engines left behind on old weights
  Newly named weights must reach every engine within eleven seconds, the users' limit.
  Engines were left behind if an earlier order was lost, sent twice, refused or counted
  wrongly.

  Scenario: Engines that received an order twice accept the next one
    Given the lease holder with 9 engines that load within 4 s
    When weights 2 become the target, and 15 seconds pass
    Then 9 engines run weights 2
    When loads take 0.6 s from now on
    And weights 3 become the target, and 8 seconds pass
    Then 9 engines run weights 3

  Scenario: Engines that received an order twice, and whose reports are lost, accept the next one
    Given the lease holder with 9 engines that load within 4 s
    And their reports are lost while they load
    When weights 2 become the target, and 15 seconds pass
    Then 9 engines run weights 2
    When loads take 0.6 s from now on
    And weights 3 become the target, and 8 seconds pass
    Then 9 engines run weights 3

  Scenario: Engines that are executing an order do not receive it again
    Given the lease holder with 9 engines that load within 4 s
    When weights 2 become the target, and 15 seconds pass
    Then 9 engines run weights 2
    And every engine was ordered 1 time

  Scenario: Engines that refuse every order do not count against the loading limit
    Given the lease holder with 9 engines that load within 0.6 s
    And 3 of them refuse every order
    When weights 2 become the target, and 11 seconds pass
    Then 6 engines run weights 2
    And the engines that refuse were open to requests most of the time
    And each of them was ordered at most 12 times

  Scenario: A wrong count of accepted orders is corrected in both directions
    Given the lease holder with 9 engines that load within 0.6 s
    When weights 2 become the target, and 8 seconds pass
    And the holder's count of accepted orders is 2 too high for each engine
    And weights 3 become the target, and 11 seconds pass
    Then 9 engines run weights 3
    When the holder's count of accepted orders is 2 too low for each engine
    And weights 4 become the target, and 11 seconds pass
    Then 9 engines run weights 4

  Scenario: A step for one model keeps the pending orders of another
    Given the lease holder with 4 engines of each of 2 models that load within 2 s
    When weights 2 of 2 models become the target, and 11 s pass
    Then 8 engines run weights 2
    And every engine was ordered 1 time

  Scenario Outline: Weights that are named repeatedly reach the engines that lag most
    Given the lease holder with 9 engines that load within <load_s> s
    And each engine has 13 runs, in 4 availability zones
    When weights are named <count> times, <pause_s> s apart, and 14 seconds pass
    Then each version reached all engines but one within 11 s

    Examples:
      | load_s | count | pause_s |
      | 0.8    | 4     | 3.5     |
      | 2      | 4     | 3.5     |
      | 1.5    | 6     | 2       |
      | 2      | 8     | 1       |

  Scenario: Engines whose reports never arrive still accept the next order
    Given the lease holder with 9 engines that load within 0.6 s
    And the first order to 3 of them is executed 30 s later and not answered
    And the reports of 3 of them never arrive
    When weights 2 become the target, and 0 seconds pass
    And 11 seconds pass, and the upstream list shows the weights of each engine
    Then 9 engines run weights 2
    When weights 3 become the target, and 0 seconds pass
    And 11 seconds pass, and the upstream list shows the weights of each engine
    Then 9 engines run weights 3

  Scenario: An engine that refuses while it begins to load still counts as loading
    Given the lease holder with 9 engines that load within 2 s
    And the first order to 9 of them is executed 0.65 s later and not answered
    When weights 2 become the target, and 11 seconds pass
    Then 9 engines run weights 2
    And at most 3 engines loaded at the same time, and none was open to requests meanwhile

  Scenario: A holder that briefly loses its lease counts no order twice
    Given the lease holder with 9 engines that load within 1.2 s
    When weights 2 become the target, and 0.5 seconds pass
    And the lease is lost for 0.2 seconds
    And 11 seconds pass, and the upstream list shows the weights of each engine
    Then 9 engines run weights 2
    When weights 3 become the target, and 11 seconds pass
    Then 9 engines run weights 3

  Scenario: An engine's own entry overrides the version recorded from a notice
    Given the lease holder with 9 engines that load within 0.6 s
    When weights 2 become the target, and 8 seconds pass
    And one engine refuses every order from now on
    And an engine that runs weights 2 is recorded as running weights 3
    And weights 3 become the target, and 0 seconds pass
    And 11 seconds pass, and the upstream list shows the weights of each engine
    Then 8 engines run weights 3

  Scenario Outline: Long runs do not keep engines on old weights beyond the time limit
    Given the lease holder with 9 engines that load within 0.6 s
    And each engine has 13 runs, in 4 availability zones
    And runs end <runs_end_s> s after their engine is closed to requests
    And requests may begin on replaced weights for 8 s, and all engines have to load within 11 s
    When weights are named 1 times, 0 s apart, and 20 seconds pass
    Then each version reached all engines but one within 11 s
    And at most <most> engines loaded weights while they had runs

    Examples:
      | runs_end_s | most |
      | 0.5        | 0    |
      | 2          | 0    |
      | 4          | 6    |
      | 8          | 6    |

  Scenario: Engines that end after they accepted an order stop counting as loading
    Given the lease holder with 9 engines that load within 0.6 s
    And 3 of them end undetected when they accept an order
    When weights 2 become the target, and 2.5 seconds pass
    Then 3 engines run weights 2
    When 8.5 seconds pass, and the upstream list shows the weights of each engine
    Then 6 engines run weights 2

  Scenario: Engines that accept an order and never load do not block the others
    Given 9 engines to load, 3 of which accept the order and never load
    When the router that holds the rollout lease runs for 11 s
    Then the other 6 engines have loaded
