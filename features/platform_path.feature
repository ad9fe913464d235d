Feature: The whole path on the users' platform
  The gateway as a process of its own before stand-ins of the platform's wire:
  the store, replicas and callers. Each scenario brings one failure about.

  Scenario: The replica sees what the gateway sets and nothing forged
    Given a gateway before 1 plain replica
    When a caller with forged headers sends a request
    Then the caller's answer has status 200
    And the replica sees the team, its own id and less time, and nothing forged
    And the metrics name the requests by outcome
    And the log tells what became of the request

  Scenario: Before the first configuration everything is refused as not run
    Given a gateway that knows no configuration
    Then the caller's answer has status 503
    And the caller is told when to come back
    When the first configuration is written
    And a caller sends "POST" to "/plain/x"
    Then the caller's answer has status 200
    When a caller sends "POST" to "/nowhere/x"
    Then the caller's answer has status 404
    When a caller with the key "stolen" sends "POST" to "/plain/x"
    Then the caller's answer has status 401
    And the replicas ran 1 request

  Scenario: A team over its quota is refused at once, as not run
    Given a gateway before 1 plain replica
    And the team has a quota of 1 requests a second and a burst of 2
    When its caller sends 6 requests one after the other
    Then the first 2 are answered and at least 2 are refused with 429
    And each refused one is told when to come back within 5 seconds
    And the replicas ran as many requests as were answered
    And the metrics count the refusals of quotas

  Scenario Outline: What may not be repeated runs once
    Given a gateway before 2 plain replicas
    When a caller sends "POST" to "/plain/x" and one replica's script is "<fault>"
    Then the caller's answer has status <status>
    And the replicas ran <runs> request

    Examples:
      | fault    | status | runs |
      | reset    | 502    | 1    |
      | garbage  | 502    | 1    |
      | truncate | 502    | 1    |
      | unsigned | 502    | 1    |
      | fail     | 500    | 1    |
      | refuse   | 200    | 1    |

  Scenario Outline: What may be repeated is asked for elsewhere
    Given a gateway before 2 plain replicas
    When a caller sends "GET" to "/safe/x" and one replica's script is "<fault>"
    Then the caller's answer has status 200
    And the caller's answer is "whole"

    Examples:
      | fault    |
      | reset    |
      | garbage  |
      | truncate |
      | unsigned |
      | fail     |
      | refuse   |
      | hang     |

  Scenario: Everybody refuses
    Given a gateway before 2 plain replicas
    When a caller sends "POST" to "/plain/x" and the replica's script is "refuse,refuse,refuse,refuse,refuse"
    Then the caller's answer has status 503
    And the caller is told when to come back
    And the replicas ran 0 requests

  Scenario: A failure of the replica's own reaches the caller if nobody does better
    Given a gateway before 2 plain replicas
    When a caller sends "GET" to "/safe/x" and the replica's script is "fail,fail"
    Then the caller's answer has status 500
    And the caller's answer is "broken"

  Scenario: Stray and extra answers reach nobody
    Given a gateway before 1 plain replica
    When a caller sends "POST" to "/plain/x" and the replica's script is "stray"
    Then the caller's answer is "whole"
    And the next request on the same connection gets its own answer
    When a caller sends "POST" to "/plain/x" and the replica's script is "extra"
    Then the caller's answer is "whole"
    And the next request on the same connection gets its own answer

  Scenario: Another life at a known address runs nothing
    Given a gateway before 1 plain replica
    When the address of replica p0 goes to another life
    And a caller sends "POST" to "/plain/x"
    Then the caller's answer has status 503
    And the replicas ran 0 requests

  Scenario: A resumable stream goes on at another engine after its last event
    Given a gateway before 2 engines that stream 6 events
    When a caller streams from "/resume/x" and its engine breaks off in an event
    Then the caller got every event once, in order
    And the replicas ran 2 requests

  Scenario: Any other stream that breaks off is visibly incomplete
    Given a gateway before 2 engines that stream 6 events
    When a caller streams from "/once/x" and its engine breaks off in an event
    Then the caller's stream ended visibly incomplete
    And the replicas ran 1 request

  Scenario: New weights come into force while streams go on
    Given a gateway before 4 engines that stream 30 events slowly
    When 8 callers stream from "/once/x" and new weights are named meanwhile
    Then every stream is whole, with every event once, in order
    And some runs were moved to another engine
    And every engine soon runs version 2, ordered under a fencing token
    And no more engines than may ever loaded at once, in 4 orders

  Scenario: An order whose answer is lost is not taken for refused
    Given a gateway before 2 engines that stream 5 events
    When the answer to the first order is lost
    Then every engine soon runs version 2, ordered under a fencing token

  Scenario Outline: What is no proper request is refused and nothing runs
    Given a gateway before 1 plain replica
    When a caller sends <what> over a raw connection
    Then it is told <status> and nothing ran

    Examples:
      | what                         | status |
      | a head that is too large     | 431    |
      | a body that is too large     | 413    |
      | both a length and chunks     | 400    |
      | two different lengths        | 400    |
      | half a head and then nothing | 408    |
      | no request id                | 400    |
      | no HTTP at all               | 400    |
      | a deadline that is no number | 400    |

  Scenario: A chunked body reaches the replica whole
    Given a gateway before 1 plain replica
    When a caller sends a chunked body slowly, in two pieces
    Then the replica gets the whole body

  Scenario: An upstream's work ends when its caller leaves
    Given a gateway before 1 plain replica
    When a caller leaves while its request hangs at the replica
    Then the replica's connection is closed at once

  Scenario: A configuration is in force within seconds and never reverts
    Given a gateway before 1 plain replica
    When the operators move the route to another service
    Then within 2 seconds requests go to the other service only
    When an older configuration and nonsense follow
    Then the newest configuration stays in force and the nonsense is logged

  Scenario: A replica that leaves gets no new work
    Given a gateway before 2 plain replicas
    When replica p0 reports that it leaves
    Then replica p0 gets no further request

  Scenario: A graceful stop cuts nothing off
    Given a gateway before 1 engines that stream 20 events slowly
    When the gateway is told to stop while a request runs
    Then the caller got every event once, in order
    And the gateway ends by itself with code 0

  Scenario: A log that nobody reads holds nothing up
    Given a gateway before 1 plain replica
    When nobody reads the gateway's log
    Then 600 requests are served all the same

  Scenario: The store's outage stops no request
    Given a gateway before 1 plain replica
    When the store goes down
    Then requests are served all the same
    And a gateway that starts now is not ready and refuses with 503

  Scenario: The store returns from an older copy
    Given a gateway before 1 plain replica
    And the store is copied
    And the configuration is written 3 more times
    When the store returns from the copy
    And the configuration is written again, newer than before
    Then it is in force within 3 seconds
    And a caller's request is answered meanwhile and afterwards

  Scenario Outline: Settings are checked
    When the gateway starts with the setting "<line>"
    Then it ends with code 2 and says "<text>"

    Examples:
      | line                                | text                               |
      | health_listen = x                   | [peers] address: missing           |
      | colour = red                        | [gateway] colour: unknown key      |
      | health_listen = x\n[other]          | unknown section                    |
      | health_listen = x\ngrace_s = soon   | grace_s: not a valid float: 'soon' |
