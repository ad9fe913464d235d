Feature: The last bytes of a response reach the caller
  What an engine wrote in time is not lost between this process and its caller. Guards
  against closes that reset a connection while a part of the response is on its way,
  and against callers that are given up although they still receive.

  Scenario Outline: A caller sends <sent> while its response is on the way, and <end>
    The caller receives slowly, so that most of the response is still in the system's
    buffers when the gateway closes the connection.

    Given a gateway whose engine streams 200 kB in half a second
    When a slow caller sends <sent> behind its request, and <end>
    Then the slow caller receives the whole response

    Examples:
      | sent            | end                              |
      | an empty line   | asked for the close              |
      | another request | asked for the close              |
      | an empty line   | the response begins in a stop    |
      | another request | the response begins in a stop    |

  Scenario Outline: A caller that still receives is not idle, and sends <sent>
    Given a gateway whose engine streams 200 kB in half a second
    When a slow caller on a kept connection sends <sent> 2.4 s into a stop
    Then the slow caller receives the whole response

    Examples:
      | sent            |
      | an empty line   |
      | another request |

  Scenario: A caller still receives when its connection has been idle for too long
    Given connections may be idle for 1 second
    And a gateway whose engine streams 200 kB in half a second
    When a slow caller on a kept connection sends an empty line 1.7 s after its request
    Then the slow caller receives the whole response

  Scenario Outline: A caller that receives <how> gets a whole body
    Given a gateway whose plain service answers with 250 kB
    When a caller receives such an answer <how>
    Then it receives the whole body

    Examples:
      | how                        |
      | at 20 kB a second          |
      | after a pause of 6 seconds |

  Scenario: A caller that receives steadily is not given up, however large the body is
    Given a gateway whose plain service answers with 9000 kB
    When a caller goes on receiving such an answer at 100 kB a second for 9 seconds
    Then the gateway has not logged that the caller left

  Scenario: A caller that receives nothing is given up
    Given a gateway whose plain service answers with 9000 kB
    When a caller receives nothing of such an answer
    Then the gateway logs within 12 seconds that the caller left

  Scenario: An empty line behind a request does not end its connection
    The time limit of a request's head is 0.8 seconds.

    Given a gateway whose plain service answers with 1 kB
    When a caller sends a request, an empty line, and after 1.6 s its next request
    Then both requests are answered on one connection

  Scenario Outline: A caller that <does> holds up neither its connection nor a stop
    Given a gateway whose engine streams 200 kB in half a second
    When the gateway stops, and a caller that has its response <does>
    Then the process ends well before its grace is over

    Examples:
      | does                       |
      | closes its connection      |
      | keeps its connection open  |
      | keeps sending single bytes |
      | sends as much as it can    |

  Scenario: A caller that still receives when the grace ends does not hold up the process
    Its response has begun, and is cut.

    Given a gateway with a grace of 4 seconds whose engine streams for longer than that
    When the gateway stops, and a caller that receives nothing has a response under way
    Then the process ends by itself within its grace, as after any other stop

  Scenario: A stop that fails ends the process, and says so
    Given a gateway whose stop fails, and whose interpreter takes long to end
    When the gateway stops, and serves nothing
    Then the process ends with an error, which is logged, well before its grace is over

  Scenario Outline: The last lines of a log whose reader <reads>
    Given a log whose pipe is full, with more lines pending
    When the process ends its log, and the reader <reads>
    Then <outcome>, and the end takes at most 0.35 seconds

    Examples:
      | reads                | outcome                |
      | goes on a bit later  | every line arrives     |
      | never reads again    | what was written stays |
