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
