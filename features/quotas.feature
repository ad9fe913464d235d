Feature: Teams stay within their quotas over all instances
  A quota holds for the whole fleet, in requests or in tokens. An instance of a large
  fleet sees about one request of a team a second, and one long prompt takes what
  twenty equal shares hold. What is refused below the limit is lost for the team's
  callers; what runs beyond it is taken from the other teams.

  Scenario Outline: A team below its quota is never refused
    Given <count> instances and a team with a quota of <rate> tokens a second
    When the team sends 0.55 of its quota for 20 seconds
    Then none was refused for which the quota left room
    And half of the decisions took at most 5 ms, and 99 in 100 at most 8 ms

    Examples:
      | count | rate   |
      | 7     | 29000  |
      | 78    | 29000  |
      | 78    | 450000 |
      | 300   | 450000 |

  Scenario Outline: A team that sends many times its quota gets its quota
    Given <count> instances and a team with a quota of <rate> tokens a second
    When the team sends 4.2 of its quota through <where> for 20 seconds
    And another team sends 0.55 of a quota of 29000 tokens a second meanwhile
    Then no window holds more of the team than the rule allows
    And the team got at least 0.95 of its quota
    And none of the other team was refused for which its quota left room

    Examples:
      | count | rate   | where         |
      | 7     | 29000  | all instances |
      | 78    | 29000  | all instances |
      | 78    | 29000  | a third       |
      | 78    | 29000  | one instance  |
      | 78    | 450000 | all instances |
      | 300   | 450000 | all instances |

  Scenario: A team over its quota runs what nobody has to wait for
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 2 of its quota for 20 seconds
    Then no window holds more of the team than the rule allows
    And the team got at least 0.95 of its quota
    And the team got more than its quota, where nobody waits for it

  Scenario Outline: What an instance does for a quota does not grow with the fleet
    Given <count> instances and a team with a quota of 450000 tokens a second
    When the team sends 0.9 of its quota for 10 seconds
    Then the busiest instance sent and received at most 60 kB a second for it

    Examples:
      | count |
      | 78    |
      | 300   |
      | 860   |

  Scenario Outline: The keeper of a quota <fails>
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 4.2 of its quota through all instances for 20 seconds
    And after 6 seconds its keeper <fails>, and is back 3 seconds later
    Then no window holds more of the team than the rule allows
    And the team got at least 0.9 of its quota

    Examples:
      | fails           |
      | dies            |
      | is cut off      |
      | turns very slow |

  Scenario: The keeper of a team below its quota dies
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 0.55 of its quota through all instances for 20 seconds
    And after 6 seconds its keeper dies, and is back 3 seconds later
    Then at most 1 in 100 was refused for which the quota left room

  Scenario: All instances start again at once
    Given 78 instances and a team with a quota of 29000 tokens a second
    When the team sends 4.2 of its quota through all instances for 20 seconds
    And after 6 seconds all instances start again and know each other 1 second later
    Then no window holds more of the team than the rule allows
    And the team got at least 0.9 of its quota

  Scenario: Two instances both think that they keep a quota
    Given 78 instances and a team with a quota of 29000 tokens a second
    And half of the instances do not know its keeper
    When the team sends 4.2 of its quota through all instances for 20 seconds
    Then no window holds more of the team than the rule allows
    And the team got at least 0.9 of its quota

  Scenario: A fleet grows beyond what one keeper serves
    Given 205 instances and a team with a quota of 450000 tokens a second
    And all of them know 195 instances alone
    When the team sends 4.2 of its quota through all instances for 20 seconds
    And after 6 seconds they learn of all instances within 2 seconds
    Then no window holds more of the team than the rule allows

  Scenario: A limit is lowered while its keeper is cut off from the log
    Given 78 instances and a team with a quota of 450000 tokens a second
    When the team sends 0.5 of its quota through all instances for 24 seconds
    And after 4 seconds its quota is lowered to 29000, which its keeper does not hear
    Then no window that begins a second later holds more than 29000 a second allows

  Scenario Outline: A quota is <changed>
    Given 78 instances and a team with a quota of <before> tokens a second
    When the team sends 60000 tokens a second for 20 seconds
    And after 8 seconds its quota becomes <after>
    Then from a second later on it got about <got> tokens a second

    Examples:
      | changed                 | before | after  | got   |
      | raised                  | 20000  | 450000 | 60000 |
      | lowered                 | 450000 | 20000  | 20000 |
      | set for the first time  | 0      | 20000  | 20000 |
      | dropped                 | 20000  | 0      | 60000 |

  Scenario: Quotas in requests
    Given 78 instances and a team with a quota of 10 requests a second
    When the team sends 60000 tokens a second for 10 seconds
    Then about 10 requests a second of it were let through

  Scenario: A request that is larger than the burst
    Given 7 instances and a team with a quota of 29000 tokens a second and a burst of 5000
    When a request of 40000 tokens comes
    Then it is let through
    And what comes right after it is refused, to come back after about 1.2 seconds

  Scenario: A request that does not say what it uses
    Given 7 instances and a team with a quota of 29000 tokens a second
    When a request without its tokens comes
    Then it took 200 tokens of the quota

  Scenario: What was taken and did not run is given back
    Given 7 instances and a team with a quota of 29000 tokens a second and a burst of 40000
    When a request of 19000 tokens is let through, does not run and is given back
    And 1 seconds pass without requests
    Then the keeper has all of the quota again

  Scenario Outline: An unreadable number of tokens
    When a request says that it uses "<text>" tokens
    Then it is answered 400 and nothing is taken

    Examples:
      | text   |
      | many   |
      | -5,10  |
      | 10,-50 |
