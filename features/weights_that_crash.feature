Feature: Weights that crash the engines that load them
  Weights that cannot be loaded crash every engine that is ordered to load them. Each
  was ordered again as soon as it had restarted, and the crash also ended the requests
  on it: nine engines ended 120 times within a minute (each with a log line "Order
  given." and outcome accepted).

  Scenario: An order that crashes its engines is not repeated forever
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and crash each engine that begins to load them
    And 60 seconds pass, in which engines that ended restart
    Then at most 6 engines crashed

  Scenario: A new lease holder knows how many attempts failed
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and crash each engine that begins to load them
    And 10 seconds pass, in which engines that ended restart
    And another instance takes over the lease, with the notices it has received
    And 50 seconds pass, in which engines that ended restart
    Then at most 6 engines crashed

  Scenario: Engines that crash for another reason do not stop a rollout
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and 3 engines crash for another reason meanwhile
    And 8 seconds pass, in which engines that ended restart
    Then every engine runs weights 2

  Scenario: A first wave that crashes for another reason does not stop a rollout
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and the first 3 engines ordered crash
    And 10 seconds pass, in which engines that ended restart
    Then every engine runs weights 2

  Scenario Outline: Repeated waves of unrelated crashes do not delay a rollout
    Given the lease holder with 9 engines on weights 1
    And 4 engines crash every <pause_s> s for <for_s> s, chosen with seed <seed>
    And a load takes <load_s> s
    When weights 2 become the target
    And <for_s> seconds pass, in which engines that ended restart
    And 11 seconds pass, in which engines that ended restart
    Then every engine runs weights 2

    Examples:
      | pause_s | for_s | load_s | seed |
      | 1       | 12    | 1      | 1    |
      | 1       | 12    | 2      | 2    |
      | 1       | 12    | 2      | 14   |
      | 1       | 6     | 2      | 36   |
      | 2       | 16    | 2      | 37   |
      | 3       | 12    | 3      | 42   |

  Scenario: Engines that had ended before they were ordered do not stop a rollout
    Given the lease holder with 9 engines on weights 1
    And engines crash just before they are ordered, for 6 s
    And a load takes 2 s
    When weights 2 become the target
    And 6 seconds pass, in which engines that ended restart
    And 11 seconds pass, in which engines that ended restart
    Then every engine runs weights 2

  Scenario Outline: Crashes of other engines do not hide crashing weights for long
    Given the lease holder with 9 engines on weights 1
    And <count> engines crash every <pause_s> s for <for_s> s, chosen with seed 1
    When weights 2 become the target, and crash each engine that begins to load them
    And 60 seconds pass, in which engines that ended restart
    Then at most <most> engines crashed

    Examples:
      | count | pause_s | for_s | most |
      | 1     | 10      | 60    | 9    |
      | 4     | 60      | 1     | 10   |

  Scenario: The backoff after failed attempts does not restart with each lease holder
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and the first 5 engines ordered crash
    And 10 seconds pass, in which engines that ended restart
    And another instance takes over the lease, with the notices it has received
    And 10 seconds pass, in which engines that ended restart
    Then every engine runs weights 2

  Scenario: A rollout that was mistaken for a failed one continues soon
    Given the lease holder with 9 engines on weights 1
    When weights 2 become the target, and the first 6 engines ordered crash
    And 35 seconds pass, in which engines that ended restart
    And nothing happens for 55 seconds
    And 10 seconds pass, in which engines that ended restart
    Then every engine runs weights 2
