Feature: Every accepted request is answered whole
  Weights are named and configurations change while callers use kept connections. Guards
  against runs that a rollout stops before they can go on elsewhere, and against other
  accepted requests that the system ends for its own convenience.

  Scenario: A gateway that stops begins nothing that it cannot finish
    Streams take longer than the grace of a stop, as those before did.

    Given a gateway whose streams take 6 seconds, and 3 of them have ended
    When a caller streams, the gateway gets SIGTERM, and others go on sending
    Then no stream was begun after the SIGTERM, and those refused came back at once
    And the stream that was cut is named in a line, with the stop as its cause

  Scenario Outline: Runs are moved, and every second move is answered so: <answer>
    Given 4 gateways in front of 6 engines, all sound
    And every second move is answered so: <answer>
    When callers send for 10 seconds while weights are named and all is configured
    Then runs were to be moved
    And every accepted request was answered whole
    And no request ran that was refused, and none twice
    And no run was at work on two engines
    And most requests were served

    Examples:
      | answer                                                  |
      | it is done                                              |
      | 503 with a handle                                       |
      | 409                                                     |
      | 404, though the run goes on                             |
      | it is done, and the answer is lost                      |
      | it is done 1.2 seconds late                             |
      | it is done, and the copy expires                        |
      | it is done, and the destination refuses the run         |
      | it is done, and the destination resets the connection unread |
