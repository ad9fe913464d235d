Feature: Instances follow the log's topics together
  One instance reads a topic and broadcasts the changes. No change may be lost when
  a broadcast is, and every instance must stay up to date when the reader fails.

  Scenario Outline: One instance reads for all others
    Given <count> instances that follow a topic
    When 5 seconds pass
    Then <readers> instances read it

    Examples:
      | count | readers |
      | 1     | 1       |
      | 2     | 1       |
      | 7     | 1       |
      | 61    | 1       |

  Scenario: The reader is an instance with the fastest link
    Given 61 instances that follow a topic, 6 of them with faster links
    When 5 seconds pass
    Then 1 instances read it
    And those that read have the faster links

  Scenario: The number of calls to the log does not grow with the fleet
    Given 61 instances that follow a topic
    When 5 seconds pass
    And 10 more seconds pass
    Then the log was called at most 30 times in these 10 seconds

  Scenario: A new value reaches all instances
    Given 7 instances that follow a topic
    When 2 seconds pass
    And a value is written
    And 0.6 seconds pass
    Then all instances have the newest value

  Scenario: A write without effect is not broadcast
    Given 7 instances that follow a topic
    When 2 seconds pass
    And a value without effect is written
    And 0.6 seconds pass
    Then no update contains it

  Scenario Outline: When the reader fails, another instance takes over
    Given 7 instances that follow a topic
    When 5 seconds pass
    And those that read are <fault>
    And a value is written
    And <seconds> seconds pass
    Then all reachable instances have the newest value
    When 3 seconds pass
    Then 1 other instances read it

    Examples:
      | fault                | seconds  |
      | cut off from the log | 1.8      |
      | cut off from all     | 1.8      |
      | frozen               | 1.8      |

  Scenario: Instances that cannot reach the log receive updates from the reader
    Given 7 instances that follow a topic
    When 5 seconds pass
    And all instances but the reader are cut off from the log
    And a value is written
    And 0.6 seconds pass
    Then all instances have the newest value

  Scenario: Each instance reads a large value from the log itself
    Given 7 instances that follow a topic
    When 5 seconds pass
    And a value of 60000 bytes is written
    And 0.7 seconds pass
    Then all instances have the newest value
    And no update contains it

  Scenario: Instances that cannot reach the log fetch a large value from a peer
    Given 7 instances that follow a topic
    When 5 seconds pass
    And all instances but the reader are cut off from the log
    And a value of 60000 bytes is written
    And 3 seconds pass
    Then all instances have the newest value

  Scenario: An instance that starts while the log is down fetches its copy from a peer
    Given 7 instances that follow a topic
    When 3 seconds pass
    And a value is written
    And 1 seconds pass
    And the log goes down
    And one instance restarts
    And 1 seconds pass
    Then all instances have the newest value

  Scenario: A lost update is detected and made up for
    Given 7 instances that follow a topic
    When 5 seconds pass
    And the next update to one of them is lost
    And a value is written
    And 1 seconds pass
    Then all instances have the newest value

  Scenario: Changes that a reader received from another reader reach all instances
    Given a copy that applied a change from another reader's update
    When its own next read starts before that change
    Then copies that contain the change can apply its update
    And copies without the change cannot apply it

  Scenario: Copies are correct for any order of updates and reads
    Then copies match the log under random reads, updates, duplicates and losses

  Scenario: Entries that expired in an outage of the list stay for a grace period
    Given an upstream listed before an outage of the list
    When its entry is removed 0.1 seconds after the outage
    Then the upstream still accepts requests
    When 2.6 seconds go by
    Then the upstream is removed

  Scenario: Entries that expired in an outage and are written again stay
    Given an upstream listed before an outage of the list
    When its entry is removed 0.1 seconds after the outage
    And its entry is written again
    And 2.6 seconds go by
    Then the upstream still accepts requests

  Scenario: Without an outage a removed entry takes effect at once
    Given an upstream listed before an outage of the list
    When its entry is removed long after the outage
    Then the upstream is removed

  Scenario: A gateway that cannot reach the log service uses the copies of its peers
    Given two gateways in front of 1 plain replica, the second cut off from the log service
    Then the second gateway serves requests as well
    When the operators move the route to another service
    Then within 3 seconds the second gateway sends requests to the other service only
