Feature: Decisions of the gateway, apart from input and output
  Each replays the load or the failure that the decision answers.

  Scenario: A rollout keeps engines for the runs of the others
    Given 9 engines of 48 slots with 13 runs each on weights 1
    When weights 2 are named
    Then 3 engines load, and their runs go to 3 engines that load last
    And no engine is closed to new work yet

  Scenario: New work goes to the engines that are ready
    Given 9 engines of 48 slots with 13 runs each on weights 1
    And 3 of them already run weights 2
    When weights 2 are named
    Then 3 engines load, and their runs go to 2 engines that load last
    And the 3 engines that do not load yet are closed to new work

  Scenario: The last engines load when they are empty
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 are named
    Then no engine loads
    When 4.5 seconds have passed
    Then 3 engines load

  Scenario: Engines that lag by two versions hand nothing to those that lag by one
    Given 2 engines of 48 slots with 30 runs each on weights 1
    And 5 more engines run weights 2
    When weights 3 are named
    Then the engines that load all ran weights 2

  Scenario: A rollout of every size loads at most 0.4 of the engines at once
    Then of any number of engines up to 80 at most 0.4 load at once, and all get there

  Scenario: A prompt goes where its parts are held until the wait there is longer
    Given an engine that holds 6300 of 9190 tokens and one that holds none
    Then the prompt goes to the first while it has fewer than 6300 tokens to read
    And to the second beyond that

  Scenario: The same prompt goes to the same engine from every instance
    Given 2 instances that know the same 9 engines in different orders
    Then 200 prompts of 50 openings go to the same engines from both

  Scenario: No work on replaced weights after the limit
    Given an engine on weights 1 and none on weights 2
    When weights 2 have been named for 1 seconds
    Then the request goes to the engine on weights 1
    When weights 2 have been named for 7 seconds
    Then the request goes nowhere

  Scenario: Weights are replaced by their own successor, not by the newest
    Given weights 2, 3 and 4 named at 0, 4 and 8 seconds
    Then at 9 seconds weights 1 are replaced for 9 and weights 3 for 1 seconds

  Scenario: A lease that was refused is given up at once
    Given a lease with a fencing token that an engine refused
    Then the holder has no token any more

  Scenario: The retry budget of all instances together stays within the users' bound
    Then 7 instances that retry all they may stay below 0.2 of 600 requests and 54

  Scenario: Upstreams that fail are left out, longer each time, and come back
    Given an upstream whose connections fail 3 times in a row
    Then it is left out for 2 seconds and takes work again after that

  Scenario: Events are cut at their ends, however the bytes arrive
    Then any split of a stream gives the same whole events and the last id

  Scenario: Bytes that are no requests end in one typed refusal
    Then no bytes make the request reader fail in another way

  Scenario: Records that are no configurations end in one typed error
    Then no record makes the decoders fail in another way

  Scenario: A run moves while its weights may still begin, and stays after that
    Given a run on weights 1 whose engine hands its runs to another
    When weights 2 have been named for 5 seconds
    Then the run may move
    When weights 2 have been named for 7 seconds
    Then the run stays where it is

  Scenario: Engines that cannot be reached hold no rollout up
    Given 8 engines of 48 slots with 13 runs each on weights 1
    And 2 of them cannot be reached
    When weights 2 are named
    Then 3 engines load, and their runs go to 2 engines that load last
    And none of the engines that cannot be reached is among them

  Scenario: A rollout goes on when no engine has room for the runs of another
    Given 5 engines of 48 slots with 47 runs each on weights 1
    And 2 more engines run weights 2
    When weights 2 are named
    Then 1 engines load

  Scenario: A rollout waits no longer for runs than the time allowed for it bears
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 1.5 seconds ago, and all have to run them within 3
    Then 3 engines load
    When weights 2 were named 1.5 seconds ago, and all have to run them within 30
    Then no engine loads

  Scenario: Engines that stay full and whose runs have nowhere to go load at once when their time is up
    Given 3 engines of 48 slots with 45 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 4.5 seconds ago, and all have to run them within 11
    Then 3 engines load, 3 of them at once
    When weights 2 were named 1 seconds ago, and all have to run them within 11
    Then no engine loads

  Scenario: Engines whose runs end finish them before they load
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 4.5 seconds ago, and all have to run them within 11
    Then 3 engines load, 0 of them at once

  Scenario: Runs that go on under the weights loaded are not moved
    Given a process told that e0 loads weights of m0, and that e1 takes its runs
    Then runs of e0 move to e1
    When it is told that e0 loads weights of m0 under its runs
    Then runs of e0 stay where they are

  Scenario: What would wait for most of its time is refused at once
    Given a team's request with 5 seconds left before engines with 30000 tokens to read
    Then it is placed
    Given a team's request with 5 seconds left before engines with 300000 tokens to read
    Then it is refused, to come back in 1 to 5 seconds

  Scenario: A preference refuses nobody
    Given a ready engine with 30000 tokens to read and one on replaced weights with 12000
    Then a short question that may wait 575 ms goes to the one on replaced weights
    But with no more than 5000 tokens to read it goes to the ready one

  Scenario: An engine that falls silent in the middle of its answers is left out
    Given an engine with 3 answers under way that sent its last byte 1 second ago
    Then it is left out
    Given an engine with 3 prompts to read that sent its last byte 1 second ago
    Then it is not left out

  Scenario: A process that starts does not take old weights for newly replaced
    Given an engine on weights 1, one on weights 2, and a process that has just read the newest
    Then its requests go to the engine on weights 2 only
    When it hears that weights 2 were named 1 seconds ago
    Then its requests may go to the engine on weights 1 as well

  Scenario: A process that starts before any engine has the newest weights serves all the same
    Given an engine on weights 1, and a process that has just read the newest
    Then the request goes to the engine on weights 1 for now
    When weights 2 have been known for 4 seconds
    Then the request goes nowhere

  Scenario: Weights named while the store was out of reach are learnt from peers
    Given an engine on weights 1 and one on weights 2 in a process that knows weights 1
    When it hears that weights 2 were named 7 seconds ago
    Then its requests go to the engine on weights 2 only

  Scenario: An order carried out late is seen, whatever was known before
    Given an engine known to run weights 3 after 2 orders
    When its entry says weights 2 a moment later
    Then it is known to run weights 3
    When its report says weights 2 after 1 orders
    Then it is known to run weights 3
    When its report says weights 2 after 3 orders
    Then it is known to run weights 2
    When an answer of its names weights 4
    Then it is known to run weights 4
    When its entry says weights 3 two seconds later
    Then it is known to run weights 3

  Scenario: A prompt goes where a peer has just sent one that shares its parts
    Given 2 instances before 9 engines that tell each other what their engines read
    When the first sends 40 prompts of 40 openings under a load that moves them about
    Then the second finds each opening held where the first sent it

  Scenario: A notice about one model leaves the engines of another closed
    Given a process told that e0 loads weights of m0
    When it is told that nothing loads weights of m1
    Then e0 takes no work
    When it is told that nothing loads weights of m0
    Then e0 takes work again

  Scenario: A process that knows the newest weights alone knows nothing of older ones
    Given engines on weights 1, 3 and 4 and a process that has just read weights 4
    When it hears that weights 4 were named 1 seconds ago in place of weights 3
    Then its requests go to engines on weights 3 and 4 only
