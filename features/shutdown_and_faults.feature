Feature: Graceful shutdown, interrupted streams and accurate refusals
  Faults injected: SIGTERM while streams run, an engine killed in the middle
  of a response, responses labelled with another request's id, all engines down.

  Scenario: A graceful shutdown completes all running requests
    Given a router in front of 1 stand-in engine that decodes a token every 40 ms
    When 6 callers stream 20-token responses at once
    And the router gets SIGTERM while they stream
    Then all 6 streams arrive complete and end with [DONE]
    And the router exits with code 0

  Scenario: A graceful shutdown does not wait for idle connections
    Given a router in front of 1 stand-in engine
    When team "alpha" sends a 64-token prompt
    And the router gets SIGTERM
    Then the router exits with code 0 before its drain timeout of 5 s

  Scenario: Requests that a shutdown cuts are counted in its log
    Given a router in front of 1 stand-in engine that decodes a token every 40 ms
    When 2 callers stream 400-token responses at once
    And the router gets SIGTERM while they stream
    Then the router's log says that 2 requests were cut

  Scenario: A response interrupted by an engine crash ends with an error
    Given a router in front of 1 stand-in engine that decodes a token every 40 ms
    When a caller streams a 40-token response and the engine is killed half-way
    Then the stream ends with an error that says the work may have run
    And the stream has no [DONE]

  Scenario: A response for another request never reaches the caller
    Given a router in front of 1 stand-in engine that mixes up its responses
    When team "alpha" streams a 64-token prompt asking for 4 tokens
    Then the caller got status 502
    And the stream ends with an error that says the work may have run
    And the stream has no [DONE]
    And the stream carries no token

  Scenario: A request refused as "not run" was not run
    Given a router in front of 1 stand-in engine
    When the engine crashes and stays down
    And team "alpha" sends a 64-token prompt
    Then the caller got status 503
    And the refusal says that the request was not run and has a Retry-After header
