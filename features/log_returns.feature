Feature: A log service that is restored from an older copy
  After a failover drill the log service may continue from a copy some seconds old.
  Records acknowledged since are lost, and their offsets are assigned a second time.
  State that instances track by offset must not mistake an old record for a newer one,
  or two records with one offset for the same.

  Scenario Outline: Fencing tokens never decrease and a lease has one holder
    Given 4 routers that contend for a lease of 3 seconds
    When 120 seconds pass with restores of the log, network cuts and restarts, seed <seed>
    Then no two routers ever held the lease at once
    And each holder's token was above all earlier tokens
    And the lease was held for at least 0.5 of the time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A holder whose record is lost keeps the lease without interruption
    Given 4 routers that contend for a lease of 3 seconds
    When the log is restored from a copy 2 seconds old while one of them holds it
    Then the same router holds it throughout, with a higher token

  Scenario: The end offset passes the old one before any router reads the log
    Given 4 routers that contend for a lease of 3 seconds
    When the log is restored from a copy 2 seconds old and others append 50 records
    Then no two routers ever held the lease at once
    And each holder's token was above all earlier tokens

  Scenario: Copies of a topic match the log after a restore
    Given 3 instances that follow a topic of the log together
    When the value "lost" is written, read by all and lost in a restore from a copy
    And the value "new" is written under other keys until the end offset is past the old one
    Then the copies of all instances equal the log

  Scenario: An instance cut off from the log detects the restore by updates of another
    Given 3 instances that follow a topic of the log together
    When one of them is cut off from the log
    And the value "lost" is written, read by all and lost in a restore from a copy
    And the value "new" is written under other keys until the end offset is past the old one
    Then the copies of all instances equal the log

  Scenario: A configuration stays in force while the log holds an older one
    Given an instance with configuration 7 in force, read from the log
    When the log is restored from a copy that holds configuration 4
    Then configuration 7 stays in force, and others receive configuration 7
    When configuration 9 is written
    Then configuration 9 is in force

  Scenario: Upstreams whose entries the log lost stay until they had time to register again
    Given an instance that read an upstream from the log
    When the log is restored from a copy without its entry
    Then the upstream whose entry is lost still accepts requests
    When its entry is not written again within 3 seconds
    Then the upstream whose entry is lost is removed

  Scenario: A request that crashes engines stays suspected, and its record is written again
    Given an instance that read a suspected request from the log
    When the log is restored from a copy without its record
    Then the request is still suspected and its record has to be written again

  Scenario: An instance whose record is lost registers again
    Given an instance that is registered in the log
    When the log is restored from a copy without its record
    Then its record is in the log again

  Scenario: Pages from before and after a restore are never mixed
    Given a log service holding 1200 records that is restored from a copy between pages
    Then the result is the content of the copy, 1200 records

  Scenario: A response with an invalid era is an error
    Given a log service that responds with the era "x1"
    Then a read fails with "unreadable era"
