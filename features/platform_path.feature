Feature: The gateway end to end on the platform's protocol
  Runs the gateway as a separate process against stand-ins of the log service,
  the replicas and the callers. Each scenario injects one failure.

  Scenario: Forged platform headers of a caller do not reach the replica
    Given a gateway in front of 1 plain replica
    When a caller with forged headers sends a request
    Then the caller's answer has status 200
    And the replica gets the team, its own id, a shorter deadline and no forged header
    And the metrics count the requests by outcome
    And the log records how the request was placed and answered

  Scenario: Before the first configuration all requests are refused without being run
    Given a gateway without a configuration
    Then the caller's answer has status 503
    And the caller gets a Retry-After header
    When the first configuration is written
    And a caller sends "POST" to "/plain/x"
    Then the caller's answer has status 200
    When a caller sends "POST" to "/nowhere/x"
    Then the caller's answer has status 404
    When a caller with the key "stolen" sends "POST" to "/plain/x"
    Then the caller's answer has status 401
    And the replicas ran 1 request

  Scenario: Requests over a team's quota are refused without being run
    Given a gateway in front of 1 plain replica
    And the team has a quota of 1 requests a second and a burst of 2
    When its caller sends 6 requests one after the other
    Then the first 2 are answered and at least 2 are refused with 429
    And each refusal has a Retry-After header of at most 5 seconds
    And the replicas ran as many requests as were answered
    And the metrics count the quota refusals

  Scenario Outline: A request that is not retryable runs at most once
    Given a gateway in front of 2 plain replicas
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

  Scenario Outline: A retryable request is retried on another replica
    Given a gateway in front of 2 plain replicas
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

  Scenario: Every replica refuses the request
    Given a gateway in front of 2 plain replicas
    When a caller sends "POST" to "/plain/x" and the replica's script is "refuse,refuse,refuse,refuse,refuse"
    Then the caller's answer has status 503
    And the caller gets a Retry-After header
    And the replicas ran 0 requests

  Scenario: The replica's error response reaches the caller if every attempt fails
    Given a gateway in front of 2 plain replicas
    When a caller sends "GET" to "/safe/x" and the replica's script is "fail,fail"
    Then the caller's answer has status 500
    And the caller's answer is "broken"

  Scenario: Responses that belong to no request are discarded
    Given a gateway in front of 1 plain replica
    When a caller sends "POST" to "/plain/x" and the replica's script is "stray"
    Then the caller's answer is "whole"
    And the next request gets its own response
    When a caller sends "POST" to "/plain/x" and the replica's script is "extra"
    Then the caller's answer is "whole"
    And the next request gets its own response

  Scenario: A replica with another id at a known address runs nothing
    Given a gateway in front of 1 plain replica
    When another incarnation takes over the address of replica p0
    And a caller sends "POST" to "/plain/x"
    Then the caller's answer has status 503
    And the replicas ran 0 requests

  Scenario: A resumable stream continues on another engine after its last event
    Given a gateway in front of 2 engines that stream 6 events
    When a caller streams from "/resume/x" and its engine disconnects in the middle of an event
    Then the caller got every event once, in order
    And the replicas ran 2 requests

  Scenario: An interrupted stream that is not resumable ends visibly incomplete
    Given a gateway in front of 2 engines that stream 6 events
    When a caller streams from "/once/x" and its engine disconnects in the middle of an event
    Then the caller's stream ended visibly incomplete
    And the replicas ran 1 request

  Scenario: New weights are rolled out while streams run
    Given a gateway in front of 4 engines that stream 30 events slowly
    When 8 callers stream from "/once/x" and new weights are released meanwhile
    Then every stream is complete, with every event once and in order
    And some runs were moved to another engine
    And every engine soon runs version 2, ordered under a fencing token
    And the engines got 4 load orders in all

  Scenario: A load order whose response is lost is not treated as refused
    Given a gateway in front of 2 engines that stream 5 events
    When the answer to the first order is lost
    Then every engine soon runs version 2, ordered under a fencing token

  Scenario Outline: A malformed request is refused and not run
    Given a gateway in front of 1 plain replica
    When a caller sends <what> over a raw connection
    Then its response has status <status> and nothing ran

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

  Scenario: A chunked body reaches the replica complete
    Given a gateway in front of 1 plain replica
    When a caller sends a chunked body slowly, in two pieces
    Then the replica gets the whole body

  Scenario: An upstream's request is cancelled when its caller disconnects
    Given a gateway in front of 1 plain replica
    When a caller disconnects while its request hangs at the replica
    Then the replica's connection is closed within 1 second

  Scenario: A configuration takes effect within seconds and is never reverted
    Given a gateway in front of 1 plain replica
    When the operators move the route to another service
    Then within 2 seconds requests go to the other service only
    When an older configuration and invalid records follow
    Then the newest configuration stays in effect and the invalid records are logged

  Scenario: A draining replica gets no new requests
    Given a gateway in front of 2 plain replicas
    When replica p0 reports that it is draining
    Then replica p0 gets no further request

  Scenario: A graceful stop completes the running requests
    Given a gateway in front of 1 engines that stream 20 events slowly
    When the gateway gets SIGTERM while a request runs
    Then the caller got every event once, in order
    And the gateway exits with code 0

  Scenario: A full pipe on the gateway's standard output blocks no request
    Given a gateway in front of 1 plain replica
    When nobody reads the gateway's standard output
    Then 600 requests are still served

  Scenario: Requests are served during an outage of the log service
    Given a gateway in front of 1 plain replica
    When the log service stops answering
    Then requests are still served
    And a gateway that starts now is not ready and refuses with 503

  Scenario: The log service is restored from an older copy
    Given a gateway in front of 1 plain replica
    And the log service is copied
    And the configuration is written 3 more times
    When the log service is restored from the copy
    And the configuration is written again, newer than before
    Then it is in effect within 3 seconds
    And requests are answered after the restore and after the new configuration

  Scenario Outline: Invalid settings are refused at start-up
    When the gateway starts with the setting "<line>"
    Then it exits with code 2 and reports "<text>"

    Examples:
      | line                                | text                               |
      | health_listen = x                   | [peers] address: missing           |
      | colour = red                        | [gateway] colour: unknown key      |
      | health_listen = x\n[other]          | unknown section                    |
      | health_listen = x\ngrace_s = soon   | grace_s: not a valid float: 'soon' |
