Feature: Weights that crash the engines that load them
  A request that crashes what runs it was sent on and on, since nobody remembered
  what had been begun on an engine that ended. An order is begun on engines too:
  weights that cannot be loaded end each engine which is ordered to them, and it is
  ordered again as soon as it is back, with all that runs there by then: nine engines
  ended 120 times within a minute ("Order given." with outcome accepted, each time).

  Scenario: An order that crashes its engines is not given for ever
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and crash each engine that begins to load them
    And 60 seconds pass, in which engines that ended start again
    Then at most 6 engines crashed

  Scenario: A holder that takes over knows of the tries that failed
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and crash each engine that begins to load them
    And 10 seconds pass, in which engines that ended start again
    And another instance takes the duty over from what it was told
    And 50 seconds pass, in which engines that ended start again
    Then at most 6 engines crashed

  Scenario: Engines that crash of something else do not stop a rollout
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and 3 engines crash of something else meanwhile
    And 8 seconds pass, in which engines that ended start again
    Then every engine runs weights 2

  Scenario: A first wave that crashes of something else does not stop a rollout
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and the first 3 engines ordered crash
    And 10 seconds pass, in which engines that ended start again
    Then every engine runs weights 2

  Scenario Outline: Engines that crash wave after wave do not hold a rollout up
    Given the holder of the duty before 9 engines on weights 1
    And 4 engines crash every <pause_s> s for <for_s> s, drawn by <seed>
    And a load takes <load_s> s
    When weights 2 are to be in force
    And <for_s> seconds pass, in which engines that ended start again
    And 11 seconds pass, in which engines that ended start again
    Then every engine runs weights 2

    Examples:
      | pause_s | for_s | load_s | seed |
      | 1       | 12    | 1      | 1    |
      | 1       | 12    | 2      | 2    |
      | 1       | 12    | 2      | 14   |
      | 1       | 6     | 2      | 36   |
      | 2       | 16    | 2      | 37   |
      | 3       | 12    | 3      | 42   |

  Scenario: Engines that were dead when they were ordered do not stop a rollout
    Given the holder of the duty before 9 engines on weights 1
    And engines crash just before they are ordered, for 6 s
    And a load takes 2 s
    When weights 2 are to be in force
    And 6 seconds pass, in which engines that ended start again
    And 11 seconds pass, in which engines that ended start again
    Then every engine runs weights 2

  Scenario Outline: Crashes of other engines do not excuse weights for long
    Given the holder of the duty before 9 engines on weights 1
    And <count> engines crash every <pause_s> s for <for_s> s, drawn by 1
    When weights 2 are to be in force, and crash each engine that begins to load them
    And 60 seconds pass, in which engines that ended start again
    Then at most <most> engines crashed

    Examples:
      | count | pause_s | for_s | most |
      | 1     | 10      | 60    | 9    |
      | 4     | 60      | 1     | 10   |

  Scenario: A pause after failed tries does not begin anew with each holder
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and the first 5 engines ordered crash
    And 10 seconds pass, in which engines that ended start again
    And another instance takes the duty over from what it was told
    And 10 seconds pass, in which engines that ended start again
    Then every engine runs weights 2

  Scenario: A rollout that was taken for a failed one goes on soon
    Given the holder of the duty before 9 engines on weights 1
    When weights 2 are to be in force, and the first 6 engines ordered crash
    And 35 seconds pass, in which engines that ended start again
    And nothing happens for 55 seconds
    And 10 seconds pass, in which engines that ended start again
    Then every engine runs weights 2
