Feature: A soak of stops with real processes
  Gateways stop in turn and overlapping while callers use kept connections until the
  processes behind them are gone, engines with few places let requests wait, and become
  several times slower at the moment of a stop. Guards against accepted requests that a
  stop ends, but for those that an engine is still at work on at the end of the grace.
  More seeds, a longer grace and other loads: features/programs/stop_soak.py.

  Scenario Outline: Stops beside other planned work, seed <seed>
    Given 4 gateways in front of 5 engines that queue, seed <seed>
    When callers send for 20 seconds while gateways stop and engines slow down
    Then requests were sent in several stops, and others waited at engines
    And no request was cut in a stop but those still at work at its end
    And what was refused never ran, nothing ran twice, and no answer was wrong
    And no process needed to be killed, and each ended without an error

    Examples:
      | seed |
      | 1    |
