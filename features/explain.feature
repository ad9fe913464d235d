Feature: Explaining a failed request from its id
  The operator tool reads the lines that real gateways wrote.

  Scenario: A refused request
    Given a gateway before 2 plain replicas
    When request "lost-1" is refused by every replica
    Then the operators learn of "lost-1" that "refused with 503"
    And of "lost-1" that "refuse"

  Scenario: A request whose answer broke off
    Given a gateway before 1 plain replica
    When request "lost-2" meets a replica that resets its connection
    Then the operators learn of "lost-2" that "the upstream's answer broke off and it may not run again"
    And of "lost-2" that "p0@1700000000000: "

  Scenario: A slow request
    Given a gateway before 1 engines that stream 5 events
    When request "slow-1" is streamed
    Then the operators learn of "slow-1" that "first event after"

  Scenario: A request nobody knows
    Given a gateway before 1 plain replica
    Then the operators learn of "never-sent" that "no line names this request"
