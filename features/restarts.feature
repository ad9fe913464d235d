Feature: Upstreams restart under the same id
  A restarted upstream has lost its cache, runs and counts. State of the earlier
  incarnation must be dropped, and late messages about it must be ignored.

  Scenario: All state of the earlier incarnation is dropped
    Given an engine started at 1000 with known cached prefixes, runs and failures
    When its entry says that it started at 2000
    Then nothing known of the earlier incarnation is kept
    And it is listed once

  Scenario: Peers drop the state of the earlier incarnation as well
    Given 2 instances that know the cached prefixes and runs of an engine started at 1000
    When both receive an entry that says that it restarted at 2000
    Then neither records cached prefixes or runs for it
    When the cached prefixes and runs of the earlier incarnation are published again
    Then neither records cached prefixes or runs for it

  Scenario Outline: Late messages about the earlier incarnation are ignored
    Given an engine started at 2000 on weights 3 after 1 orders
    When <message> of the incarnation started at 1000 arrives late
    Then it is known to run weights 3 after 1 orders, started at 2000

    Examples:
      | message                     |
      | an entry with weights 4     |
      | a report with weights 4     |
      | an answer with weights 4    |
      | an order's acceptance       |
      | a notice that it is ready   |
      | a broken connection         |

  Scenario: A report shows a restart before the entry does
    Given an engine started at 1000 on weights 2 after 3 orders
    When its report says that it started at 2000, on weights 1 after 0 orders
    Then it is known to run weights 1 after 0 orders, started at 2000

  Scenario: An engine restarts twice in a row
    Given an engine started at 1000 on weights 2 after 3 orders
    When its report says that it started at 2000, on weights 2 after 0 orders
    And its report says that it started at 3000, on weights 1 after 0 orders
    Then it is known to run weights 1 after 0 orders, started at 3000

  Scenario: An engine that restarts during a rollout is ordered again
    Given the lease holder with an engine started at 1000
    When weights 2 become the target and the engine is ordered to load them
    And the engine restarts at 2000 on weights 1 before it has loaded them
    Then it is ordered again, with 0 earlier orders expected

  Scenario: Each order states how many were accepted before, including the first one
    Given the lease holder with an engine started at 1000
    When weights 2 become the target and the engine is ordered to load them
    Then that order expected 0 earlier orders

  Scenario: The next lease holder knows how many orders engines accepted
    Given the lease holder with an engine started at 1000
    When weights 2 become the target and the engine is ordered to load them
    And the engine has loaded them
    Then another instance knows that the engine accepted 1 order

  Scenario: A crashed engine that restarts under its id is used and ordered again
    Given a gateway in front of 2 engines that stream 6 events
    When engine e0 restarts under its id
    And the operators name weights 2
    Then every engine soon runs version 2, ordered under a fencing token
    And engine e0 accepted 1 order since its restart
    When a caller sends "POST" to "/once/x"
    Then the caller's answer has status 200

  Scenario: A run whose copy is lost with an engine still continues
    Given a gateway in front of 4 engines that stream 30 events slowly
    And its streams may be sent once more than there are engines
    When 8 callers stream from "/resume/x" and new weights are named meanwhile, and each engine that receives a moved run restarts
    Then every stream is complete, with every event once and in order

