Feature: All instances together keep the retry budget of a service
  In any window, at most a share of the requests for a service and a slack for the whole
  fleet may reach its upstreams once more. Guards against instances that spend more than
  that together, and against retries that no budget counts.

  Scenario: A gateway logs and counts its retries by cause
    Given a gateway in front of 2 plain replicas
    When a caller sends "GET" to "/safe/x" and one replica's script is "fail"
    And a caller sends "GET" to "/safe/x" and one replica's script is "refuse"
    Then the gateway logged why each of 2 retries was allowed
    And its metrics count a retry after "refused" and one after "failed"

  # A simulated fleet.

  Scenario Outline: All instances together stay within the budget, and use it
    Given <count> instances with a retry budget for one service
    When <rate> requests a second arrive for 30 seconds, and each attempt fails from 10 seconds on
    Then no window has more retries than the budget allows
    And the budget is used up to 0.8 in the last ten seconds

    Examples:
      | count | rate |
      | 1     | 20   |
      | 2     | 20   |
      | 7     | 80   |
      | 9     | 100  |
      | 78    | 300  |
      | 300   | 300  |

  Scenario Outline: The budget holds while <fault>
    Given <count> instances with a retry budget for one service
    When 100 requests a second arrive for 30 seconds, and each attempt fails from 10 seconds on
    And 5 seconds later <fault>
    Then no window has more retries than the budget allows

    Examples:
      | count | fault                                          |
      | 9     | all instances restart, two at a time           |
      | 7     | all instances restart, two at a time           |
      | 78    | all instances restart, eight at a time         |
      | 9     | all instances are killed at once               |
      | 9     | half of the instances are killed, and again    |
      | 9     | two owners are killed                          |
      | 9     | all owners are killed                          |
      | 9     | the first owner stands still for 3 seconds     |
      | 9     | the fleet is split into halves for 8 seconds   |
      | 9     | three instances are alone for 8 seconds        |
      | 9     | all instances know only some of the others     |
      | 9     | four instances start one after the other       |
      | 9     | the traffic ends                               |

  Scenario Outline: The budget holds under random faults
    Given random runs of <count> instances with a retry budget, seeds <first> to <last>
    Then in no run a window has more retries than the budget allows

    Examples:
      | count | first | last |
      | 7     | 1     | 30   |
      | 9     | 31    | 60   |
      | 30    | 61    | 72   |
