Feature: A log service that returns from an older copy
  After a drill the log service may go on from a copy some seconds old. What it had
  acknowledged since is gone, offsets go back and are given out a second time. What
  instances keep by position must not take old for new, or two records for one.

  Scenario Outline: Fencing tokens never go back and a duty has one holder
    Given 4 routers that contend for a duty with a lease of 3 seconds
    When 120 seconds pass with returns of the log, cuts and restarts, seed <seed>
    Then no two routers ever held the duty at once
    And each holder's token was above all tokens before
    And the duty was held for at least 0.5 of the time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A holder whose record is lost goes on without a pause
    Given 4 routers that contend for a duty with a lease of 3 seconds
    When the log returns from a copy 2 seconds old while one of them holds it
    Then the same router holds it all the time, with a higher token

  Scenario: The end grows past the old offset before anyone looks
    Given 4 routers that contend for a duty with a lease of 3 seconds
    When the log returns from a copy 2 seconds old and others append 50 records
    Then no two routers ever held the duty at once
    And each holder's token was above all tokens before

  Scenario: Copies of a topic follow the log into its new era
    Given 3 instances that follow a topic of the log together
    When the value "lost" is written, read by all and lost in a return from a copy
    And the value "new" is written under other keys until the end is past the old one
    Then all instances know exactly what the log holds

  Scenario: An instance cut off from the log learns of the return from another one
    Given 3 instances that follow a topic of the log together
    When one of them is cut off from the log
    And the value "lost" is written, read by all and lost in a return from a copy
    And the value "new" is written under other keys until the end is past the old one
    Then all instances know exactly what the log holds

  Scenario: A configuration in force stays so while the log holds an older one
    Given an instance with configuration 7 in force, read from the log
    When the log returns from a copy that holds configuration 4
    Then configuration 7 stays in force, and others are told configuration 7
    When configuration 9 is written
    Then configuration 9 is in force

  Scenario: Upstreams whose entries the log lost stay until they had time to return
    Given an instance that knows an upstream from the log
    When the log returns from a copy without its entry
    Then the upstream whose entry is lost still takes work
    When its entry does not come back within 3 seconds
    Then the upstream whose entry is lost is gone

  Scenario: A request that crashes engines stays suspected, and is written again
    Given an instance that knows a suspected request from the log
    When the log returns from a copy without its record
    Then the request is still suspected and has to be written again

  Scenario: An instance whose record is lost registers again
    Given an instance that is registered in the log
    When the log returns from a copy without its record
    Then its record is in the log again

  Scenario: Pages of two histories are never mixed
    Given a log service holding 1200 records that returns from a copy between pages
    Then what is read is what the copy holds, 1200 records

  Scenario: An unreadable era is no answer
    Given a log service that names the era "x1"
    Then a read fails with "unreadable era"
