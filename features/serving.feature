Feature: Limits, retries and idempotency keys under faults
  Runs real processes on loopback. Faults injected: engines that hang or crash in
  the middle of a response, a router killed between a request and its retry, a log
  service outage, lost responses of a plain service, a burst of requests, and
  connections that stay open but carry no data.

  Scenario: A response whose engine crashes is resumed on another engine
    Given a fleet of 1 router and 2 engines that decode a token every 40 ms
    When a caller streams a 40-token response and its engine is killed half-way
    Then the stream is complete and equals an uninterrupted response

  Scenario: A request times out on a hanging engine and is retried on another
    Given a fleet of 1 router and 2 engines of which engine 0 hangs
    When team "alpha" sends 4 different prompts
    Then all 4 got complete responses from engine-1

  Scenario: A request with an idempotency key runs at most once, even if its router is killed
    Given a fleet of 2 routers and 1 engine
    When team "alpha" sends a request with idempotency key "sign-off-1" to router 0
    And router 0 is killed and started again
    And team "alpha" sends a request with idempotency key "sign-off-1" to router 0
    Then the caller got status 409
    When team "alpha" sends a request with idempotency key "sign-off-1" to router 1
    Then the caller got status 409
    And the engine has seen 1 requests

  Scenario: A request with an idempotency key is refused as not run while the log is down
    Given a fleet of 1 router and 1 engine
    When the log service goes down
    And team "alpha" sends a request with idempotency key "sign-off-2" to router 0
    Then the caller got status 503
    And the refusal says that the request was not run and has a Retry-After header
    And the engine has seen 0 requests
    When the log service comes back
    And team "alpha" retries a request with idempotency key "sign-off-2" until it succeeds
    Then the engine has seen 1 requests

  Scenario: A service call that is not repeatable is sent only once
    Given a fleet of 1 router in front of a plain service of 2 replicas
    When the service loses the response to a POST
    Then the caller gets an error that says the call may have run
    And the service ran 1 POST call
    When the service loses the response to a GET
    Then the caller got status 200

  Scenario: In a burst the low priority class is shed and the high one served
    Given a fleet of 1 router and 1 engine of 2 slots that decodes a token every 20 ms
    When 4 checklist and 24 notes requests arrive at once
    Then every checklist request got a complete response
    And some notes requests were refused as not run, with a retry delay
    And the log of routing decisions has a line for every request

  Scenario: Requests of a team over its limit are refused at once, others are served
    Given a fleet of 1 router and 1 engine of 4 slots that decodes a token every 40 ms
    When the operator applies "alter team beta set max_running = 1"
    And team "beta" sends 3 requests at once and team "alpha" 2
    Then 2 requests of "beta" were refused with status 429 as not run and all others succeeded

  Scenario: Connections that stop carrying data cause one timeout, not one each
    Given a fleet of 1 router and 1 engine reached through a relay
    When 4 requests open 4 connections, which then stop carrying data
    And team "alpha" sends one request and after it 4 at once
    Then only the first of them timed out
