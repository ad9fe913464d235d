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
