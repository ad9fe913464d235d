Feature: Requests that wait at an engine while its weights are replaced
  A request begins with its first token, some time after it was sent. It must not
  begin on replaced weights later than the users' bound, whose length differs from
  deployment to deployment.

  Scenario Outline: Replaced weights are used as long as the deployment allows
    Given an engine on weights 1 and a bound of <bound_s> s for beginning on them
    When weights 2 were named <early_s> s ago
    Then a request goes to the engine
    When weights 2 were named <late_s> s ago
    Then no request goes to the engine

    Examples:
      | bound_s | early_s | late_s |
      | 5       | 3.3     | 4      |
      | 8       | 6.3     | 7      |
      | 12      | 10.3    | 11     |

  Scenario: A request that would wait at its engine until the bound is over
    Given an engine on weights 1 and a bound of 8 s for beginning on them
    When weights 2 were named 6 s ago
    Then a request goes to the engine
    When the engine has to read 1.2 s of prompts for others first
    Then no request goes to the engine

  Scenario: A request takes the engine on replaced weights that is ready in time
    Given an engine on weights 1 and a bound of 8 s for beginning on them
    And another engine on weights 1 that has to read 0.3 s of prompts first
    When weights 2 were named 6 s ago
    And the engine has to read 1.2 s of prompts for others first
    Then a request goes to the other engine

  Scenario: A request that may be repeated waits until the bound is near
    Given a resumable stream and an engine on weights 1 that begins nothing
    And an engine that runs weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then its engine was left before the bound
    And the caller's answer is whole, with events of weights 2

  Scenario: A request that must not run twice waits until the bound is near
    Given a stream that must not run twice and an engine on weights 1 that begins nothing
    And an engine that runs weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then its engine was left before the bound
    And the caller is told nothing of whether it ran
    And no other engine was sent the request

  Scenario: A stream that began in time goes on after the bound
    Given a stream that must not run twice and an engine on weights 1 that pauses for 1.2 s
    When weights 2 are named while the request waits
    Then the caller's answer is whole, with events of weights 1

  Scenario: A request on the newest weights waits as long as it likes
    Given a stream that must not run twice and an engine on weights 1 that begins after 1.2 s
    When the request is served
    Then the caller's answer is whole, with events of weights 1

  Scenario: A request whose engine loaded the newest weights meanwhile
    Given a stream that must not run twice and an engine on weights 1 that begins after 1.2 s
    And the engine is known to run weights 2 from 0.2 s after they are named
    When weights 2 are named while the request waits
    Then the caller's answer is whole

  Scenario: An engine that is slower than the others is expected to begin too late
    Given a resumable stream and an engine on weights 1 that begins after 0.3 s
    And 6 requests were served by it
    When weights 2 were named 0.35 s ago, and another engine on weights 1 begins at once
    Then the next request goes to the other engine

  Scenario: An engine that has turned slow is expected to begin too late
    Given an engine on weights 1 and a bound of 8 s for beginning on them
    When the engine has to read 0.4 s of prompts for others first
    And a request has waited at the engine for 1.6 s
    And weights 2 were named 5.5 s ago
    Then no request goes to the engine
    When that request is over
    Then a request goes to the engine
