Feature: Runs that were moved to another engine
  A run that was moved has begun. Whatever happens on the way, it goes on from
  where it was, or it ends visibly; it never begins anew.

  Scenario: The engine it was moved to cannot be reached
    Given a stream that is moved to an engine that cannot be reached
    When the caller's request is served
    Then only its own engine and the one it was moved to were tried
    And the caller's stream is visibly incomplete after 2 events

  Scenario: The engine it was moved to is reached at the third attempt
    Given a stream that is moved to an engine reached at attempt 3
    When the caller's request is served
    Then only its own engine and the one it was moved to were tried
    And the caller's stream is whole, with 4 events
    And it went on from the copy, after event 2

  Scenario: A resumable stream goes on elsewhere after its last event
    Given a resumable stream that is moved to an engine that cannot be reached
    When the caller's request is served
    Then another engine was asked to go on after event 2
    And the caller's stream is whole, with 4 events

  Scenario: A resumable stream waits for an engine that just loads
    Given a resumable stream that is moved to an engine that cannot be reached
    And no other engine takes it for a moment
    When the caller's request is served
    Then another engine was asked to go on after event 2
    And the caller's stream is whole, with 4 events

  Scenario: A run whose engine changed its weights under it is not moved
    Given a stream that could move, whose engine is known to run other weights by now
    When the caller's request is served
    Then only its own engine was tried
