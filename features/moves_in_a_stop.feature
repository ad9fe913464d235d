Feature: Engines are emptied while a gateway stops
  A run that may run once is moved off an engine that is to load weights. Guards against
  runs that are stopped by a move and have not begun again when their gateway gives up
  or its grace ends, and against moves that cannot bring a run to its end any more.

  Scenario: Both engines of a stopped run refuse it until its memory is copied
    Given a gateway in front of 4 engines, streams have 100 events
    And the rest of each run's memory waits 0.9 seconds for a link
    When 8 streams have begun and weights are named
    Then runs were stopped by moves
    And every stream was answered whole
