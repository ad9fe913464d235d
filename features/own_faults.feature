Feature: Internal errors of the router
  After an internal error, the response must tell the caller whether the request
  may have run, and a connection must not be used after another greenlet closed it.

  Scenario: An error before anything was sent gives a response that allows a retry
    Given a router whose placement raises an unexpected exception
    When a caller's request is handled
    Then the response is 503 with a short Retry-After
    And the error is logged with the request's id

  Scenario: An error after something was sent gives a response that allows no retry
    Given a router that raises an unexpected exception after it sent a request
    When a caller's request is handled
    Then the response is 502
    And the error is logged with the request's id

  Scenario: Idle connections are closed while a request acquires one
    Given 3 idle connections, the newest of them closed by the upstream
    When a request acquires a connection while another greenlet closes them all
    Then it gets an open connection

  Scenario: Another upstream responds at a listed address
    Given a gateway in front of 2 plain replicas
    When another incarnation takes over the address of replica p0
    And 20 requests are sent
    Then all are served, and at most 2 of them were sent to that address

  Scenario: A request that arrives while idle connections are closed is answered
    Given a server that is stopping, with one idle connection
    When idle connections are to be closed and a request starts before the close
    Then the request is answered
    And the connection is closed once it is idle again

  Scenario: A connection with an unread request is not closed as idle
    Given a server that is stopping, with one idle connection
    When a request is sent and the idle connections are closed at once
    Then the request is answered

  Scenario Outline: A stop with <left> seconds left <what> requests that take 1.76 seconds
    Given a gateway whose requests took 1.76 seconds at most
    When it stops in <left> seconds
    Then it <what> a further one

    Examples:
      | left | what    |
      | 1.78 | refuses |
      | 2.7  | begins  |

  Scenario: A stop needs no module that is not loaded some seconds after the start
    Given a server that runs in a process of its own
    When its package cannot be read any more and a request is cut by its stop
    Then the request is answered with 503 and the process ends

  Scenario: A connection that was announced to stay open is not closed when a stop begins
    Given a server with one connection whose request is being answered
    When a stop begins, and the answer does not announce that the connection closes
    Then another request on the same connection is answered, and that one announces it

  Scenario: A request that arrived while the process stalled is read, though its connection was idle for too long
    Given a caller's connection with an idle timeout of 0.2 seconds
    When the process stalls for 0.4 seconds, and a request arrives meanwhile
    Then the request is read

  Scenario: A response that arrived while the process stalled is read, though its time is over
    Given a request to an upstream that must answer within 0.2 seconds
    When the process stalls for 0.4 seconds, and the answer arrives meanwhile
    Then the answer is read

  Scenario: A process with more than a thousand connections reads its responses
    Given a request to an upstream over a connection whose descriptor is above 1023
    When the answer arrives
    Then the answer is read

  Scenario Outline: A client that is closed leaves no connection to an engine open
    Given an engine, and the client of <calls>
    When the client made a call and is closed
    Then the engine sees no open connection

    Examples:
      | calls                          |
      | orders of the own interface    |
      | orders of the platform         |
      | cache listings of the platform |

  Scenario: An append without attempts is an error of the caller
    When a record is to be appended in 0 attempts
    Then the error says that at least one attempt is needed

  Scenario: A request that was served without asking for permission is recorded
    Given a request that was never under suspicion, and no permission was acquired for it
    When it is recorded as served
    Then it counts as served lately

  Scenario: An upstream is not blamed for a request whose time is over
    Given a stream on an engine that is not reached before the request's time is over
    When the caller's request is served
    Then its caller is told that it has not run
    And the engine is not taken for failed
