Feature: Instances tell each other their loads
  In a small fleet everyone tells everyone; in a large one two leaders tell what
  all have, so that no instance hears a message for every request.

  Scenario Outline: Who listens to whom
    Given a fleet of <count> instances
    Then each listens to <followed> others, and <leaders> instances lead

    Examples:
      | count | followed | leaders |
      | 1     | 0        | 0       |
      | 7     | 6        | 0       |
      | 12    | 11       | 0       |
      | 13    | 2        | 2       |
      | 61    | 2        | 2       |
      | 300   | 2        | 2       |

  Scenario: Fast links lead
    Given a fleet of 61 instances, 6 of them with faster links
    Then the leaders have the faster links

  Scenario Outline: All know what all have
    Given a fleet of <count> instances with requests on 20 upstreams
    When <seconds> seconds of requests pass
    And 1 quiet seconds pass
    Then each knows what all others have on every upstream
    And each knows how many instances there are

    Examples:
      | count | seconds |
      | 2     | 2       |
      | 7     | 2       |
      | 13    | 2       |
      | 61    | 2       |

  Scenario: What upstreams were given to read reaches all
    Given a fleet of 61 instances with requests on 20 upstreams
    When 1 quiet seconds pass
    And one instance that does not lead sends a prompt to an upstream
    And 0.5 quiet seconds pass
    Then all know who holds that prompt

  Scenario Outline: Leaders fail
    Given a fleet of 61 instances with requests on 20 upstreams
    When 2 seconds of requests pass
    And the <which> of the leaders fail
    And 4 quiet seconds pass
    Then each knows what all others have on every upstream
    And each knows how many instances there are

    Examples:
      | which  |
      | first  |
      | second |
      | both   |

  Scenario: Leaders come back
    Given a fleet of 61 instances with requests on 20 upstreams
    When 2 seconds of requests pass
    And the both of the leaders fail
    And 4 quiet seconds pass
    And they come back
    And 4 quiet seconds pass
    Then each knows what all others have on every upstream
    And each listens to 2 others, and 2 instances lead

  Scenario: A large fleet's instances hear few messages
    Given a fleet of 61 instances with requests on 20 upstreams
    When 2 seconds of requests pass
    Then no instance but the leaders heard more than 60 messages in them
    And no leader heard more than 1300

  Scenario: A notice reaches those who do not hear its sender
    Given a fleet of 61 instances with requests on 20 upstreams
    When 1 quiet seconds pass
    And one instance that does not lead tells that e3 loads weights
    Then all know at once that e3 loads weights
    And each heard it at most 3 times

  Scenario: A notice that was overtaken changes nothing
    Given a fleet of 2 instances with requests on 20 upstreams
    When a notice is overtaken by the next one
    Then the later one holds
