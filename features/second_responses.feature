Feature: A second response of an upstream never reaches a caller
  Upstreams may answer a request twice, the second time late, whole or in part. Guards
  against such bytes being passed on as the body of the first response, or as the
  response to another request.

  Scenario Outline: Replicas answer twice, framed <framing>, seed <seed>
    Given a gateway in front of replicas that answer some requests twice, seed <seed>
    And replicas whose answers are framed <framing>
    When 6 callers send 40 requests each, on connections they keep
    Then nobody received a byte that is not of the answer to the own request
    And all streams, and all plain answers that can be asked for again, are whole

    Examples:
      | framing              | seed |
      | by chunks            | 1    |
      | by their connections | 1    |

  Scenario Outline: A second response is found in any pieces, seed <seed>
    Given 400 random bodies that quote responses, of seed <seed>
    When each is received in random pieces, most with a second response behind
    Then each body is as it was sent, and nothing behind it belongs to it

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A body full of quoted heads takes no time
    Given a body of 50000 quoted heads
    When it is received in pieces of 4096 bytes
    Then that takes less than 1 second of a processor
