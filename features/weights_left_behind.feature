Feature: Engines left behind on old weights
  Weights that are named reach every engine, whatever came of earlier orders: the
  users allow eleven seconds in all.

  Scenario: Engines that were told an order twice take the next one
    Given the holder of the duty before 9 engines that load within 4 s
    When weights 2 are to be in force, and 15 seconds pass
    Then 9 engines run weights 2
    When loads take 0.6 s from now on
    And weights 3 are to be in force, and 8 seconds pass
    Then 9 engines run weights 3

  Scenario: Engines that were told an order twice, and whose reports are lost, take the next one
    Given the holder of the duty before 9 engines that load within 4 s
    And their reports are lost while they load
    When weights 2 are to be in force, and 15 seconds pass
    Then 9 engines run weights 2
    When loads take 0.6 s from now on
    And weights 3 are to be in force, and 8 seconds pass
    Then 9 engines run weights 3

  Scenario: Engines at work on an order are not told it again
    Given the holder of the duty before 9 engines that load within 4 s
    When weights 2 are to be in force, and 15 seconds pass
    Then 9 engines run weights 2
    And every engine was ordered 1 time

  Scenario: Engines that refuse every order hold no place among those that load
    Given the holder of the duty before 9 engines that load within 0.6 s
    And 3 of them refuse every order
    When weights 2 are to be in force, and 11 seconds pass
    Then 6 engines run weights 2
    And the engines that refuse took work most of the time
    And each of them was ordered at most 12 times

  Scenario: A wrong count of orders is corrected, whichever way
    Given the holder of the duty before 9 engines that load within 0.6 s
    When weights 2 are to be in force, and 8 seconds pass
    And the holder believes 2 more orders of each engine than there were
    And weights 3 are to be in force, and 11 seconds pass
    Then 9 engines run weights 3
    When the holder believes 2 fewer orders of each engine than there were
    And weights 4 are to be in force, and 11 seconds pass
    Then 9 engines run weights 4

  Scenario: Orders to the engines of one model outlast the steps of another
    Given the holder of the duty before 4 engines of each of 2 models that load within 2 s
    When weights 2 of 2 models are to be in force, and 11 s pass
    Then 8 engines run weights 2
    And every engine was ordered 1 time

  Scenario Outline: Weights that are named again and again reach the engines that lag most
    Given the holder of the duty before 9 engines that load within <load_s> s
    And each engine has 13 runs, in 4 availability zones
    When weights are named <count> times, <pause_s> s apart, and 14 seconds pass
    Then each reached all engines but one within 11 s

    Examples:
      | load_s | count | pause_s |
      | 0.8    | 4     | 3.5     |
      | 2      | 4     | 3.5     |
      | 1.5    | 6     | 2       |
      | 2      | 8     | 1       |

  Scenario: Engines whose reports never come take the next order all the same
    Given the holder of the duty before 9 engines that load within 0.6 s
    And the first order to 3 of them is carried out 30 s later, unanswered
    And the reports of 3 of them never come
    When weights 2 are to be in force, and 0 seconds pass
    And 11 seconds pass, and the list shows what each engine runs
    Then 9 engines run weights 2
    When weights 3 are to be in force, and 0 seconds pass
    And 11 seconds pass, and the list shows what each engine runs
    Then 9 engines run weights 3

  Scenario: An engine that refuses while it begins to load keeps its place
    Given the holder of the duty before 9 engines that load within 2 s
    And the first order to 9 of them is carried out 0.65 s later, unanswered
    When weights 2 are to be in force, and 11 seconds pass
    Then 9 engines run weights 2
    And at most 3 engines loaded at once, and none took work meanwhile

  Scenario: A holder that loses its lease for a moment counts no order twice
    Given the holder of the duty before 9 engines that load within 1.2 s
    When weights 2 are to be in force, and 0.5 seconds pass
    And the lease is lost for 0.2 seconds
    And 11 seconds pass, and the list shows what each engine runs
    Then 9 engines run weights 2
    When weights 3 are to be in force, and 11 seconds pass
    Then 9 engines run weights 3

  Scenario: What every instance is told does not outlast an engine's own entry
    Given the holder of the duty before 9 engines that load within 0.6 s
    When weights 2 are to be in force, and 8 seconds pass
    And one engine refuses every order from now on
    And an engine that runs weights 2 is believed to run weights 3
    And weights 3 are to be in force, and 0 seconds pass
    And 11 seconds pass, and the list shows what each engine runs
    Then 8 engines run weights 3

  Scenario Outline: Runs that last long keep no engine from the weights beyond the bound
    Given the holder of the duty before 9 engines that load within 0.6 s
    And each engine has 13 runs, in 4 availability zones
    And runs end <runs_end_s> s after their engine is ordered to load
    And requests may begin on what was replaced for 8 s, and all engines have 11 s
    When weights are named 1 times, 0 s apart, and 20 seconds pass
    Then each reached all engines but one within 11 s
    And weights changed under the runs of at most <most> engines

    Examples:
      | runs_end_s | most |
      | 0.5        | 0    |
      | 2          | 0    |
      | 4          | 6    |
      | 8          | 6    |

  Scenario: Engines that end after they accepted an order give their places to others
    Given the holder of the duty before 9 engines that load within 0.6 s
    And 3 of them end, unnoticed, as they accept an order
    When weights 2 are to be in force, and 2.5 seconds pass
    Then 3 engines run weights 2
    When 8.5 seconds pass, and the list shows what each engine runs
    Then 6 engines run weights 2

  Scenario: Engines that accept and never load keep no router's engines waiting
    Given 9 engines that are to load, 3 of which accept and never do
    When the router that holds the duty goes on for 11 s
    Then the other 6 engines have loaded
