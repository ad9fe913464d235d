Feature: Runs that were moved to another engine
  A run that is moved to another engine has already started. If the destination
  fails, the run must be resumed after its last event or its stream must end
  visibly incomplete; starting the run again would execute it twice.

  Scenario: The destination engine cannot be reached
    Given a stream that is moved to an engine that cannot be reached
    When the caller's request is served
    Then only the source and the destination engine were tried
    And the caller's stream is visibly incomplete after 2 events

  Scenario: The destination engine is reached at the third attempt
    Given a stream that is moved to an engine reached at attempt 3
    When the caller's request is served
    Then only the source and the destination engine were tried
    And the caller's stream is complete, with 4 events
    And it was resumed from the copied KV cache, after event 2

  Scenario: A resumable stream is resumed on another engine after its last event
    Given a resumable stream that is moved to an engine that cannot be reached
    When the caller's request is served
    Then another engine was asked to resume after event 2
    And the caller's stream is complete, with 4 events

  Scenario: A resumable stream waits while all engines are loading weights
    Given a resumable stream that is moved to an engine that cannot be reached
    And no other engine accepts it at the next placements
    When the caller's request is served
    Then another engine was asked to resume after event 2
    And the caller's stream is complete, with 4 events

  Scenario: A run is not moved if its engine's weights changed meanwhile
    Given a stream on a drained engine that already runs other weights
    When the caller's request is served
    Then only the source engine was tried

  Scenario: A run is not moved to an engine that has no room for it
    An announced limit covers all requests that reach the engine, moved runs too.

    Given a stream that is moved to an engine reached at attempt 1
    And the destination engine announced a limit that is used up
    When the caller's request is served
    Then only the source engine was tried

  Scenario: A moved run counts towards the limit of its destination
    Given a stream that is moved to an engine reached at attempt 1
    And the destination engine announced a limit
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And its move was granted as one request of that limit

  Scenario: A run is not moved if the retry budget of its service is used up
    A moved run reaches a second engine, as a retry does.

    Given a stream that is moved to an engine reached at attempt 1
    And the retry budget of its service is used up
    When the caller's request is served
    Then only the source engine was tried

  Scenario: An engine starts again with other software before its first event
    What it writes is not passed on, and counts as not received.

    Given a resumable stream on an engine that starts again with other software
    When the caller's request is served
    Then another engine was asked to begin the stream
    And the caller's stream is complete, with 4 events

  Scenario: A stream that an engine of unknown software began does not go on elsewhere
    An engine may say that it has started again before its entry does.

    Given a resumable stream on an engine whose software is not known
    When the caller's request is served
    Then no other engine was tried
    And the caller's stream is visibly incomplete after 2 events

  Scenario: An engine that started again is known once its entry arrives
    Given a resumable stream on an engine whose software is not known
    And its entry arrives after that, and is no further start
    When the caller's request is served
    Then its next engine has to have software "v2"
