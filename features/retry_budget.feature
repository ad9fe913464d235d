Feature: All instances together keep the retry budget of a service
  In any window, at most a share of the requests for a service and a slack for the whole
  fleet may reach its upstreams once more. Guards against instances that spend more than
  that together, and against retries that no budget counts.

  Scenario: A gateway logs and counts its retries by cause
    Given a gateway in front of 2 plain replicas
    When a caller sends "GET" to "/safe/x" and one replica's script is "refuse"
    And a caller sends "GET" to "/safe/x" and one replica's script is "fail"
    Then the gateway logged why each of 2 retries was allowed
    And its metrics count a retry after "refused" and one after "failed"
