Feature: Requests begin on replaced weights for too long
  Weights that were replaced take no requests after a while. An instance that hears
  of their successor late counts that while from when it was named, not from when
  it heard of it.

  Scenario: An instance that learnt of a naming late begins requests for too long
    Given an instance before an engine on weights 1
    When it stands still for 5 seconds, in which weights 2 are named at once
    Then requests may begin on weights 1
    When the holder of the duty says that they were named 5 seconds ago
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: What a peer learnt late makes a naming young again
    Given an instance before an engine on weights 1
    When the log says that weights 2 are named, and 5 seconds go by
    And the holder of the duty says that they were named 0.1 seconds ago
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: A notice that waited while an instance stood still sets the age for good
    Given an instance before an engine on weights 1
    When it stands still for 5 seconds, in which weights 2 are named at once
    And the holder of the duty says that they were named 0.3 seconds ago
    And the holder of the duty says that they were named 0.6 seconds ago
    And the holder of the duty says that they were named 5 seconds ago
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: A naming that was missed is as old as the one that came after it
    Given an instance before an engine on weights 1
    When the holder of the duty says that weights 3 were named 5 seconds ago after 2
    And the log says that weights 2 are named
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: A process that starts takes weights long replaced for new ones
    Given an instance that knows of no weights before an engine on weights 1
    When the holder of the duty says that weights 3 were named 1 seconds ago after 2
    Then requests may not begin on weights 1

  Scenario: Updates that waited while an instance stood still are taken for new ones
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it stands still for 5 seconds
    And an update without news arrives
    And an update that names weights 2 arrives
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: A notice that waited hides that the update waited as well
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it stands still for 5 seconds
    And the holder of the duty says that they were named 0.3 seconds ago
    And an update that names weights 2 arrives
    And 2 more seconds go by
    Then requests may not begin on weights 1

  Scenario: Weights named while nobody read the topic are taken for new ones
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it goes on, and no update arrives for 1.4 seconds
    And an update that names weights 2 arrives
    And 5.4 more seconds go by
    Then requests may not begin on weights 1

  Scenario: Weights named right after an outage of the log are not as old as the outage
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it goes on, and no update arrives for 10 seconds
    And an update that names weights 2 arrives
    And 4 more seconds go by
    Then requests may begin on weights 1

  Scenario: An instance that is told at once counts from then on
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it goes on, and no update arrives for 0.4 seconds
    And an update that names weights 2 arrives
    And 6.4 more seconds go by
    Then requests may begin on weights 1

  Scenario: Nothing may begin on old weights after the topic was read anew as a whole
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it goes on, and no update arrives for 0.4 seconds
    And the topic is read as a whole and names weights 2
    And 5 more seconds go by
    Then requests may begin on weights 1

  Scenario: What an instance may have missed is not told to others as an age
    Given an instance before an engine on weights 1, which follows the operators' topic
    When it stands still for 5 seconds
    And an update that names weights 2 arrives
    Then it tells others that weights 2 were named 0 seconds ago

  Scenario: A machine that was suspended takes a naming for younger than it is
    Given weights that were named just now, by this machine's own clocks
    When the machine is suspended for 7 seconds
    Then they are 7 seconds old

  Scenario: A machine that was suspended takes its copy of a topic for current
    Given a copy of a topic that was read just now, by this machine's own clocks
    When the machine is suspended for 4 seconds
    Then the copy is 4 seconds old

  Scenario: A suspension is no standstill to whoever finds new weights after it
    Given an instance that follows the operators' topic by this machine's own clocks
    When the machine is suspended for 5 seconds
    And an update that names weights 2 arrives
    Then weights 1 may have been replaced 5 seconds ago

  Scenario: A holder that was suspended past its lease goes on giving orders
    Given a holder of a duty with a lease of 3 seconds, by this machine's own clocks
    When the machine is suspended for 4 seconds
    Then it does not hold the duty

  Scenario: A contender that was suspended takes a lease that was renewed meanwhile
    Given a holder of a duty with a lease of 3 seconds, by this machine's own clocks
    And a contender that knows of it
    When the machine is suspended for 2 seconds
    And the holder looks after its lease
    And the machine is suspended for 2 seconds
    And the contender looks after the lease
    Then the holder alone holds the duty

  Scenario: A platform that does not count suspensions has no clock at all
    Given a platform without a clock that counts suspensions
    Then seconds pass as by the monotonic clock
