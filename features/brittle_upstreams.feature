Feature: Brittle upstreams bear what they have to reject
  Upstreams may say that they end if they have to reject more than so many requests a
  second. Guards against all instances together sending them more than they have room
  for: one after the other ended under what it rejected, and again as it came back.

  Scenario: A gateway logs what it knows of brittle upstreams
    Given 1 gateways in front of 1 brittle replicas with 2 slots
    And they say that they bear 4 rejections a second, and let 0 more wait
    When 6 callers send a request at once, after one that was served
    Then the gateway logged for each placement and refusal what the upstream bears
    And its metrics count one brittle upstream, what it got and what it refused

  # A simulated fleet.

  Scenario Outline: All instances together leave brittle upstreams standing
    Given <count> instances in front of <upstreams> brittle upstreams with <slots> slots
    When <load> times what they can do comes for 8 seconds, and they bear <bears> rejections a second, with <queue> more waiting
    Then at most <falls> of the upstreams fell over
    And in the last seconds they served at least 0.8 of what they can do
    And who was turned away was told so within 0.7 s

    Examples:
      | count | upstreams | slots | load | bears | queue | falls |
      | 1     | 3         | 6     | 1.5  | 4     | 2     | 2     |
      | 7     | 3         | 6     | 1.5  | 4     | 2     | 2     |
      | 7     | 3         | 6     | 0.8  | 1     | 0     | 2     |
      | 60    | 3         | 6     | 1.5  | 4     | 2     | 2     |
      | 60    | 3         | 6     | 1.5  | 2     | 0     | 2     |
      | 60    | 12        | 3     | 1.2  | 4     | 1     | 3     |
      | 195   | 5         | 6     | 1.5  | 4     | 2     | 2     |
      | 860   | 3         | 6     | 1.5  | 4     | 2     | 2     |

  Scenario Outline: Bursts find no more than what brittle upstreams have room for
    Given <count> instances in front of 3 brittle upstreams with 6 slots
    When 1.0 times what they can do comes for 7 seconds, in bursts of 0.5 s, and they bear 4 rejections a second, with 2 more waiting
    Then at most 2 of the upstreams fell over
    And in the last seconds they served at least 0.6 of what they can do

    Examples:
      | count |
      | 7     |
      | 60    |
      | 195   |
      | 860   |

  Scenario Outline: Brittle upstreams that all ended at once come back for good
    While all are down nobody says how brittle they are, and one that comes back has
    said nothing.

    Given <count> instances in front of 3 brittle upstreams with 6 slots
    When 1.5 times what they can do comes for 13 seconds, and they bear 4 rejections a second, with 2 more waiting
    And they all end at once after 1 more seconds
    Then at most 2 of the upstreams fell over
    And in the last seconds they served at least 0.8 of what they can do

    Examples:
      | count |
      | 1     |
      | 7     |
      | 60    |
      | 195   |

  Scenario Outline: Brittle upstreams stand while <fault>
    Given <count> instances in front of 3 brittle upstreams with 6 slots
    When 1.5 times what they can do comes for 10 seconds, and they bear 4 rejections a second, with 2 more waiting
    And <fault> 1 seconds later, for 2 seconds
    Then at most 2 of the upstreams fell over
    And in the last seconds they served at least 0.8 of what they can do

    Examples:
      | count | fault                                             |
      | 7     | two owners of its places are killed               |
      | 7     | half of the instances are cut off from the others |
      | 7     | all instances are killed                          |
      | 60    | an owner of its places is killed                  |
      | 60    | two owners of its places are killed               |
      | 60    | an owner of its places is cut off                 |
      | 60    | a third of the instances are killed               |
      | 60    | all instances are killed                          |

  Scenario Outline: An instance's traffic for brittle upstreams does not grow with the fleet
    Given <count> instances in front of <upstreams> brittle upstreams with 6 slots
    When 0.1 times what they can do comes for 4 seconds, and they bear 4 rejections a second, with 2 more waiting
    Then the busiest instance sent and received at most 40 kB a second for that

    Examples:
      | count | upstreams |
      | 60    | 20        |
      | 240   | 80        |

  # Real gateway processes.

  Scenario Outline: Gateways leave brittle replicas standing, and use what they can do
    Given <gateways> gateways in front of <replicas> brittle replicas with <slots> slots
    When callers send <load> times what they can do for <for> seconds, in bursts of <burst> s, and they bear <bears> rejections a second, with <queue> more waiting
    Then at most 2 of them fell over
    And in the last seconds at least <used> of what they can do was served
    And who was refused was refused within 1 s, with a time to come back

    Examples:
      | gateways | replicas | slots | load | for | burst | bears | queue | used |
      | 12       | 3        | 6     | 1.5  | 11  | 0     | 4     | 2     | 0.8  |
      | 4        | 3        | 6     | 1.5  | 11  | 0     | 4     | 2     | 0.8  |
      | 12       | 3        | 6     | 1.0  | 11  | 0.5   | 10    | 8     | 0.7  |
      | 16       | 6        | 3     | 1.2  | 11  | 0     | 4     | 2     | 0.8  |
      | 12       | 3        | 6     | 0.8  | 10  | 0     | 4     | 2     | 0.9  |
