Feature: Instances follow the log's topics together
  One instance reads a topic and tells the others. Nothing may get lost on the
  way, and nobody may stay behind when those that read fail.

  Scenario Outline: One instance reads for all
    Given <count> instances that follow a topic
    When 5 seconds pass
    Then <readers> instances read it

    Examples:
      | count | readers |
      | 1     | 1       |
      | 2     | 1       |
      | 7     | 1       |
      | 61    | 1       |

  Scenario: An instance with the fastest link reads
    Given 61 instances that follow a topic, 6 of them with faster links
    When 5 seconds pass
    Then 1 instances read it
    And those that read have the faster links

  Scenario: Reading for all takes a few calls however many there are
    Given 61 instances that follow a topic
    When 5 seconds pass
    And 10 more seconds pass
    Then the log was called at most 30 times in these 10 seconds

  Scenario: A new value reaches all
    Given 7 instances that follow a topic
    When 2 seconds pass
    And a value is written
    And 0.6 seconds pass
    Then all know the newest value

  Scenario: What changes nothing is not told
    Given 7 instances that follow a topic
    When 2 seconds pass
    And a value is written that changes nothing
    And 0.6 seconds pass
    Then no update carried it

  Scenario Outline: Those that read fail and others take their place
    Given 7 instances that follow a topic
    When 5 seconds pass
    And those that read are <fault>
    And a value is written
    And <patience> seconds pass
    Then all that can know the newest value do
    When 3 seconds pass
    Then 1 other instances read it

    Examples:
      | fault                | patience |
      | cut off from the log | 1.8      |
      | cut off from all     | 1.8      |
      | frozen               | 1.8      |

  Scenario: An instance that the log turns away learns from the others
    Given 7 instances that follow a topic
    When 5 seconds pass
    And instances that do not read are cut off from the log
    And a value is written
    And 0.6 seconds pass
    Then all know the newest value

  Scenario: A large value is read by each, not sent to all
    Given 7 instances that follow a topic
    When 5 seconds pass
    And a value of 60000 bytes is written
    And 0.7 seconds pass
    Then all know the newest value
    And no update carried it

  Scenario: An instance that the log turns away takes a large value from another
    Given 7 instances that follow a topic
    When 5 seconds pass
    And instances that do not read are cut off from the log
    And a value of 60000 bytes is written
    And 3 seconds pass
    Then all know the newest value

  Scenario: An instance that starts without the log takes all from another
    Given 7 instances that follow a topic
    When 3 seconds pass
    And a value is written
    And 1 seconds pass
    And the log goes down
    And one instance starts anew
    And 1 seconds pass
    Then all know the newest value

  Scenario: A lost update is noticed
    Given 7 instances that follow a topic
    When 5 seconds pass
    And the next update is lost on its way to one of them
    And a value is written
    And 1 seconds pass
    Then all know the newest value

  Scenario: What one reader learnt from another is missed by nobody
    Given a copy that took a change from another reader's update
    When its own next read begins before that change
    Then its update is no gap to those who took the change
    And a gap to those who did not

  Scenario: Any order of updates and reads gives the same copy
    Then copies that get random reads, updates, repeats and losses never go wrong

  Scenario: Entries that lapsed in an outage of the list stay for a while
    Given an upstream listed before an outage of the list
    When its entry is dropped 0.1 seconds after the outage
    Then the upstream still takes work
    When 2.6 seconds go by
    Then the upstream is gone

  Scenario: Entries that lapsed in an outage come back
    Given an upstream listed before an outage of the list
    When its entry is dropped 0.1 seconds after the outage
    And its entry is written again
    And 2.6 seconds go by
    Then the upstream still takes work

  Scenario: Without an outage an entry that is dropped is gone at once
    Given an upstream listed before an outage of the list
    When its entry is dropped long after the outage
    Then the upstream is gone

  Scenario: A gateway that the store turns away serves by what its peers know
    Given two gateways before 1 plain replica, the second without the store
    Then the second serves requests as well
    When the operators move the route to another service
    Then within 3 seconds the second sends requests to the other service only
