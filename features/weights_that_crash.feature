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
