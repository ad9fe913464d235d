Feature: The prefix index never credits an engine's old life
  Cache events arrive late and with gaps. Faults injected: an engine
  restart followed by late events and load reports from before it.

  Scenario: Late messages from before a restart do not bring old blocks back
    Given a prefix index
    When engine "e" stores 4 blocks in epoch "one"
    And engine "e" shows epoch "two"
    And a late batch of epoch "one" stores 4 more blocks
    And a late load report of epoch "one" arrives
    Then the index holds 0 blocks of engine "e"
    And the index says engine "e" runs in epoch "two"

  Scenario: A prompt an engine just served is indexed although its events were lost
    Given a prefix index
    When engine "e" shows epoch "one"
    And engine "e" serves a prompt of 4 blocks in epoch "one"
    Then the index holds 4 blocks of engine "e"
    When engine "e" shows epoch "two"
    And engine "e" serves a prompt of 4 blocks in epoch "one"
    Then the index holds 0 blocks of engine "e"
