Feature: A stop ends no accepted request without a response
  Guards against requests that are cut around the SIGTERM of their gateway: those that no
  upstream has begun when the grace ends, and those that are begun although they may
  outlast it. The grace of these gateways is 4 seconds, if nothing else is said.

  Scenario Outline: Requests that no upstream has begun when a stop ends get a response, <how>
    Given a gateway whose <kind> requests are held by their upstream for longer than a stop
    When 6 requests are sent with <framing>, and the gateway gets SIGTERM
    Then each caller got a whole response with status 502

    Examples:
      | how            | kind   | framing  |
      | plain          | plain  | a length |
      | stream         | stream | a length |
      | body in chunks | stream | chunks   |

  Scenario: Requests that wait for an upstream and would outlast a stop are refused at once
    Given a gateway that has served 3 streams of 2.5 seconds
    And its only engine does not accept requests
    When 4 streams wait for an engine, and the gateway gets SIGTERM
    Then each was refused within 1 second of the SIGTERM, and none ran

  Scenario: A connection that was busy when the stop began brings a late request
    The engines get slower meanwhile.

    Given a gateway with a grace of 8 seconds that has served 600 streams of 0.1 seconds
    When a stream of 3.2 seconds begins, the gateway gets SIGTERM, and engines get 70 times slower
    And the same connection brings a stream at once when the first one has ended
    Then the first stream was whole
    And the second one was refused, the connection announced its end, and it did not run

  Scenario: A request begins early in a stop, and the last bytes of its body are late
    Given a gateway with a grace of 8 seconds that has served 600 streams of 0.1 seconds
    When the gateway gets SIGTERM, and engines get 70 times slower
    And a stream's body in chunks begins 2 seconds later, and ends 3.2 seconds after the SIGTERM
    Then the second one was refused, the connection announced its end, and it did not run

  Scenario: A late request whose deadline passes before the stop ends is served
    Given a gateway with a grace of 8 seconds that has served 600 streams of 0.1 seconds
    When a stream of 3.2 seconds begins, and the gateway gets SIGTERM
    And the same connection brings a stream with a deadline of 2000 ms when the first one has ended
    Then both streams were whole

  Scenario: A gateway that has served nothing begins no stream in a stop
    Given a gateway that has served 0 streams of 6 seconds
    When the gateway gets SIGTERM and 4 callers stream
    Then each was refused within 1 second of the SIGTERM, and none ran

  Scenario: Refusals within milliseconds do not make streams look short
    Given a gateway that has served 3 streams of 3.4 seconds
    And 400 requests for streams have been refused
    When the gateway gets SIGTERM and 4 callers stream
    Then each was refused within 1 second of the SIGTERM, and none ran

  Scenario: Requests that take longer only recently are expected to take as long again
    Given a gateway that has served 200 streams of 0.1 seconds
    And one stream of 3.4 seconds has ended
    When the gateway gets SIGTERM and 4 callers stream
    Then each was refused within 1 second of the SIGTERM, and none ran

  Scenario: Short requests are served in the first seconds of a stop
    Given a gateway with a grace of 8 seconds that has served 3 streams of 0.3 seconds
    When the gateway gets SIGTERM and 4 callers stream
    Then each stream was whole

  Scenario Outline: Requests come until a stop ends, and their upstream has become slow: <kind>
    What they are expected to take is wrong.

    Given a gateway that has served 300 <kind> requests at once
    When it gets SIGTERM, its upstream gets slower than the stop, and requests come all the time
    Then all that reached the upstream got a whole response with status 502
    And the others were refused, or their connections closed

    Examples:
      | kind   |
      | plain  |
      | stream |
