Feature: What upstreams say holds while troubles overlap
  Gateways are cut off, killed and stopped, replicas leave, rest, start again, and answer
  without framing, in series that overlap. Guards against what single troubles do not
  show: answers that look complete, and requests that an upstream did not want.

  Scenario Outline: Random troubles that overlap, seed <seed>
    Given 4 gateways in front of 3 engines and 3 plain replicas, each behind a proxy
    When random troubles of seed <seed> overlap for 12 seconds
    Then no answer is complete to its caller without being whole
    And no request sent 2 seconds after a machine was told reached them from it
    And no machine sent more than 2 requests in a time of rest, from half a second on
    And no unsafe request ran twice

    Examples:
      | seed |
      | 1    |
