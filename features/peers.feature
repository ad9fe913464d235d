Feature: Instances exchange their loads
  In a small fleet every instance subscribes to every other one. In a large one an
  instance would receive too many messages that way: all subscribe to two leaders,
  and the leaders to the first few instances in the fleet order (coordinators).

  Scenario Outline: Subscriptions by fleet size
    Given a fleet of <count> instances
    Then each instance subscribes to <subscribed> others, and there are <leaders> leaders
    And each leader subscribes to <coordinators> others

    Examples:
      | count | subscribed | leaders | coordinators |
      | 1     | 0          | 0       | 0            |
      | 7     | 6          | 0       | 0            |
      | 12    | 11         | 0       | 0            |
      | 13    | 2          | 2       | 7            |
      | 61    | 2          | 2       | 7            |
      | 300   | 2          | 2       | 7            |
      | 860   | 2          | 2       | 7            |

  Scenario: Instances with fast links lead
    Given a fleet of 61 instances, 6 of them with faster links
    Then the leaders have the faster links

  Scenario Outline: Each instance knows all loads in a small fleet
    Given a fleet of <count> instances with requests on 20 upstreams
    When the fleet runs for <seconds> seconds with requests
    And the fleet runs for 1 seconds without requests
    Then each instance knows the loads of all others on every upstream
    And each instance knows the number of instances

    Examples:
      | count | seconds |
      | 2     | 2       |
      | 7     | 2       |
      | 12    | 2       |

  Scenario: Prompts sent for prefill are announced to all in a small fleet
    Given a fleet of 12 instances with requests on 20 upstreams
    When the fleet runs for 1 seconds without requests
    And one instance sends a prompt to an upstream
    And the fleet runs for 0.5 seconds without requests
    Then all instances know who holds that prompt

  Scenario Outline: Instances of a large fleet know its size
    Given a fleet of <count> instances with requests on 20 upstreams
    When the fleet runs for 2 seconds with requests
    Then each instance knows the number of instances

    Examples:
      | count |
      | 13    |
      | 61    |

  Scenario Outline: Leaders fail
    Given a fleet of 61 instances with requests on 20 upstreams
    When the fleet runs for 2 seconds with requests
    And these leaders fail: <which>
    And the fleet runs for 4 seconds without requests
    Then each instance subscribes to two live instances
    When a coordinator that does not lead publishes that e3 loads weights
    Then all instances know immediately that e3 loads weights

    Examples:
      | which  |
      | first  |
      | second |
      | both   |

  Scenario: Leaders come back
    Given a fleet of 61 instances with requests on 20 upstreams
    When the fleet runs for 2 seconds with requests
    And these leaders fail: both
    And the fleet runs for 4 seconds without requests
    And the leaders come back
    And the fleet runs for 4 seconds without requests
    Then each instance subscribes to 2 others, and there are 2 leaders
    When a coordinator that does not lead publishes that e3 loads weights
    Then all instances know immediately that e3 loads weights

  Scenario Outline: The messages an instance receives do not grow with the fleet
    Given a fleet of <count> instances with requests on 20 upstreams
    When the fleet runs for 2 seconds with requests
    Then no instance received more than 60 messages in that time

    Examples:
      | count |
      | 61    |
      | 300   |

  Scenario: A notice reaches instances that do not subscribe to its sender
    Given a fleet of 61 instances with requests on 20 upstreams
    When the fleet runs for 1 seconds without requests
    And a coordinator that does not lead publishes that e3 loads weights
    Then all instances know immediately that e3 loads weights
    And each instance received the notice at most 3 times

  Scenario: A notice that arrives after a later one is ignored
    Given a fleet of 2 instances with requests on 20 upstreams
    When two notices arrive in the wrong order
    Then the later notice stays in effect

  Scenario: Log updates reach all when a leader cannot reach the log
    Given a fleet of 61 instances that follow a topic
    When a coordinator that does not lead publishes what it read from the log
    Then every instance applied the update
    And each instance received the update at most twice

  Scenario: Opening and closing sockets freezes no process
    Given 6 processes that query each other over nng, with a new socket each time
    When the processes have run for 8 seconds
    Then none of the processes is frozen
