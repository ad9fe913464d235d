Feature: Upstreams start again under the id that they had
  A later incarnation holds and knows nothing of before. What the earlier one
  said and comes late changes nothing.

  Scenario: Everything known of the earlier incarnation ends with it
    Given an engine started at 1000 that is known to hold, run and fail
    When its entry says that it started at 2000
    Then nothing of before is known of it
    And it is listed once

  Scenario: Peers forget the earlier incarnation as well
    Given 2 instances that know what an engine started at 1000 holds and runs
    When both learn that it started again at 2000
    Then neither takes it to hold or to run anything
    When the first repeats what the earlier incarnation holds and runs
    Then neither takes it to hold or to run anything

  Scenario Outline: What the earlier incarnation said comes late
    Given an engine started at 2000 on weights 3 after 1 orders
    When <news> of the incarnation started at 1000 comes late
    Then it is known to run weights 3 after 1 orders, started at 2000

    Examples:
      | news                        |
      | an entry with weights 4     |
      | a report with weights 4     |
      | an answer with weights 4    |
      | an order's acceptance       |
      | a notice of being ready     |
      | a broken connection         |

  Scenario: A report tells of a restart before the entry does
    Given an engine started at 1000 on weights 2 after 3 orders
    When its report says that it started at 2000, on weights 1 after 0 orders
    Then it is known to run weights 1 after 0 orders, started at 2000

  Scenario: An engine starts again twice in a row
    Given an engine started at 1000 on weights 2 after 3 orders
    When its report says that it started at 2000, on weights 2 after 0 orders
    And its report says that it started at 3000, on weights 1 after 0 orders
    Then it is known to run weights 1 after 0 orders, started at 3000

  Scenario: An engine that starts again in a rollout is ordered anew
    Given the holder of the duty before an engine started at 1000
    When weights 2 are to be in force and the engine is ordered to load them
    And the engine starts again at 2000 on weights 1 before it has
    Then it is ordered again, expecting 0 orders before

  Scenario: Orders name how many came before, also the first one
    Given the holder of the duty before an engine started at 1000
    When weights 2 are to be in force and the engine is ordered to load them
    Then that order expected 0 orders before

  Scenario: A successor knows how many orders engines accepted
    Given the holder of the duty before an engine started at 1000
    When weights 2 are to be in force and the engine is ordered to load them
    And the engine has loaded them
    Then another instance knows that the engine accepted 1 order

  Scenario: A crashed engine under its old id is served and ordered again
    Given a gateway before 2 engines that stream 6 events
    When engine e0 starts again under its id
    And the operators name weights 2
    Then every engine soon runs version 2, ordered under a fencing token
    And engine e0 accepted 1 order since it started again
    When a caller sends "POST" to "/once/x"
    Then the caller's answer has status 200

  Scenario: A run whose copy is lost with an engine goes on all the same
    Given a gateway before 4 engines that stream 30 events slowly
    When 8 callers stream from "/resume/x" and new weights are named meanwhile, and each engine that takes a run over starts again
    Then every stream is whole, with every event once, in order

