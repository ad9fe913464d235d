Feature: Team quotas are enforced across all instances
  A quota, in requests or tokens, applies to the whole fleet. An instance of a large
  fleet sees about one request of a team per second, and one long prompt costs as much
  as twenty equal shares of the quota, so instances can't each enforce a fixed share.
  Guards against refusing requests below the quota, which fails the team's callers,
  and against running requests beyond it, which takes capacity from other teams.

  Scenario Outline: A team below its quota is never refused
    Given <count> instances and a team with a quota of <rate> tokens a second
    When the team sends 0.55 times its quota for 20 seconds
    Then no request was refused although the quota left room for it
    And half of the decisions took at most 5 ms, and 99 in 100 at most 8 ms

    Examples:
      | count | rate   |
      | 7     | 29000  |
      | 78    | 29000  |
      | 78    | 450000 |
      | 300   | 450000 |

  Scenario Outline: A team that sends several times its quota is granted its quota
    Given <count> instances and a team with a quota of <rate> tokens a second
    When the team sends 4.2 times its quota through <where> for 20 seconds
    And another team sends 0.55 times a quota of 29000 tokens a second meanwhile
    Then no window exceeds the team's quota by more than the tolerance
    And the team was granted at least 0.95 of its quota
    And no request of the other team was refused although its quota left room for it

    Examples:
      | count | rate   | where         |
      | 7     | 29000  | all instances |
      | 78    | 29000  | all instances |
      | 78    | 29000  | a third       |
      | 78    | 29000  | one instance  |
      | 78    | 450000 | all instances |
      | 300   | 450000 | all instances |

  Scenario: Requests over the quota run if they delay no other request
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 2 times its quota for 20 seconds
    Then no window exceeds the team's quota by more than the tolerance
    And the team was granted at least 0.95 of its quota
    And the team was also granted requests beyond its quota

  Scenario Outline: An instance's traffic for a quota does not grow with the fleet
    Given <count> instances and a team with a quota of 450000 tokens a second
    When the team sends 0.9 times its quota for 10 seconds
    Then the busiest instance sent and received at most 60 kB a second for it

    Examples:
      | count |
      | 78    |
      | 300   |
      | 860   |

  Scenario Outline: The owner of a quota <fails>
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 4.2 times its quota through all instances for 20 seconds
    And after 6 seconds its owner <fails>, and is back 3 seconds later
    Then no window exceeds the team's quota by more than the tolerance
    And the team was granted at least 0.9 of its quota

    Examples:
      | fails           |
      | crashes         |
      | is cut off      |
      | responds slowly |

  Scenario: The owner of a quota that is not used up crashes
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 0.55 times its quota through all instances for 20 seconds
    And after 6 seconds its owner crashes, and is back 3 seconds later
    Then at most 1 in 100 requests were refused although the quota left room for them

  Scenario: All instances restart at once
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 4.2 times its quota through all instances for 20 seconds
    And after 6 seconds all instances restart and know each other 1 second later
    Then no window exceeds the team's quota by more than the tolerance
    And the team was granted at least 0.9 of its quota

  Scenario: Two instances both act as owner of a quota
    Given 78 instances and a team with a quota of 29000 tokens a second
    And half of the instances do not know its owner
    When the team sends 4.2 times its quota through all instances for 20 seconds
    Then no window exceeds the team's quota by more than the tolerance
    And the team was granted at least 0.9 of its quota

  Scenario: A fleet outgrows one owner per quota
    Given 205 instances and a team with a quota of 450000 tokens a second
    And each instance knows only the same 195 instances
    When the team sends 4.2 times its quota through all instances for 20 seconds
    And after 6 seconds the instances discover the whole fleet within 2 seconds
    Then no window exceeds the team's quota by more than the tolerance

  Scenario: A quota is lowered while its owner is cut off from the log
    Given 78 instances and a team with a quota of 450000 tokens a second
    When the team sends 0.5 times its quota through all instances for 24 seconds
    And after 4 seconds its quota is lowered to 29000, unknown to its owner
    Then no window that begins a second later exceeds 29000 tokens a second by more than the tolerance

  Scenario Outline: A quota is <changed>
    Given 78 instances and a team with a quota of <before> tokens a second
    When the team sends 60000 tokens a second for 20 seconds
    And after 8 seconds its quota becomes <after>
    Then from a second later on it was granted about <granted> tokens a second

    Examples:
      | changed                 | before | after  | granted |
      | raised                  | 20000  | 450000 | 60000   |
      | lowered                 | 450000 | 20000  | 20000   |
      | set for the first time  | 0      | 20000  | 20000   |
      | removed                 | 20000  | 0      | 60000   |

  Scenario: Quotas in requests
    Given 78 instances and a team with a quota of 10 requests a second
    When the team sends 60000 tokens a second for 10 seconds
    Then about 10 requests a second were admitted

  Scenario: A request that is larger than the burst
    Given 7 instances and a team with a quota of 29000 tokens a second and a burst of 5000
    When a request of 40000 tokens arrives
    Then it is admitted
    And the next request is refused with a retry delay of about 1.2 seconds

  Scenario: A request that does not declare its tokens
    Given 7 instances and a team with a quota of 29000 tokens a second
    When a request without a token count arrives
    Then it was charged 200 tokens

  Scenario: The quota of a request that did not run is refunded
    Given 7 instances and a team with a quota of 29000 tokens a second and a burst of 40000
    When a request of 19000 tokens is admitted, does not run and its quota is refunded
    And 1 seconds pass without requests
    Then the owner's token bucket is full again

  Scenario: What a lease did not use is returned although no owner was reachable when it expired
    Given 7 instances and a team with a quota of 29000 tokens a second and a burst of 40000
    When a request of 19000 tokens is admitted and does not run, and its instance is cut off when the lease expires
    And 2 seconds pass without requests
    Then the owner was returned 19000 tokens

  Scenario Outline: A malformed token count
    When a request declares "<text>" tokens
    Then it is answered 400 and no quota is charged

    Examples:
      | text   |
      | many   |
      | -5,10  |
      | 10,-50 |
