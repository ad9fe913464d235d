Feature: Routers agree on the configuration and roll it out
  Real processes on loopback. Injected faults: concurrent commands of two
  operators, lost replies and outages of the log, simultaneous restarts of the
  routers, a suspended router, an engine that leaves and invalid commands.

  Scenario: Of two conflicting commands exactly one is accepted and all routers agree
    Given a fleet of 3 routers and 2 engines
    When two operators read the configuration and both apply conflicting changes
    Then exactly one command is accepted and the other gets a conflict
    And every router soon has 1 change in force and agrees on the accepted one

  Scenario: A command is applied exactly once when the reply to its append is lost
    Given a fleet of 3 routers and 2 engines
    When the log loses the reply to the next append
    And the operator applies "create priority night rank = 7"
    Then the command is in force on all 3 routers
    And the log holds exactly 1 record appended by an operator

  Scenario: An invalid command changes nothing and its error gives the position
    Given a fleet of 1 router and 1 engine
    When the operator tool applies "alter upstream engine-0 set slotss = 4"
    Then it exits with code 2 and an error at column 29
    When the operator tool applies "drop model zaras-7b"
    Then it exits with code 4 and an error at no position
    And every router soon has 0 changes in force

  Scenario: A router restarted during an outage of the log gets the configuration from peers
    Given a fleet of 3 routers and 2 engines
    When the operator applies "drop team beta"
    Then the command is in force on all 3 routers
    When the log service goes down
    And router 1 is killed and started again
    And the routers have exchanged heartbeats
    Then router 1 soon rejects team "beta" with status 401
    And router 1 answers team "alpha" with status 200

  Scenario: A change made while a router was suspended comes into force there
    Given a fleet of 2 routers and 1 engine
    When router 1 is suspended
    And the operator applies "create priority night rank = 7"
    And router 1 is resumed
    Then every router soon has 1 change in force

  Scenario: Routers restarted together serve with the log's configuration from the first call
    Given a fleet of 3 routers and 2 engines
    When the operator applies "drop team beta"
    And all routers are killed and started again at the same moment
    Then every router's first response to team "alpha" is 200 and to team "beta" 401

  Scenario: A suspended router is reported as suspect or dead, and as alive once resumed
    Given a fleet of 3 routers and 1 engine
    And the routers have exchanged heartbeats
    When router 2 is suspended
    Then routers 0 and 1 soon report router-2 as "suspect" or "dead"
    And a query reports that router-2 did not answer
    When router 2 is resumed
    Then routers 0 and 1 soon report router-2 as "alive" or "alive"

  Scenario: A drained or leaving engine gets no new requests and completes its running ones
    Given a fleet of 2 routers and 2 engines that decode a token every 40 ms
    When a caller streams a 30-token completion from each engine
    And the operator applies "drain upstream engine-0"
    And engine-0 is undrained and then engine 1 is listed as leaving
    Then both streams are complete
    And no request was routed to a leaving engine

  Scenario: New weights are loaded on every engine and their old KV cache is not reused
    Given a fleet of 2 routers and 2 engines that check weights
    When team "alpha" sends a 64-token prompt to router 0 twice
    And the operator applies "load model zaras-7b version v2"
    Then every engine soon runs version "v2" after orders with fencing tokens
    When team "alpha" sends the same prompt to router 1
    Then the newest request was served 0 cached tokens

  Scenario: Engines receive adapters and roles, and a standby engine gets no requests
    Given a fleet of 2 routers and 2 engines that check weights
    When the operator applies "alter model zaras-7b set adapters = pecs, szeged"
    And the operator applies "alter upstream engine-0 set role = standby"
    Then every engine soon has adapters "pecs, szeged" and engine 0 is on standby
    When team "alpha" sends 3 different prompts
    Then the router routed every request to engine-1

  Scenario: A restarted router loads its warm state from the log or a peer
    Given a fleet of 2 routers and 1 engine
    When team "alpha" sends a 64-token prompt
    And router 0 is killed and started again
    Then router 0 soon indexes 4 blocks from adopted warm state
