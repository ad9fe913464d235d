Feature: A body that has begun is not continued by another upstream
  Guards against a response that is no stream being taken for one that can be resumed:
  it was filled up with the events of another replica, and looked complete.

  Scenario Outline: <status> with a large body in <framing> that <end>, where streams can be resumed
    Given a gateway in front of 3 engines whose streams can be resumed
    When a caller's request gets <status> with a body in <framing> that <end>
    Then the caller has the beginning of that response, and its connection is closed
    And 1 engine got the request
    And the gateway's log names that engine and status <status> as the beginning

    Examples:
      | status | framing        | end                           |
      | 500    | a length       | breaks off                    |
      | 500    | a length       | is reset                      |
      | 500    | a length       | falls silent                  |
      | 500    | chunks         | breaks off                    |
      | 500    | chunks         | is reset                      |
      | 500    | chunks         | goes on with what is no chunk |
      | 500    | chunks         | has no end                    |
      | 500    | its connection | is reset                      |
      | 201    | chunks         | breaks off                    |
      | 302    | a length       | is reset                      |
      | 400    | chunks         | falls silent                  |
      | 404    | a length       | breaks off                    |

  Scenario Outline: A body in <framing> that <end>, and that nobody else can send, is awaited
    Given a gateway in front of 3 engines whose streams can be resumed
    When a caller's request gets <status> with a body in <framing> that <end>
    Then the caller has <part>
    And 1 engine got the request
    And the gateway's log names "<by>" as the end

    Examples:
      | status | framing  | end          | part                    | by       |
      | 400    | a length | pauses       | the whole response      | nobody   |
      | 500    | chunks   | pauses       | the whole response      | nobody   |
      | 500    | a length | falls silent | a part until 3 s        | deadline |
      | 400    | chunks   | has no end   | a part until 3 s        | deadline |

  Scenario: A body that breaks off in the second attempt
    Given a gateway in front of 3 engines whose streams can be resumed
    When the first engine resets its connection, and the second one's body breaks off
    Then the caller has the beginning of that response, and its connection is closed
    And 2 engines got the request

  Scenario: Bodies of all engines that break off
    Given a gateway in front of 3 engines whose streams can be resumed
    When the bodies of all engines break off
    Then the caller has the beginning of that response, and its connection is closed
    And 1 engine got the request

  Scenario: A small body that breaks off while there is no memory to hold it
    Given a gateway with little memory in front of 3 engines whose streams can be resumed
    When a caller's request gets 500 with a small body that breaks off
    Then the caller has the beginning of that response, and its connection is closed
    And 1 engine got the request

  Scenario: A body whose carrier is killed while the path to the engines comes back
    Given 3 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When a body is sent to a gateway that is cut from them, and what carries it is killed
    Then the caller has the beginning of that response, and its connection is closed
    And 1 engine got the request

  Scenario Outline: A stream is not continued by a whole response with <status> and <media_type>
    Given a gateway in front of 3 engines whose streams can be resumed
    When a stream breaks off, and the next engine answers <status> with <media_type>: "<body>"
    Then the caller has the whole stream of 5 events
    And 3 engines got the request

    Examples:
      | status | media_type        | body       |
      | 200    | text/plain        | ready: yes |
      | 200    | application/json  | {}         |
      | 201    | text/event-stream | data: made |
      | 500    | text/event-stream | data: none |

  Scenario: A stream is continued by a response whose media type differs in its parameters
    Given a gateway in front of 3 engines whose streams can be resumed
    When a stream breaks off, and the next engine answers 200 with Text/Event-Stream; charset=utf-8: "id: 3"
    Then the caller has the beginning of a stream of 2 events, and then "id: 3"
    And 2 engines got the request
