Feature: Responses to the system's own calls are limited
  What answers a call may send bytes without end, as fast or as slowly as it likes. Guards
  against a response that takes the memory of the instance that reads it, and then that of
  the next one; and against one that never ends.

  Scenario Outline: <client> reads no response without end, and waits for none: <response>
    Given a server whose responses are <response>
    When <client> makes a call
    Then the call fails in at most <time_s> seconds, and the server has sent at most 16 MB
    And the server's connection is closed

    Examples:
      | client                     | response                    | time_s |
      | cache listings             | bodies without end          | 5.0    |
      | cache listings             | bodies in chunks without end | 5.0   |
      | cache listings             | bodies that hardly go on    | 5.5    |
      | cache listings             | compressed and huge         | 5.0    |
      | cache events               | bodies without end          | 5.0    |
      | reports                    | bodies without end          | 1.5    |
      | reports                    | bodies that hardly go on    | 1.5    |
      | weights orders             | bodies without end          | 1.5    |
      | moves                      | bodies without end          | 3.0    |
      | freed handles              | bodies without end          | 1.5    |
      | the log service            | bodies without end          | 3.5    |
      | the log service            | bodies that hardly go on    | 3.5    |
      | newest records             | bodies without end          | 3.5    |
      | the instance list          | bodies without end          | 3.5    |
      | plain services             | bodies without end          | 3.5    |
      | plain services             | bodies that hardly go on    | 3.5    |
      | orders of the own interface | bodies without end         | 1.5    |
      | streams of the own interface | events without end        | 3.5    |
      | streams of the own interface | an event without end      | 3.5    |

  Scenario Outline: A response is limited whatever does not end in it: <response>
    Given a server whose responses are <response>
    When a call that allows 1 MB and 2 seconds is made
    Then the call fails in at most 3.0 seconds, and the server has sent at most 16 MB
    And the server's connection is closed

    Examples:
      | response                     |
      | bodies without end           |
      | bodies in chunks without end |
      | bodies that hardly go on     |
      | heads that hardly go on      |
      | trailers without end         |
      | a size of chunk without end  |
      | interim heads without end    |
      | fields without end           |
      | compressed and huge          |

  Scenario Outline: A large response within its limits is received: <response>
    Given a server whose responses are <response>
    When a call that allows 1 MB and 2 seconds is made
    Then it gets 1000000 bytes

    Examples:
      | response                |
      | large                   |
      | large, in chunks        |
      | large, ended by a close |
      | large, compressed       |
      | large, in small pieces  |

  Scenario: A holder's full memory is listed
    Given a server whose responses are a listing of 7000 parts
    When a holder with a memory of 112000 tokens lists its parts
    Then all 7000 parts are listed

  Scenario: A second call uses the connection of the first
    Given a server whose responses are large
    When two calls that allow 1 MB are made
    Then the server saw one connection

  Scenario Outline: A replica answers <path> without end, and the gateways serve the others
    Given 2 gateways in front of 3 engines and 2 plain replicas
    When an engine answers <path> without end for 4 seconds, while callers send to the plain ones
    Then every request was answered, and each gateway takes at most 32 MB more
    And the other engines are polled as before

    Examples:
      | path       |
      | /kv-events |
      | /kv-list   |
      | /report    |
