Feature: Parts and copies of late responses do not change other responses
  Guards against a late response, or a part of one, that joins the next response on its
  connection or ends it early, and against sound responses that look like one.

  Scenario: A late copy of an earlier answer does not end the stream that it gets into
    Given a gateway in front of one engine, whose answers are written by hand
    And the engine sends a late copy of the first answer after the third event of the second
    When one caller sends two streams, one after the other
    Then the second stream is whole, or counts as broken off

  Scenario Outline: A part of a status line does not change the status of the next answer, <part>
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica sends "<part>" of a late copy before its second answer
    When one caller sends two plain requests, one after the other
    Then the second answer is not passed on with the status of the first one

    Examples:
      | part            |
      | HTTP/1.1 503 Se |
      | HTTP/1.1 204 No |

  Scenario Outline: A sound body without framing that quotes a status line is whole
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica answers without framing: <body>
    When one caller sends a plain request
    Then that body is received whole

    Examples:
      | body                                                 |
      | {"error": "origin said HTTP/1.1 502 Bad Gateway"}    |
      | we speak HTTP/1.1                                    |

  Scenario: A field that quotes a status line does not spoil its response
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica answers with a field "X-Origin-Status: HTTP/1.1 200 OK"
    When one caller sends a plain request
    Then that body is received whole

  Scenario: A large body without framing is whole if a second response repeats it
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica sends a body of 300000 bytes without framing, twice
    When one caller sends a plain request
    Then that body is received whole

  Scenario: A body of one line full of quoted status lines takes no time
    Given a body of 16000 quoted status lines in one line
    When it is received in pieces of 65536 bytes
    Then that takes less than 1 second of a processor

  Scenario: A part of a status line does not make a request run twice
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica sends "HTTP/1.1 421 Mis" of a late copy before its second answer
    When one caller sends two plain requests, one after the other
    Then no request was run twice

  Scenario: A stream that a whole copy follows is not whole where the copy goes on
    Given a gateway in front of one engine, whose answers are written by hand
    And the engine ends its stream after three events, and repeats all of it behind them
    When one caller sends a stream
    Then the stream is whole, or counts as broken off

  Scenario: A small body without framing is whole if a second response repeats it at once
    Given a gateway in front of one plain replica, whose answers are written by hand
    And the replica sends a body of 300 bytes without framing, twice
    When one caller sends a plain request
    Then that body is received whole
