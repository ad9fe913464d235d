Feature: A soak of planned work with real processes
  Callers use kept connections until the processes behind them are gone, while weights
  are named, configurations change, gateways stop, start and reload, and engines are
  replaced, in series and overlapping. Guards against accepted requests that any of this
  ends. More seeds, larger fleets, pauses and kills: features/programs/soak.py.

  Scenario Outline: Planned work in series and overlapping, seed <seed>
    Given 5 gateways in front of 6 engines, all sound
    And moves are answered in any way that the protocol allows
    When callers send for 20 seconds while planned work of seed <seed> goes on
    Then runs were to be moved
    And every accepted request was answered whole
    And no request ran that was refused, and none twice
    And no run was at work on two engines
    And most requests were served

    Examples:
      | seed |
      | 1    |

  Scenario: The programs of a large fleet get no port twice
    When one process asks for the ports of 70 instances
    Then none of them was given twice
