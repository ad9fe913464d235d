Feature: Runs that were moved to another engine
  A run that is moved to another engine has already started, and starting it again would
  execute it twice. Guards against runs that are stopped before they can go on
  elsewhere: the run goes on at its source until all is ready at its destination, and
  its source takes it back if the destination does not go on with it.

  Scenario: The destination engine cannot be reached
    Given a stream that is moved to an engine that cannot be reached
    When the caller's request is served
    Then the run was not stopped
    And the caller's stream is complete, with 4 events
    And nothing is reserved for it any more

  Scenario: The destination engine is reached
    Given a stream that is moved to an engine that can be reached
    When the caller's request is served
    Then only the source and the destination engine were tried
    And the caller's stream is complete, with 4 events
    And it went on at its destination, after event 2

  Scenario Outline: A run moves only between processes that are known: <restarts> restarted
    An entry that was read before does not tell what software runs at either end.

    Given a stream that is to be moved from or to an engine that restarts: <restarts>
    When the caller's request is served
    Then the run <was stopped>
    And the caller's stream is complete, with 4 events

    Examples:
      | restarts | was stopped     |
      | neither  | was stopped     |
      | source   | was not stopped |
      | target   | was not stopped |

  Scenario Outline: A move that does not stop the run leaves it where it is: <answer>
    Given a stream whose move is answered so: <answer>
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And its source went on with it, and no other engine was sent it

    Examples:
      | answer                                   |
      | no room for a copy                       |
      | no such run                              |
      | another call is in progress              |
      | the answer to the copy is lost           |
      | not stopped, without room                |
      | not stopped, another call is in progress |

  Scenario: A run that was stopped without room elsewhere goes on at its source
    Given a stream whose move is answered so: stopped, without room
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its source, after event 2

  Scenario: A run whose stop was not answered goes on from its copy
    Given a stream whose move is answered so: stopped, and the answer is lost
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its destination, after event 2

  Scenario Outline: A run that its destination <what> goes on at its <place>
    Given a stream that is moved to an engine that <how>, while its source serves
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its <place>, after event 2

    Examples:
      | what            | how                          | place       |
      | refuses         | refuses it                   | source      |
      | does not read   | resets its connection unread | destination |

  Scenario: A run goes on at its source if its destination resets a request and runs other weights then
    Given a stream that is moved to an engine that resets once and has other weights, while its source serves
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its source, after event 2

  Scenario: The retry with which a source takes its run back is granted before the run is stopped
    Given a stream that is moved to an engine that refuses it, while its source serves
    And the retry budget of its service is used up as soon as the run is stopped
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its source, after event 2

  Scenario: A run that both refuse for a moment goes on a little later
    Given a stream that is moved to an engine that refuses it twice, while its source refuses it
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And it went on at its destination, after event 2

  Scenario: A run that no engine goes on with ends visibly incomplete
    Given a stream that is moved to an engine that refuses it, while its source refuses it
    When the caller's request is served
    Then only the source and the destination engine were tried
    And the caller's stream is visibly incomplete after 2 events
    And nothing is reserved for it any more

  Scenario: A run is not stopped if its destination is to load weights itself
    Given a stream that is moved to an engine that can be reached
    And the destination is to load weights itself once the copy is made
    When the caller's request is served
    Then the run was not stopped
    And the caller's stream is complete, with 4 events
    And nothing is reserved for it any more

  Scenario: A resumable stream that no engine goes on with is resumed after its last event
    Given a resumable stream that is moved to an engine that refuses it
    When the caller's request is served
    Then another engine was asked to resume after event 2
    And the caller's stream is complete, with 4 events

  Scenario: A resumable stream waits while all engines are loading weights
    Given a resumable stream that is moved to an engine that refuses it
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

    Given a stream that is moved to an engine that can be reached
    And the destination engine announced a limit that is used up
    When the caller's request is served
    Then only the source engine was tried

  Scenario: A moved run counts towards the limit of its destination
    Given a stream that is moved to an engine that can be reached
    And the destination engine announced a limit
    When the caller's request is served
    Then the caller's stream is complete, with 4 events
    And its move was granted as one request of that limit

  Scenario: A run is not moved if the retry budget of its service is used up
    A moved run reaches a second engine, as a retry does.

    Given a stream that is moved to an engine that can be reached
    And the retry budget of its service is used up
    When the caller's request is served
    Then it was not asked to move
    And only the source engine was tried

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
