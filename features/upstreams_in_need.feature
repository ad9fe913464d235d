Feature: Upstreams that are brittle, silent or gone without a trace
  Guards against refusals that make brittle upstreams end, against runs that are broken
  off while a sound engine is silent for a moment, and against dead connections.

  Scenario Outline: Brittle upstreams get no more refusals than they bear
    Given <gateways> gateways in front of 2 plain replicas with room for 2 requests each
    And the replicas say that they end after more than 4 refusals a second
    When 60 callers send a request at once, three times
    Then no replica had to refuse more than 4 requests in a second
    And at least 40 requests were served

    Examples:
      | gateways |
      | 1        |
      | 3        |

  Scenario Outline: What an upstream says of its brittleness
    When a response says "<text>" of its brittleness
    Then the refusals that it bears are <refusals>

    Examples:
      | text | refusals |
      | 4    | 4.0      |
      | 0    | 0.0      |
      | -1   | none     |
      | few  | none     |
      | inf  | none     |

  Scenario: A sound engine that is silent for a moment goes on with its stream
    Given a gateway in front of 2 engines that stream 6 events
    When a caller reads a resumable stream and the engine pauses for more than a second
    Then the stream is complete and only one engine ran it

  Scenario: Keep-alive probes are not cut short by the user timeout
    When a connection with the options against dead peers is opened
    Then its user timeout leaves time for all keep-alive probes
    And it ends a connection to a vanished peer within 5 seconds, but not within 2
