Feature: Upstreams that are brittle, silent or gone without a trace
  Guards against refusals that make brittle upstreams end, against runs that are broken
  off while a sound engine is silent for a moment, and against dead connections.

  Scenario: Keep-alive probes are not cut short by the user timeout
    When a connection with the options against dead peers is opened
    Then its user timeout leaves time for all keep-alive probes
    And it ends a connection to a vanished peer within 5 seconds, but not within 2
