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

  Scenario Outline: Weights are named <named_s> seconds after the SIGTERM of <which>
    Given 2 gateways in front of 3 engines, streams have 110 events
    And the rest of each run's memory waits <copy_s> seconds for a link
    When streams run at <which>, which gets SIGTERM, and weights are named <named_s> seconds later
    Then no stream is lost
    And no run was stopped by a move after the SIGTERM

    Examples:
      | which                       | named_s | copy_s |
      | the holder of the rollout   | 2.2     | 1.0    |
      | a gateway beside the holder | 2.2     | 1.0    |
      | a gateway beside the holder | 2.8     | 0.1    |

  Scenario: A run that ends in time is moved in a stop as at any other time
    Given 2 gateways in front of 3 engines, streams have 26 events
    And 3 streams have ended at each gateway
    When streams run at a gateway beside the holder, which gets SIGTERM, and weights are named 0 seconds later
    Then runs were stopped by moves
    And every stream was answered whole

  Scenario: The retry budget is asked ever less often for a run that cannot move
    Given a stream that is moved to an engine that can be reached
    And its engine drains for 2.5 seconds, while the run goes on
    And the retry budget of its service is used up
    When the caller's request is served
    Then the retry budget was asked for its move 2 to 4 times
    And only the source engine was tried
