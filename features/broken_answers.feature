Feature: An answer that was broken off never reaches its caller as complete
  Answers may have neither length nor chunks and end with their connection. Guards
  against streams that end inside an event, and against ends of connections that the
  replica did not make, being passed on as complete.

  Scenario Outline: Events are complete once their blank line was received
    Given 300 random streams with any line ends, of seed <seed>
    When each is cut off anywhere and received in random pieces
    Then all of its complete events were passed on, and nothing of the next one
    And it counts as cut inside an event if it was

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Many comments without an event take no time
    Given a stream of 5000 comments and a part of an event
    When it is received
    Then it counts as cut inside an event, within 1 second

  Scenario Outline: Streams <framing> that end inside an event are broken off
    Given a gateway in front of 2 engines that stream 6 events
    And replicas whose answers are framed <framing>
    When streams end inside the third event, in any way
    Then those that cannot be resumed are broken off after 2 events
    And those that can be resumed reach their callers whole

    Examples:
      | framing              |
      | by chunks            |
      | by their connections |

  Scenario: A run that is moved while its stream has no framing is continued
    Given a stream without framing that is moved to an engine that can be reached
    When the caller's request is served
    Then the caller's stream is complete, with 4 events

  Scenario: A run that ended before it could be moved is complete
    Given a stream without framing whose run ends before it is moved
    When the caller's request is served
    Then the caller's stream is complete, with 2 events

  Scenario: A run that was stopped, and that no engine goes on with, breaks the stream off
    Given a stream without framing whose run is stopped, and no engine goes on with it
    When the caller's request is served
    Then the caller's stream is visibly incomplete after 2 events

  Scenario Outline: Answers without framing are whole when gateways that carry them are <how>
    Given 4 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    And slow replicas whose answers end with their connections, after 0.4 seconds
    When 2 gateways are cut from all replicas and one of the others is <how> every 2 seconds
    Then no answer is complete to its caller without being whole
    And the cut gateways served at least half of their requests

    Examples:
      | how     |
      | killed  |
      | stopped |

  Scenario: Gateways that are stopped finish the answers that they carry
    Given 4 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    And slow replicas whose answers end with their connections, after 0.4 seconds
    When 2 gateways are cut from all replicas and one of the others is stopped every 2 seconds
    Then no answer was broken off

  Scenario: An engine's stream that ends inside an event is resumed by the own interface
    Given an engine whose stream ends inside an event
    When its chunks are read by the own interface
    Then the error says that the response was broken off, after 2 chunks

  Scenario: Plain answers without framing are whole, sent again, or broken off
    Given a gateway in front of 2 plain replicas
    And replicas whose answers are framed by their connections
    When plain answers end, or are reset after a part, some of them large
    Then the whole ones reach their callers whole
    And the reset ones are sent again if they may run twice, and fail visibly otherwise

  Scenario Outline: Other readers take answers without framing, and nothing of a part: <call>
    Given a peer whose answer to <call> has no framing
    Then the whole answer is read
    And none that ends after any part of it is taken for one

    Examples:
      | call                   |
      | a report               |
      | a page of cache events |
      | a listing of the cache |
      | a read of the log      |
      | the newest records     |
      | a service call         |
