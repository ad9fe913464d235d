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

  Scenario: A late message does not bring back the cache of an engine that was dropped
    Given a prefix index
    When engine "e" stores 4 blocks in epoch "one"
    And engine "e" is dropped, since it stopped sending
    And engine "e" stores 2 blocks in epoch "two"
    And a late batch of epoch "one" stores 4 more blocks
    Then the index has epoch "two" for engine "e"
    And the index holds 2 blocks of engine "e"

  Scenario: An engine that was only silent is indexed again in the same epoch
    Given a prefix index
    When engine "e" stores 4 blocks in epoch "one"
    And engine "e" is dropped, since it stopped sending
    And a late batch of epoch "one" stores 4 more blocks
    Then the index has epoch "one" for engine "e"
    And the index holds 4 blocks of engine "e"

  Scenario: Asking about epochs takes no memory
    Given a prefix index
    When it is asked whether epochs of 1000 unknown engines are earlier ones
    Then it remembers no epochs

  Scenario: Placements beyond the size of one summary are sent with the next
    Given placements of 5 prompts that were not sent to peers yet
    Then a summary with room for 2 has the newest 2
    And the next summary, with room for 10, has the other 3
    And the next summary, with room for 10, has the other 0

  Scenario: Placements that are no longer news are not sent
    Given placements of 5 prompts that were not sent to peers yet
    When half of the time passes for which they count
    Then the next summary, with room for 10, has the other 0
