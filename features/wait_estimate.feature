Feature: The expected wait for the first event follows observed waits
  Under overload most admitted requests missed their target latency by a little: the
  pending tokens gave a modelled wait of 0.7 s where the real one was 1.2 s. Admission
  therefore corrects modelled waits by observed ones.

  Scenario Outline: The expected wait follows engines that prefill <speed> tokens per ms
    Given a wait estimate without observations
    When 80 first events come from engines that prefill <speed> tokens per ms
    Then the expected wait for 30000 tokens is within 0.15 of the real one

    Examples:
      | speed |
      | 15    |
      | 40    |
      | 70    |

  Scenario: Conversions between modelled and expected waits are inverse to each other
    Given a wait estimate without observations
    Then the expected wait equals the modelled one
    When 80 first events come from engines that prefill 25 tokens per ms
    Then an expected wait converted to a modelled one and back is unchanged

  Scenario: The expected wait follows engines that become slower and faster again
    Given a wait estimate without observations
    When 80 first events come from engines that prefill 50 tokens per ms
    And 80 first events come from engines that prefill 15 tokens per ms
    Then the expected wait for 30000 tokens is within 0.2 of the real one
    When 120 first events come from engines that prefill 50 tokens per ms
    Then the expected wait for 30000 tokens is within 0.2 of the real one

  Scenario: The outliers of one failing engine do not block all requests
    Given a wait estimate without observations
    When 80 first events come from engines that prefill 50 tokens per ms
    And 3 first events take 12 seconds
    Then the expected wait for 10000 tokens is within 1.5 of the real one

  Scenario: Under lasting overload, requests are admitted only as far as they are served in time
    Given engines that prefill half as fast as modelled, at a tenth above their capacity
    When requests arrive for 40 seconds
    Then at least 0.75 of the requests admitted after 10 seconds meet the target latency
    And more requests meet it than with a limit on modelled waits

  Scenario: A prompt too long for the target latency is admitted on an idle engine
    Given a prompt of 39000 tokens that may wait 635 ms, or 3500 ms on an idle engine
    Then it may run on an engine with 2 requests and no pending tokens
    And it may not run on an engine with 12000 pending tokens
    When its caller's deadline is in 900 ms
    Then it may not run on an engine with 2 requests and no pending tokens

  Scenario: Engines too slow for the target latency still get requests
    Given a wait estimate without observations
    When 200 first events come from engines that prefill 8 tokens per ms
    Then the expected wait for a prompt of 9200 tokens is over 635 ms on every engine
    And it still may run on an engine with 2 requests and no pending tokens
