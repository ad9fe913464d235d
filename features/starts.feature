Feature: Cost of starting an instance
  Hundreds of instances may start at the same time, and each is restarted in
  turn. A start must need few log service calls and load little code.

  Scenario: A gateway imports only modules that it uses
    When the gateway's program is loaded
    Then none of these was loaded: kumquatseam.fleet, kumquatseam.engines, kumquatseam.callers, kumquatseam.standins, prometheus_client, lark, fire
    And each loaded module of this project is used by another one
    And their code takes at most 1 percent of the memory of an instance of 128 MB

  Scenario: A gateway is not ready before it accepts callers
    Given a gateway whose host name lookups take 1 second
    When it says for the first time that it is ready
    Then it accepts a caller's connection at once

  Scenario Outline: One of the instances that start together reads the log for the others
    Given <count> instances that start together and discover each other after 0.6 seconds
    When 5 seconds pass
    Then the log was called at most <calls> times in all
    And 1 instances read it

    Examples:
      | count | calls |
      | 13    | 31    |
      | 195   | 213   |

  Scenario: An instance that is no coordinator never reads the log for the others
    Given 195 instances that start together and discover each other after 0.6 seconds
    When 5 seconds pass
    And those that read are cut off from all
    And 3 seconds pass
    Then all readers are coordinators

  Scenario: An instance that has not discovered the others yet checks again soon
    Given 13 instances that start together and discover each other after 0.6 seconds
    When 0.3 seconds pass
    Then each checks again within 0.2 seconds whether to read
    When 3 seconds pass
    Then those that are no coordinators check again when their copies expire

  Scenario: A contender that receives the renewals does not read the log
    Given a lease holder that broadcasts its renewals, and a contender
    When 10 seconds of renewals pass
    Then the contender called the log at most once

  Scenario: A contender acquires the lease when the holder stops its renewals
    Given a lease holder that broadcasts its renewals, and a contender
    When 10 seconds of renewals pass
    And the holder stops
    Then the contender holds the lease within 7 seconds, and not before 3

  Scenario: An instance that may not hold the lease does not call the log
    Given an instance that may not hold a lease
    When its lease loop runs for 20 seconds
    Then it called the log 0 times

  Scenario Outline: A boolean key in the settings
    Given gateway settings with "is_first_start = <text>"
    Then they are <outcome>

    Examples:
      | text  | outcome                                 |
      | true  | accepted, and it is the first start     |
      | false | accepted, and it is not the first start |
      | maybe | rejected, naming the section and key    |
