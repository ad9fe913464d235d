Feature: Upstreams that are brittle, silent or gone without a trace
  Guards against refusals that make brittle upstreams end, against runs that are broken
  off while a sound engine is silent for a moment, and against dead connections.

  Scenario: A sound engine that is silent for a moment goes on with its stream
    Given a gateway in front of 2 engines that stream 6 events
    When a caller reads a resumable stream and the engine pauses for more than a second
    Then the stream is complete and only one engine ran it

  Scenario: Keep-alive probes are not cut short by the user timeout
    When a connection with the options against dead peers is opened
    Then its user timeout leaves time for all keep-alive probes
    And it ends a connection to a vanished peer within 5 seconds, but not within 2
