Feature: Requests begin on replaced weights for too long
  Requests may begin on replaced weights for a limited time only. An instance that
  receives the new weights late must count that time from when they were named, not
  from when it received them.

  Scenario: An instance that receives new weights late counts from when they were named
    Given an instance with an engine on weights 1
    When it is paused for 5 seconds, and weights 2 are named right when the pause begins
    Then requests may begin on weights 1
    When the lease holder announces that they were named 5 seconds ago
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: A lower age reported by a peer does not restart the time
    Given an instance with an engine on weights 1
    When the log names weights 2, and 5 seconds pass
    And the lease holder announces that they were named 0.1 seconds ago
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: A notice delayed by a pause of the instance does not fix the age
    Given an instance with an engine on weights 1
    When it is paused for 5 seconds, and weights 2 are named right when the pause begins
    And the lease holder announces that they were named 0.3 seconds ago
    And the lease holder announces that they were named 0.6 seconds ago
    And the lease holder announces that they were named 5 seconds ago
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: Weights that were missed are as old as their successor
    Given an instance with an engine on weights 1
    When the lease holder announces that weights 3 were named 5 seconds ago, replacing 2
    And the log names weights 2
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: A process that starts uses the age of the weights from the lease holder's notice
    Given an instance that knows no target weights, with an engine on weights 1
    When the lease holder announces that weights 3 were named 1 seconds ago, replacing 2
    Then requests may not begin on weights 1

  Scenario: All instances restart when requests may no longer begin on replaced weights
    Nobody knows any more when the weights were named, and engines whose orders are
    executed late still run the weights they replace.

    Given 3 instances that have just started and read weights 2, with one engine on weights 1 and one on weights 2
    Then none of them lets requests begin on weights 1
    When each announces to the others what it knows of the age of weights 2
    Then none of them lets requests begin on weights 1

  Scenario: All instances restart and no engine has loaded the newest weights yet
    Given 3 instances that have just started and read weights 2, with two engines on weights 1
    When 4 more seconds elapse
    And each announces to the others what it knows of the age of weights 2
    Then none of them lets requests begin on weights 1

  Scenario: Updates delayed by a pause of the instance count as old as the pause
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it is paused for 5 seconds
    And an update without changes arrives
    And an update that names weights 2 arrives
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: A delayed notice does not hide that the update was delayed as well
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it is paused for 5 seconds
    And the lease holder announces that they were named 0.3 seconds ago
    And an update that names weights 2 arrives
    And 2 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: Weights named while the topic was not read count from the last read
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it keeps running, and no update arrives for 1.4 seconds
    And an update that names weights 2 arrives
    And 5.4 more seconds elapse
    Then requests may not begin on weights 1

  Scenario: Weights named right after an outage of the log are not as old as the outage
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it keeps running, and no update arrives for 10 seconds
    And an update that names weights 2 arrives
    And 4 more seconds elapse
    Then requests may begin on weights 1

  Scenario: An instance that receives an update immediately counts from then on
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it keeps running, and no update arrives for 0.4 seconds
    And an update that names weights 2 arrives
    And 6.4 more seconds elapse
    Then requests may begin on weights 1

  Scenario: Requests may begin on old weights after the topic was read again in full
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it keeps running, and no update arrives for 0.4 seconds
    And the topic is read in full and names weights 2
    And 5 more seconds elapse
    Then requests may begin on weights 1

  Scenario: The time that an instance may have missed is not reported to others as an age
    Given an instance with an engine on weights 1, which reads the operators' topic
    When it is paused for 5 seconds
    And an update that names weights 2 arrives
    Then it reports to others that weights 2 were named 0 seconds ago

  Scenario: The age of weights includes a suspension of the machine
    Given weights that were named just now, by this machine's own clocks
    When the machine is suspended for 7 seconds
    Then they are 7 seconds old

  Scenario: The age of a topic copy includes a suspension of the machine
    Given a copy of a topic that was read just now, by this machine's own clocks
    When the machine is suspended for 4 seconds
    Then the copy is 4 seconds old

  Scenario: A suspension counts as a pause when new weights are found after it
    Given an instance that reads the operators' topic, by this machine's own clocks
    When the machine is suspended for 5 seconds
    And an update that names weights 2 arrives
    Then weights 1 may have been replaced 5 seconds ago

  Scenario: A holder that was suspended beyond its lease stops sending orders
    Given a holder of a duty with a lease of 3 seconds, by this machine's own clocks
    When the machine is suspended for 4 seconds
    Then it does not hold the lease

  Scenario: A contender that was suspended does not acquire a lease that was renewed
    Given a holder of a duty with a lease of 3 seconds, by this machine's own clocks
    And a contender that has read its lease record
    When the machine is suspended for 2 seconds
    And the holder runs a step of its lease
    And the machine is suspended for 2 seconds
    And the contender runs a step of its lease
    Then only the holder has the lease

  Scenario: A platform without a suspension-aware clock uses the monotonic clock
    Given a platform without a clock that counts suspensions
    Then elapsed time follows the monotonic clock
