Feature: Trackers know the load of upstreams in a large fleet
  Broadcasts to all do not scale to hundreds of instances. Each upstream is tracked
  by one instance, which all others query and notify of their requests.

  Scenario Outline: All instances query the same tracker about an upstream
    Given <count> instances routing to 40 engines, <fast> with fast links
    Then all instances choose the same tracker for each engine
    And no instance tracks more than <most> of them
    And the instances with fast links track a share proportional to their links

    Examples:
      | count | fast | most |
      | 13    | 3    | 20   |
      | 195   | 15   | 8    |
      | 860   | 60   | 6    |

  Scenario: Removing an instance reassigns only the upstreams it tracked
    Given 195 instances routing to 40 engines, 15 with fast links
    When one instance that tracks engines is removed from the list
    Then only its engines get another tracker

  Scenario Outline: The cost of a request does not depend on the size of the fleet
    Given <count> instances routing to <engines> engines, 5 with fast links
    When 300 requests are placed and ended
    Then a request took at most 16 datagrams on average
    And no datagram was longer than 1200 bytes
    And no tracker keeps state of ended requests

    Examples:
      | count | engines |
      | 13    | 9       |
      | 71    | 36      |
      | 195   | 39      |
      | 300   | 60      |
      | 860   | 240     |

  Scenario Outline: Simultaneous requests are spread over the engines
    Given <count> instances routing to <engines> engines, 5 with fast links
    When <requests> requests with different prompts are placed and none ends
    Then no engine has more than <beyond> requests beyond its share

    Examples:
      | count | engines | requests | beyond |
      | 13    | 9       | 90       | 4      |
      | 195   | 39      | 390      | 4      |
      | 860   | 240     | 2400     | 5      |

  Scenario: A burst of requests with the same prompt is spread as well
    Given 195 instances routing to 39 engines, 15 with fast links
    When 390 requests with the same prompt are placed and none ends
    Then no engine has more than 12 requests beyond its share

  Scenario: Requests are placed where their prompt's parts are cached
    Given 195 instances routing to 39 engines, 15 with fast links
    When 600 requests of 60 prompt prefixes are placed and ended one by one
    Then at most 66 of them prefill parts that an engine has cached

  Scenario: Every instance finds the engine that first prefilled a prompt
    Given 61 instances routing to 20 engines, 5 with fast links
    When one instance sends a prompt to an engine
    Then every instance finds the engine as its holder

  Scenario Outline: Requests are placed without long waits while trackers fail
    Given 61 instances routing to 20 engines, 5 with fast links
    When 100 requests are placed and ended
    And <share> percent of the instances <fault>
    And 100 requests are placed and ended
    Then every request was placed
    And no request waited more than 0.06 seconds for replies
    When these instances are up again
    And 10 seconds pass for the fleet
    And 100 requests are placed and none ends
    Then the trackers count exactly the requests on every engine

    Examples:
      | share | fault  |
      | 10    | die    |
      | 55    | die    |
      | 30    | freeze |

  Scenario: Requests of an instance that died expire
    Given 61 instances routing to 20 engines, 5 with fast links
    When 200 requests are placed and none ends
    And every instance that placed a request dies
    And 6 seconds pass for the fleet
    Then no tracker counts any request

  Scenario: A duplicated datagram counts once
    Given 61 instances routing to 20 engines, 5 with fast links
    And every datagram is delivered twice
    When 200 requests are placed and none ends
    Then the trackers count exactly the requests on every engine

  Scenario: An engine without free memory gets no request
    Given 13 instances routing to 2 engines, 2 with fast links
    When the memory of one engine is filled by requests in progress
    Then the next prompts are placed on the other engine

  Scenario: Further engines are compared before a request is refused
    Given 61 instances routing to 20 engines, 5 with fast links
    When every engine but one has 90000 tokens to prefill
    Then 20 requests that may wait 0.6 seconds are placed and none is refused

  Scenario Outline: An upstream that becomes unavailable during a query gets no request
    Given 61 instances routing to 20 engines, 5 with fast links
    When an engine <change> while trackers are queried about it
    Then the prompt is not placed on it

    Examples:
      | change             |
      | begins to load     |
      | leaves             |
      | is gone            |
      | runs other weights |

  Scenario: The reply timeout follows the measured round trips
    Given replies that take 3 milliseconds
    Then the next reply timeout is between 12 and 20 milliseconds
    When replies take 30 milliseconds for a while
    Then the next reply timeout is between 30 and 50 milliseconds

  Scenario: Undecodable datagrams are logged and dropped
    Given a datagram socket
    When it receives an undecodable datagram, and then a query
    Then the query is answered and the undecodable datagram is logged

  Scenario Outline: Counts stay correct despite loss, duplication, delays, crashes and freezes
    Given a fleet with random faults from seed <seed>
    When 400 random steps are taken
    Then every request was placed
    And no tracker ever counted a request twice or below zero
    When the faults stop and all requests have ended
    Then no tracker counts any request
    And the trackers count the next 100 requests exactly

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
