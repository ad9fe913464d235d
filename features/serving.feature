Feature: Requests under limits, faults and marks
  Real processes on loopback. Faults injected: engines that hang, break
  mid-answer or crash, a router killed between a request and its repeat,
  an outage of the log, lost answers of a plain service, a burst.

  Scenario: An answer whose engine crashes goes on at another engine
    Given a fleet of 1 router and 2 engines that decode a token every 40 ms
    When a caller streams a 40-token answer and its engine is killed half-way
    Then the stream is whole and the same as an undisturbed answer

  Scenario: An engine that hangs is given up and the request goes elsewhere
    Given a fleet of 1 router and 2 engines of which engine 0 hangs
    When team "alpha" sends 4 different prompts
    Then all 4 were answered whole by engine-1

  Scenario: A marked request runs at most once, across a router's death
    Given a fleet of 2 routers and 1 engine
    When team "alpha" sends a marked request with key "sign-off-1" to router 0
    And router 0 is killed and started again
    And team "alpha" sends a marked request with key "sign-off-1" to router 0
    Then the caller got status 409
    When team "alpha" sends a marked request with key "sign-off-1" to router 1
    Then the caller got status 409
    And the engine has seen 1 requests

  Scenario: A marked request is refused as not run while the log is down
    Given a fleet of 1 router and 1 engine
    When the log service goes down
    And team "alpha" sends a marked request with key "sign-off-2" to router 0
    Then the caller got status 503
    And the refusal says the work was not run and when to come back
    And the engine has seen 0 requests
    When the log service comes back
    And team "alpha" soon gets a marked request with key "sign-off-2" through
    Then the engine has seen 1 requests

  Scenario: A plain call that must not be repeated is sent once
    Given a fleet of 1 router before a plain service of 2 replicas
    When the service loses the answer to a POST
    Then the caller is told that the call may have run
    And the service ran 1 POST call
    When the service loses the answer to a GET
    Then the caller got status 200

  Scenario: A burst sheds the low class and keeps the high one
    Given a fleet of 1 router and 1 engine of 2 slots that decodes a token every 20 ms
    When 4 checklist and 24 notes requests arrive at once
    Then every checklist request was answered whole
    And some notes were refused as not run with a time to come back
    And the log of routing decisions has a line for every request

  Scenario: A team over its limit is refused at once and others are served
    Given a fleet of 1 router and 1 engine of 4 slots that decodes a token every 40 ms
    When the operator applies "alter team beta set max_running = 1"
    And team "beta" sends 3 requests at once and team "alpha" 2
    Then 2 of "beta" were refused with status 429 as not run and all others answered

  Scenario: Connections gone silent cost one timeout, not one each
    Given a fleet of 1 router and 1 engine reached through a relay
    When 4 requests open 4 connections, which then go silent for good
    And team "alpha" sends one request and after it 4 at once
    Then only the first of them timed out
