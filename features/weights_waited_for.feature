Feature: Requests that wait on an engine while its weights are replaced
  A request starts with its first token, some time after it was sent. It must not start
  on replaced weights after the users' grace period, which differs by deployment.
  Without these checks a request sent in time can still start too late.

  Scenario Outline: Replaced weights are used for as long as the deployment allows
    Given an engine on weights 1 and a grace period of <grace_s> s for them
    When weights 2 were named <early_s> s ago
    Then a request goes to the engine
    When weights 2 were named <late_s> s ago
    Then no request goes to the engine

    Examples:
      | grace_s | early_s | late_s |
      | 5       | 3.3     | 4      |
      | 8       | 6.3     | 7      |
      | 12      | 10.3    | 11     |

  Scenario: No request is sent to an engine where it would wait beyond the grace period
    Given an engine on weights 1 and a grace period of 8 s for them
    When weights 2 were named 6 s ago
    Then a request goes to the engine
    When the engine first has to prefill other prompts for 1.2 s
    Then no request goes to the engine

  Scenario: Of the engines on replaced weights a request goes to the one that is ready in time
    Given an engine on weights 1 and a grace period of 8 s for them
    And another engine on weights 1 that first prefills other prompts for 0.3 s
    When weights 2 were named 6 s ago
    And the engine first has to prefill other prompts for 1.2 s
    Then a request goes to the other engine

  Scenario: A request that may be retried leaves its engine shortly before the grace period ends
    Given a resumable stream and an engine on weights 1 that starts nothing
    And an engine that runs weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then its connection to the engine was closed before the grace period ended
    And the caller's answer is complete, with events of weights 2

  Scenario: A request that must not run twice fails shortly before the grace period ends
    Given a stream that must not run twice and an engine on weights 1 that starts nothing
    And an engine that runs weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then its connection to the engine was closed before the grace period ended
    And the caller gets a 502 without a retry time, since the request may have run
    And no other engine was sent the request

  Scenario: A request is not sent when too little of the grace period is left to start
    Permissions, grants and connections take time between its placement and its sending.

    Given a stream that must not run twice and an engine on weights 1 that starts after 0.1 s
    And connections to engines take 0.25 s
    When the request is served 0.3 s after weights 2 were named
    Then the engine was sent no request
    And the caller gets a 503 with a retry time

  Scenario: A stream that started in time continues after the grace period
    Given a stream that must not run twice and an engine on weights 1 that pauses for 1.2 s
    When weights 2 are named while the request waits
    Then the caller's answer is complete, with events of weights 1

  Scenario: A request on the newest weights may wait longer than the grace period
    Given a stream that must not run twice and an engine on weights 1 that starts after 1.2 s
    When the request is served
    Then the caller's answer is complete, with events of weights 1

  Scenario: A request keeps waiting if its engine loads the newest weights meanwhile
    Given a stream that must not run twice and an engine on weights 1 that starts after 1.2 s
    And the engine is known to run weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then the caller's answer is complete

  Scenario: An engine slower than the others is expected to start a request too late
    Given a resumable stream and an engine on weights 1 that starts after 0.3 s
    And it has served 6 requests
    When weights 2 were named 0.35 s ago, and another engine on weights 1 starts at once
    Then the next request goes to the other engine

  Scenario: An engine that has become slow is expected to start a request too late
    Given an engine on weights 1 and a grace period of 8 s for them
    When the engine first has to prefill other prompts for 0.4 s
    And a request has waited on the engine for 1.6 s
    And weights 2 were named 5.5 s ago
    Then no request goes to the engine
    When that request has ended
    Then a request goes to the engine
