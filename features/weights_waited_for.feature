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
