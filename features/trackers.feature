Feature: A large fleet's work is known by those who are asked
  Nobody can be told everything in a fleet of hundreds. Each upstream is tracked
  by one instance, which all others ask and tell.

  Scenario Outline: All ask the same instance about an upstream
    Given <count> instances before 40 engines, <fast> of them with faster links
    Then all agree who tracks each engine
    And no instance tracks more than <most> of them
    And the fast ones track their share

    Examples:
      | count | fast | most |
      | 13    | 3    | 20   |
      | 195   | 15   | 8    |
      | 860   | 60   | 6    |

  Scenario: An instance that comes or goes moves only its own upstreams
    Given 195 instances before 40 engines, 15 of them with faster links
    When one instance that tracks engines is taken off the list
    Then only its engines are tracked by others

  Scenario Outline: What a request costs does not depend on the size of the fleet
    Given <count> instances before <engines> engines, 5 of them with faster links
    When 300 requests are placed and ended
    Then a request took at most 16 datagrams on average
    And no datagram was longer than 1200 bytes
    And nobody keeps anything of the requests that ended

    Examples:
      | count | engines |
      | 13    | 9       |
      | 71    | 36      |
      | 195   | 39      |
      | 300   | 60      |
      | 860   | 240     |

  Scenario Outline: Requests that come together are spread
    Given <count> instances before <engines> engines, 5 of them with faster links
    When <requests> requests of different prompts are placed and none ends
    Then no engine has more than <beyond> requests beyond its share

    Examples:
      | count | engines | requests | beyond |
      | 13    | 9       | 90       | 4      |
      | 195   | 39      | 390      | 4      |
      | 860   | 240     | 2400     | 5      |

  Scenario: A burst of one prompt spreads as well
    Given 195 instances before 39 engines, 15 of them with faster links
    When 390 requests of one prompt are placed and none ends
    Then no engine has more than 12 requests beyond its share

  Scenario: Prompts return to where their parts are
    Given 195 instances before 39 engines, 15 of them with faster links
    When 600 requests of 60 openings are placed and ended one by one
    Then at most 66 of them read parts that an engine has

  Scenario: A prompt is found wherever it was first read
    Given 61 instances before 20 engines, 5 of them with faster links
    When one instance sends a prompt to an engine
    Then every instance learns that the engine holds it

  Scenario Outline: Trackers that fail
    Given 61 instances before 20 engines, 5 of them with faster links
    When 100 requests are placed and ended
    And <share> percent of the instances <fault>
    And 100 requests are placed and ended
    Then every request was placed
    And no request waited more than 0.06 seconds for answers
    When they are back
    And 10 seconds pass for the fleet
    And 100 requests are placed and none ends
    Then the trackers know every request on every engine

    Examples:
      | share | fault  |
      | 10    | die    |
      | 55    | die    |
      | 30    | freeze |

  Scenario: Requests of an instance that died are not counted for ever
    Given 61 instances before 20 engines, 5 of them with faster links
    When 200 requests are placed and none ends
    And every instance that placed one dies
    And 6 seconds pass for the fleet
    Then no tracker counts any request

  Scenario: A datagram that comes twice counts once
    Given 61 instances before 20 engines, 5 of them with faster links
    And every datagram comes twice
    When 200 requests are placed and none ends
    Then the trackers know every request on every engine

  Scenario: An engine without room in its memory is passed over
    Given 13 instances before 2 engines, 2 of them with faster links
    When one engine's memory is filled by requests that are being answered
    Then the next prompt goes to the other engine

  Scenario: Before a request is refused further engines are looked at
    Given 61 instances before 20 engines, 5 of them with faster links
    When every engine but one has 90000 tokens to read
    Then 20 requests that may wait 0.6 seconds are placed and none is refused

  Scenario Outline: An upstream that closes while others are asked gets nothing
    Given 61 instances before 20 engines, 5 of them with faster links
    When an engine <change> while others are asked about it
    Then the prompt is not placed on it

    Examples:
      | change             |
      | begins to load     |
      | leaves             |
      | is gone            |
      | runs other weights |

  Scenario: Answers are waited for about as long as they take
    Given answers that take 3 milliseconds
    Then the next one is waited for between 12 and 20 milliseconds
    When answers take 30 milliseconds for a while
    Then the next one is waited for between 30 and 50 milliseconds

  Scenario: Datagrams that are no messages are logged and dropped
    Given a datagram socket
    When it gets bytes that are no message, and then a question
    Then the question is answered and the rest is logged

  Scenario Outline: Whatever is lost, repeated, delayed, killed or frozen
    Given a fleet explored with seed <seed>
    When 400 random steps are taken
    Then every request was placed
    And no tracker ever counted a request twice or below zero
    When faults end and all requests have ended
    Then no tracker counts any request
    And the fleet knows the next 100 requests exactly

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
