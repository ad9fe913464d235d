Feature: A second response of an upstream never reaches a caller
  Upstreams may answer a request twice, the second time late, whole or in part. Guards
  against such bytes being passed on as the body of the first response, or as the
  response to another request.

  Scenario Outline: Replicas answer twice, framed <framing>, seed <seed>
    Given a gateway in front of replicas that answer some requests twice, seed <seed>
    And replicas whose answers are framed <framing>
    When 6 callers send 40 requests each, on connections they keep
    Then nobody received a byte that is not of the answer to the own request
    And all answers are whole, but for those without a clear end that must not repeat

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

  Scenario Outline: Bytes that are no event, in a stream framed <framing>
    Given a gateway in front of engines that spoil some streams, seed 1
    And replicas whose answers are framed <framing>
    When 6 callers send 40 requests each, on connections they keep
    Then nobody received a byte that is not of the answer to the own request
    And all streams that can be resumed are whole

    Examples:
      | framing              |
      | by chunks            |
      | by their connections |

  Scenario: Calls of the own interface do not get late responses to earlier calls
    Given a service that sends each response once more when it got the next call
    When 4 calls are made to it, one after the other
    Then each got its own response, or an error that says that it may have run

  Scenario Outline: A second response, <how>, behind a call's body without framing
    Given a service whose responses have no framing and come twice, the second one <how>
    When 1 calls are made to it, one after the other
    Then <outcome>

    Examples:
      | how   | outcome                                              |
      | whole | the call got its own response, once                  |
      | cut   | the call got an error that says that it may have run |
