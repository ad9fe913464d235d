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
