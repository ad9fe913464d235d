Feature: Learning how long an engine takes to the first event
  At an overload most requests that were let in came just too late: the tokens before
  them made believe a wait of 0.7 s where 1.2 s passed. What is let in goes by what
  first events really took.

  Scenario Outline: The expected wait follows engines of <speed> tokens a millisecond
    Given an estimate of waits that nobody corrected yet
    When 80 first events come from engines that read <speed> tokens a millisecond
    Then a wait of 30000 tokens is expected within 0.15 of what it takes

    Examples:
      | speed |
      | 15    |
      | 40    |
      | 70    |

  Scenario: A wait that is believed and one that is expected are each other's image
    Given an estimate of waits that nobody corrected yet
    Then it expects what is believed
    When 80 first events come from engines that read 25 tokens a millisecond
    Then what is believed of an expected wait is expected again

  Scenario: Engines that turn slower and faster again
    Given an estimate of waits that nobody corrected yet
    When 80 first events come from engines that read 50 tokens a millisecond
    And 80 first events come from engines that read 15 tokens a millisecond
    Then a wait of 30000 tokens is expected within 0.2 of what it takes
    When 120 first events come from engines that read 50 tokens a millisecond
    Then a wait of 30000 tokens is expected within 0.2 of what it takes

  Scenario: One engine that fails does not stop all requests
    Given an estimate of waits that nobody corrected yet
    When 80 first events come from engines that read 50 tokens a millisecond
    And 3 first events take 12 seconds
    Then a wait of 10000 tokens is expected within 1.5 of what it takes

  Scenario: An overload that lasts is let in as far as it is served in time
    Given engines that read half as fast as believed, with a tenth more load than they bear
    When requests come for 40 seconds
    Then at least 0.75 of what was let in after 10 seconds is in aim
    And more requests are in aim than with a limit on what is believed

  Scenario: A prompt that takes longer than is aimed at runs where nobody is before it
    Given a prompt of 39000 tokens that may wait 635 ms, or 3500 ms alone
    Then it may run on an engine with 2 requests and nothing to read
    And it may not run on an engine with 12000 tokens to read before it
    When its caller has 900 ms left for it
    Then it may not run on an engine with 2 requests and nothing to read

  Scenario: Engines that turn too slow for every aim go on being tried
    Given an estimate of waits that nobody corrected yet
    When 200 first events come from engines that read 8 tokens a millisecond
    Then a prompt of 9200 tokens is expected after 635 ms everywhere
    And it still may run on an engine with 2 requests and nothing to read
