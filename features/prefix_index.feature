Feature: The prefix index never credits an engine with blocks of an earlier epoch
  A restarted engine has an empty cache. Cache events and load reports sent
  before the restart can arrive after it, and cache events can be lost.

  Scenario: Late messages from before a restart do not restore old blocks
    Given a prefix index
    When engine "e" stores 4 blocks in epoch "one"
    And engine "e" reports epoch "two"
    And a late batch of epoch "one" stores 4 more blocks
    And a late load report of epoch "one" arrives
    Then the index holds 0 blocks of engine "e"
    And the index has epoch "two" for engine "e"

  Scenario: A prompt just served by an engine is indexed although its events were lost
    Given a prefix index
    When engine "e" reports epoch "one"
    And engine "e" serves a prompt of 4 blocks in epoch "one"
    Then the index holds 4 blocks of engine "e"
    When engine "e" reports epoch "two"
    And engine "e" serves a prompt of 4 blocks in epoch "one"
    Then the index holds 0 blocks of engine "e"
