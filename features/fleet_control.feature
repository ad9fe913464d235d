Feature: Routers act as one fleet through the log service
  Real processes on loopback. Faults injected: operators racing, lost answers
  of the log, outages of the log, routers killed together, a frozen router,
  an engine that leaves, bad commands.

  Scenario: Of two racing operators exactly one wins and all routers agree
    Given a fleet of 3 routers and 2 engines
    When two operators read the configuration and both apply conflicting changes
    Then exactly one command is accepted and the other gets a conflict
    And every router soon has 1 change in force and agrees on the winner's

  Scenario: A command whose answer is lost applies exactly once
    Given a fleet of 3 routers and 2 engines
    When the log loses the answer to the next append
    And the operator applies "create priority night rank = 7"
    Then the command is in force on all 3 routers
    And the log holds exactly 1 record of an operator

  Scenario: A bad command changes nothing and says where the fault is
    Given a fleet of 1 router and 1 engine
    When the operator tool applies "alter upstream engine-0 set slotss = 4"
    Then it exits with code 2 pointing at column 29
    When the operator tool applies "drop model zaras-7b"
    Then it exits with code 4 pointing at nothing
    And every router soon has 0 changes in force

  Scenario: An accepted configuration outlives routers and an outage of the log
    Given a fleet of 3 routers and 2 engines
    When the operator applies "drop team beta"
    Then the command is in force on all 3 routers
    When the log service goes down
    And router 1 is killed and started again
    And the routers have heard of each other
    Then router 1 soon refuses team "beta" with status 401
    And router 1 answers team "alpha" with status 200

  Scenario: Changes made while a router could not reach the log come into force
    Given a fleet of 2 routers and 1 engine
    When router 1 freezes
    And the operator applies "create priority night rank = 7"
    And router 1 thaws
    Then every router soon has 1 change in force

  Scenario: Routers that restart together serve at once on the log's configuration
    Given a fleet of 3 routers and 2 engines
    When the operator applies "drop team beta"
    And all routers are killed and started again at the same moment
    Then every router's first answer to team "alpha" is 200 and to team "beta" 401

  Scenario: A frozen router is suspected and comes back when it thaws
    Given a fleet of 3 routers and 1 engine
    And the routers have heard of each other
    When router 2 freezes
    Then routers 0 and 1 soon see router-2 as "suspect" or "dead"
    And a query names router-2 as silent
    When router 2 thaws
    Then routers 0 and 1 soon see router-2 as "alive" or "alive"

  Scenario: A drained or leaving engine gets no new work and ends what it runs
    Given a fleet of 2 routers and 2 engines that decode a token every 40 ms
    When a caller streams a 30-token answer from each engine
    And the operator applies "drain upstream engine-0"
    And engine 1 is listed as leaving and engine-0 is undrained later
    Then both streams arrive complete
    And no request was routed to a leaving engine

  Scenario: Naming new weights loads them on every engine and old work is not reused
    Given a fleet of 2 routers and 2 engines that check weights
    When team "alpha" sends a 64-token prompt to router 0 twice
    And the operator applies "load model zaras-7b version v2"
    Then every engine soon runs version "v2" after orders with fencing tokens
    When team "alpha" sends the same prompt to router 1
    Then the newest request was served 0 cached tokens

  Scenario: Adapters and roles are ordered, and a standby engine gets no work
    Given a fleet of 2 routers and 2 engines that check weights
    When the operator applies "alter model zaras-7b set adapters = pecs, szeged"
    And the operator applies "alter upstream engine-0 set role = standby"
    Then every engine soon has adapters "pecs, szeged" and engine 0 is on standby
    When team "alpha" sends 3 different prompts
    Then the router routed every request to engine-1

  Scenario: A restarted router adopts warm state from the log or a peer
    Given a fleet of 2 routers and 1 engine
    When team "alpha" sends a 64-token prompt
    And router 0 is killed and started again
    Then router 0 soon indexes 4 blocks it never saw stored
