Feature: What is no HTTP response never reaches a caller as one
  A replica in trouble may send a head that is none, or reset its connection while it
  still receives. Guards against either being taken for an answer, by callers or by the
  system's own calls.

  Scenario Outline: Callers get nothing of an answer from <replicas> that begins with <line>
    Given a gateway in front of <replicas>
    When first answers begin with <line>, with a length and without
    Then callers got a whole answer of another replica, or 502
    And nothing ran twice that must not

    Examples:
      | replicas                       | line                |
      | 2 plain replicas               | HTTP/1.1 000 Status |
      | 2 plain replicas               | HTTP/1.1 000        |
      | 2 plain replicas               | HTTP/1.1 099 Status |
      | 2 plain replicas               | HTTP/1.1 101 Status |
      | 2 plain replicas               | HTTP/1.1 600 Status |
      | 2 plain replicas               | HTTP/1.1 999 Status |
      | 2 plain replicas               | HTTP/2.0 200 OK     |
      | 2 plain replicas               | HTTP/0.9 200 OK     |
      | 2 plain replicas               | ICE/1.0 200 OK      |
      | 2 plain replicas               | RTSP/1.1 200 OK     |
      | 2 engines that stream 3 events | HTTP/1.1 000 Status |
      | 2 engines that stream 3 events | HTTP/1.1 600 Status |
      | 2 engines that stream 3 events | HTTP/2.0 200 OK     |
      | 2 engines that stream 3 events | ICE/1.0 200 OK      |
      | 2 engines that stream 3 events | RTSP/1.0 200 OK     |

  Scenario Outline: The name of another protocol is found wherever a head begins: <connection>
    Given answers on a connection <connection>
    Then no ICE or RTSP head is taken for one, in any two pieces, first or behind another one
    And a body and a field that hold one are received whole, in any two pieces

    Examples:
      | connection  |
      | of its own  |
      | on a tunnel |

  Scenario Outline: A carrier believes nothing of an answer that begins with <line>
    Given a tunnel between a sender and its upstream
    When a request is answered with <line> and says that its replica leaves
    Then the carrier noted nothing, and no request as answered

    Examples:
      | line                |
      | HTTP/1.1 000 Status |
      | HTTP/1.1 600 Status |
      | HTTP/2.0 503 Busy   |
      | ICE/1.0 503 Busy    |

  Scenario Outline: No tunnel is opened by an instance that answers <line>
    When an instance is asked for a tunnel, and answers <line>
    Then no tunnel is open

    Examples:
      | line                |
      | HTTP/1.1 000 Status |
      | HTTP/2.0 200 OK     |
      | ICE/1.0 200 OK      |

  Scenario Outline: A head of a response cannot have the status <status>
    Then no head of a response can be made with the status <status>

    Examples:
      | status |
      | 0      |
      | 99     |
      | 100    |
      | 199    |
      | 600    |

  Scenario Outline: An answer without a length is whole only if its replica closed: <replicas>
    The upload is still being sent then; nobody reads the rest of it.

    Given a gateway in front of <replicas>
    And callers may send 8 MB
    When first answers to uploads of 8 MB have no length and end early, <end>
    Then callers got <expected>
    And nothing ran twice that must not

    Examples:
      | replicas                       | end           | expected                                  |
      | 2 plain replicas               | reset         | a whole answer of another replica, or 502 |
      | 2 engines that stream 3 events | reset         | whole streams, or some cut visibly        |
      | 2 plain replicas               | closed, reset | what was sent                             |

  Scenario Outline: A reset in an upload ends no answer, on a connection <where>: <end>
    When uploads of 8 MB on a connection <where> are answered early: <end>
    Then <expected>

    Examples:
      | where        | end                       | expected            |
      | of its own   | no length, reset          | there is no answer  |
      | of its own   | no length, closed, reset  | the answer is whole |
      | of its own   | a length, reset           | the answer is whole |
      | of its own   | chunks, reset             | the answer is whole |
      | on a tunnel  | no length, reset          | there is no answer  |
      | of own calls | no length, reset          | there is no answer  |
      | of own calls | no length, closed, reset  | the answer is whole |
      | of own calls | a length, reset           | the answer is whole |
      | of own calls | chunks, reset             | the answer is whole |

  Scenario Outline: Callers get nothing of an answer from <replicas> with a line that is no field
    Given a gateway in front of <replicas>
    When first answers have a line that is no field, <where>
    Then callers got a whole answer of another replica, or 502
    And nothing ran twice that must not

    Examples:
      | replicas                       | where              |
      | 2 plain replicas               | first              |
      | 2 plain replicas               | behind all others  |
      | 2 engines that stream 3 events | first              |
      | 2 engines that stream 3 events | behind all others  |

  Scenario Outline: No head that is none is taken on a connection <where>
    Given answers on a connection <where>
    Then no head is taken whose first line is none
    And no head is taken with a line that is no field, first or behind all others

    Examples:
      | where       |
      | of its own  |
      | on a tunnel |

  Scenario Outline: <reader> take no head that is none
    Given a server whose answers to <reader> are framed by a length
    Then an answer that comes whole is read
    And none is taken whose first line is none
    And none is taken with a line that is no field, first or behind all others
    And none is taken whose length is no number

    Examples:
      | reader                       |
      | reports                      |
      | cache events                 |
      | cache listings               |
      | weights orders               |
      | moves                        |
      | reads of the log             |
      | appends to the log           |
      | newest records               |
      | the instance list            |
      | registrations                |
      | plain services               |
      | orders of the own interface  |
      | streams of the own interface |
