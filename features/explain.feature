Feature: Explaining a failed request from its id
  The explain command reads the log lines of running gateways. Guards against log
  texts and fields changing without the command, which then gives no cause.

  Scenario: A refused request
    Given a gateway in front of 2 plain replicas
    When request "lost-1" is refused by every replica
    Then the explanation of "lost-1" contains "refused with 503"
    And the explanation of "lost-1" contains "refuse"

  Scenario: A request whose response was interrupted
    Given a gateway in front of 1 plain replica
    When request "lost-2" is sent to a replica that resets the connection
    Then the explanation of "lost-2" contains "the upstream's response was interrupted; a retry is not allowed"
    And the explanation of "lost-2" contains "p0@1700000000000: "
    And the explanation of "lost-2" contains "accepted, and cut by its upstream"

  Scenario: A request whose response was cut after it had begun
    Given a gateway in front of 1 plain replica
    When request "lost-3" is sent to a replica that breaks off a large body
    Then the explanation of "lost-3" contains "its response had begun with status 200 at upstream p0@1700000000000"
    And the explanation of "lost-3" contains "connection closed"

  Scenario: A slow request
    Given a gateway in front of 1 engines that stream 5 events
    When request "slow-1" is streamed
    Then the explanation of "slow-1" contains "first event after"

  Scenario: An unknown request
    Given a gateway in front of 1 plain replica
    Then the explanation of "never-sent" contains "no log line has this request id"
