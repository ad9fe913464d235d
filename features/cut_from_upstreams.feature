Feature: Callers of an instance without a path to the upstreams are served
  An instance can lose its path to all upstreams while its callers and the other
  instances reach it. Guards against callers that are served worse there than elsewhere,
  and against upstreams that are blamed for it.

  Scenario Outline: Gateways without a path serve as well as others when <what>
    Given 4 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When <count> gateways are cut from all replicas for 6 seconds and <what>
    Then from 1.5 seconds on their callers were served at least 0.95 times as often as others
    And no unsafe request ran twice
    And no upstream was taken for crashed
    And 2 seconds after the cut they reach the replicas themselves again

    Examples:
      | count | what                                                        |
      | 1     | open connections fall silent                                |
      | 2     | open connections fall silent                                |
      | 2     | all connections are reset                                   |
      | 2     | open connections live on and new ones are reset             |
      | 3     | all connections are reset                                   |

  Scenario: If no gateway reaches a replica, requests are refused at once
    Given 2 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When 2 gateways are cut from all replicas for 5 seconds and all connections are reset
    Then from 1.5 seconds on all requests end within 1 second, and may be sent again
    And 2 seconds after the cut they reach the replicas themselves again
