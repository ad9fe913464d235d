Feature: Connections through another instance
  An instance that lost its path to the upstreams tunnels its connections through another
  one. Guards against tunnels to anywhere else, chains of them, responses that look
  complete and are not, and a path that counts as lost while upstreams end.

  Scenario Outline: A gateway opens tunnels for others only to upstreams that it reaches
    Given a relay that <state>
    When another instance asks it for a tunnel to <target>
    Then the relay answers <status>

    Examples:
      | state                   | target              | status |
      | has a path              | a listed upstream   | 200    |
      | has a path              | an unlisted address | 403    |
      | has a path              | an upstream that ended | 502 |
      | has no path             | a listed upstream   | 503    |
      | has all tunnels in use  | a listed upstream   | 429    |

  Scenario: A tunnel passes on that the caller left
    Given a relay that has a path
    When a tunnel to an upstream is open and its client closes it
    Then the upstream sees the connection end

  Scenario: A response that is reset behind a tunnel does not look complete
    Given a relay that has a path
    When a tunnel to an upstream is open and the upstream resets it
    Then the client sees a reset

  Scenario Outline: A carrier whose path <change> ends idle tunnels only
    Given an instance that carries a request on one tunnel, and has an idle one
    When its own path <change>
    Then the answer on the first tunnel arrives whole
    And the idle tunnel was <idle>

    Examples:
      | change       | idle  |
      | is lost      | ended |
      | is restored  | kept  |

  Scenario: A tunnel is not idle until the end of an answer without framing was passed on
    Given a tunnel whose upstream is sent a request
    When the upstream answers it without framing, and closes
    Then the tunnel is not idle

  Scenario: A gateway that stops begins requests of others for 2 seconds, not to the end
    Given 2 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When one of them carries requests for the other, and gets SIGTERM while it serves a stream
    Then requests reached replicas through it in the first second after the SIGTERM
    And no request reached a replica through it from 2.3 seconds after the SIGTERM on
    And the stream that it served was whole

  Scenario Outline: A carrier with <left> seconds left begins requests that end in time
    Given an instance that carries requests, each of which takes 0.3 seconds
    When its stop begins, with <left> seconds left
    Then a further request on its tunnel is <fate>, and a further tunnel too

    Examples:
      | left | fate    |
      | 0.25 | refused |
      | 0.4  | refused |
      | 3.0  | carried |

  Scenario: A carrier that does not know how long requests take opens no tunnel in its stop
    Given an instance that has carried no request
    When its stop begins, with 3.0 seconds left
    Then a further tunnel is refused

  Scenario: A single upstream that ends is not taken for a lost path
    Given an instance with 5 upstreams
    When 1 of them cannot be connected to
    Then its path is not suspected

  Scenario: Several upstreams that end while others respond are not taken for a lost path
    Given an instance with 5 upstreams
    When 3 of them cannot be connected to, but a peer cannot connect either
    Then its path does not count as lost

  Scenario: Upstreams that ended cost no detour while another one responds
    Given an instance with 2 upstreams that ended, and one that responds
    When it connects to those that ended, three times
    Then no other instance was asked for a tunnel
    And its path is not suspected

  Scenario: An upstream that is silent for a second is not taken for a lost path
    Given an instance with 5 upstreams
    When one of them is silent for 2 seconds while another one responds
    Then its path is not suspected
