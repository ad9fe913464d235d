Feature: A message whose head or framing ends early is no message
  A connection may close or reset after any byte. Guards against what was received of a
  head being taken for the whole of it: its status would count, and without the fields
  that were still to come its body would be empty, or end with the connection.

  Scenario Outline: <reader> takes no answer that ends early, <framing>
    Given a server whose answers to <reader> are framed <framing>
    Then an answer that comes whole is read
    And none that is closed or reset after any byte is taken for one

    Examples: framed by a length
      | reader                       | framing     |
      | reports                      | by a length |
      | cache events                 | by a length |
      | cache listings               | by a length |
      | weights orders               | by a length |
      | moves                        | by a length |
      | reads of the log             | by a length |
      | appends to the log           | by a length |
      | newest records               | by a length |
      | the instance list            | by a length |
      | registrations                | by a length |
      | plain services               | by a length |
      | orders of the own interface  | by a length |
      | streams of the own interface | by a length |

    Examples: framed by chunks
      | reader                       | framing     |
      | reports                      | by chunks   |
      | weights orders               | by chunks   |
      | reads of the log             | by chunks   |
      | appends to the log           | by chunks   |
      | plain services               | by chunks   |
      | streams of the own interface | by chunks   |

    Examples: with line feeds only
      | reader                       | framing         |
      | plain services               | by a length, LF |

  Scenario Outline: An upstream's connection ends early <where>, with an answer framed <framing>
    Given an answer framed <framing>, on a connection <where>
    Then a whole one is received
    And none that is closed or reset after any byte is whole

    Examples:
      | where       | framing                    |
      | of its own  | by a length                |
      | of its own  | by chunks                  |
      | of its own  | by chunks, coded twice     |
      | of its own  | by its connection          |
      | on a tunnel | by a length                |
      | on a tunnel | by chunks                  |
      | on a tunnel | by chunks, coded twice     |
      | on a tunnel | by its connection          |

  Scenario: A tunnel that ends early ends no answer
    Given an answer framed by its connection, on a connection on a tunnel
    Then none whose tunnel is closed after any byte is whole

  Scenario Outline: Callers get nothing of an answer that ends early: <replicas>, <framing>
    Given a gateway in front of <replicas>
    When answers framed <framing> are closed or reset after some byte, of seed <seed>
    Then those that must not run twice, and those that no replica answers, fail visibly
    And the others reach their callers whole

    Examples:
      | replicas                      | framing                | seed |
      | 2 plain replicas              | by a length            | 1    |
      | 2 plain replicas              | by chunks              | 2    |
      | 2 plain replicas              | by chunks, coded twice | 3    |
      | 2 engines that stream 6 events | by chunks             | 4    |
      | 2 engines that stream 6 events | by chunks, coded twice | 5   |

  Scenario Outline: A request that ends early does not run at <server>: <request>
    Given <server> that records its requests
    When <request> is closed, half closed or reset after any byte, and sent whole then
    Then only the whole ones ran

    Examples:
      | server                     | request               |
      | a server of own interfaces | a call without a body |
      | a server of own interfaces | a call with a body    |
      | a gateway's front          | a call without a body |
      | a gateway's front          | a call with a body    |
      | a gateway's front          | a call in chunks      |
      | a gateway's front          | a call in chunks, with spaces behind its coding |
      | a server of own interfaces | a call in chunks      |
      | a server of own interfaces | a call in chunks, with spaces behind its coding |

  Scenario Outline: No part of an answer is whole whose head tells <framing>
    Given a server whose answers' heads tell <framing>
    Then no part of one is taken for the whole

    Examples:
      | framing                       |
      | a length that is no number    |
      | a length with a sign          |
      | a length below zero           |
      | a length in two lines         |
      | an empty length               |
      | a length behind a bare CR     |
      | two lengths                   |
      | a length and chunks           |
      | chunks and another coding     |
      | chunks in a second field      |
      | a coding that is not known    |
      | a length behind what is no field |
      | a length whose name has a space  |
      | another version               |

  Scenario Outline: An interim head is no answer: <interim>
    Given a server that sends <interim> before each answer
    Then every answer is the one to its call

    Examples:
      | interim           |
      | 100 Continue      |
      | 102 Processing    |
      | 103 Early Hints   |

  Scenario: A change of the protocol is no answer
    Given a server that sends 101 Switching Protocols before each answer
    Then every call fails

  Scenario Outline: No body of a call runs as the next call at <server>: <framing>
    Given <server> that records its requests
    When a call whose head tells <framing> holds another call in its body
    Then that other call does not run

    Examples:
      | server                     | framing                          |
      | a server of own interfaces | a length behind what is no field |
      | a server of own interfaces | a length whose name has a space  |
      | a server of own interfaces | two lengths                      |
      | a server of own interfaces | a length and chunks              |
      | a server of own interfaces | chunks and another coding        |
      | a server of own interfaces | chunks in a second field         |
      | a server of own interfaces | a length behind a bare CR        |
      | a gateway's front          | a length behind what is no field |
      | a gateway's front          | two lengths                      |
      | a gateway's front          | a length and chunks              |
      | a gateway's front          | chunks and another coding        |
      | a gateway's front          | chunks in a second field         |
