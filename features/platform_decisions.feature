Feature: Decisions of the gateway, without input and output
  Each scenario replays the load or the failure that a decision has to handle.

  Scenario: A rollout reserves engines for the runs moved off the engines that load
    Given 9 engines of 48 slots with 13 runs each on weights 1
    When weights 2 are named
    Then 3 engines load, and their runs move to 3 engines that load last
    And no engine is closed to new requests yet

  Scenario: New requests go to the engines that already run the newest weights
    Given 9 engines of 48 slots with 13 runs each on weights 1
    And 3 of them already run weights 2
    When weights 2 are named
    Then 3 engines load, and their runs move to 2 engines that load last
    And the 3 engines that do not load yet are closed to new requests

  Scenario: The last engines load once they are idle
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 are named
    Then no engine loads
    When 4.5 seconds have passed
    Then 3 engines load

  Scenario: Engines two versions behind move no runs to engines one version behind
    Given 2 engines of 48 slots with 30 runs each on weights 1
    And 5 more engines run weights 2
    When weights 3 are named
    Then the engines that load all ran weights 2

  Scenario: A rollout loads at most 0.4 of the engines at once in a fleet of any size
    Then with up to 80 engines, at most 0.4 of them load at once, and in the end all have

  Scenario: A prompt goes to the engine that holds its parts until the wait there is longer
    Given an engine that holds 6300 of a prompt's 9190 tokens and one that holds none
    Then the prompt goes to the first while that has fewer than 6300 pending tokens
    And to the second beyond that

  Scenario: The same prompt goes to the same engine from every instance
    Given 2 instances that know the same 9 engines in different orders
    Then both instances send each of 200 prompts with 50 openings to the same engine

  Scenario: No request starts on replaced weights after the grace period
    Given an engine on weights 1 and none on weights 2
    When weights 2 have been named for 1 seconds
    Then the request goes to the engine on weights 1
    When weights 2 have been named for 7 seconds
    Then the request goes nowhere

  Scenario: The age of replaced weights counts from their direct successor, not from the newest
    Given weights 2, 3 and 4 named at 0, 4 and 8 seconds
    Then at 9 seconds weights 1 are replaced for 9 and weights 3 for 1 seconds

  Scenario: A lease is given up as soon as an engine rejects its fencing token
    Given a lease with a fencing token that an engine rejected
    Then the holder no longer has a token

  Scenario: The retries of all instances together stay within the users' limit
    Then 7 instances that use up their retry budgets stay below 0.2 of 600 requests plus 54

  Scenario: An upstream that fails repeatedly is held out for a while
    Given an upstream whose connections fail 3 times in a row
    Then it is held out for 2 seconds

  Scenario: A stream is split into whole events, however its bytes arrive
    Then any split of a stream gives the same whole events and the last id

  Scenario: Malformed requests are rejected with one type of error
    Then no bytes make the request reader fail in another way

  Scenario: Malformed configuration records fail with one type of error
    Then no record makes the decoders fail in another way

  Scenario: A run may move only within the grace period of its weights
    Given a run on weights 1 whose engine moves its runs to another
    When weights 2 have been named for 5 seconds
    Then the run may move
    When weights 2 have been named for 7 seconds
    Then the run may not move

  Scenario: Unreachable engines do not block a rollout
    Given 8 engines of 48 slots with 13 runs each on weights 1
    And 2 of them cannot be reached
    When weights 2 are named
    Then 3 engines load, and their runs move to 2 engines that load last
    And none of the engines that cannot be reached is among them

  Scenario: A rollout continues when no engine has room for another's runs
    Given 5 engines of 48 slots with 47 runs each on weights 1
    And 2 more engines run weights 2
    When weights 2 are named
    Then 1 engines load

  Scenario: A rollout waits for runs to end only as long as its deadline allows
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 1.5 seconds ago, and all have to run them within 3
    Then 3 engines load
    When weights 2 were named 1.5 seconds ago, and all have to run them within 30
    Then no engine loads

  Scenario: Full engines whose runs cannot be moved load under their runs when the deadline is near
    Given 3 engines of 48 slots with 45 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 4.5 seconds ago, and all have to run them within 11
    Then 3 engines load, 3 of them while they serve runs
    When weights 2 were named 1 seconds ago, and all have to run them within 11
    Then no engine loads

  Scenario: Engines that can finish their runs before the deadline do so before they load
    Given 3 engines of 48 slots with 30 runs each on weights 1
    And 6 more engines run weights 2
    When weights 2 were named 4.5 seconds ago, and all have to run them within 11
    Then 3 engines load, 0 of them while they serve runs

  Scenario: Runs that continue while their engine loads weights are not moved
    Given a process notified that e0 loads weights of m0 and that its runs move to e1
    Then runs of e0 move to e1
    When it is notified that e0 loads weights of m0 while its runs continue
    Then runs of e0 stay where they are

  Scenario: Runs are not moved any more when the notices of a rollout stop
    Given a process notified that e0 loads weights of m0 and that its runs move to e1
    Then runs of e0 move to e1
    When no notice arrives for 2 seconds
    Then runs of e0 stay where they are

  Scenario: Runs are not moved to an engine that already runs other weights
    The list of engines is older than what the holder of the lease knows.

    Given a process notified that e0 loads weights of m0 and that its runs move to e1
    When it is notified that e1 runs weights 2 by now
    Then no run on weights 1 moves to e1

  Scenario: An engine is ordered to load only once its runs have moved or ended
    Given the lease holder with 6 engines that load within 0.6 s
    And each engine has 5 runs, in 1 availability zones
    And runs end 5 s after their engine is closed to requests
    When weights 2 become the target, and 0.3 seconds pass
    Then no engine got an order
    When the runs of the engines that are to load have moved, and 0.3 seconds pass
    Then the engines that are to load got their orders

  Scenario: A request that would spend most of its time waiting is refused at once
    Given a team's request with 5 seconds left and engines with 30000 pending tokens
    Then it is placed
    Given a team's request with 5 seconds left and engines with 300000 pending tokens
    Then it is refused with a retry time of 1 to 5 seconds

  Scenario: A placement penalty never causes a refusal
    Given a ready engine with 30000 pending tokens and one on replaced weights with 12000
    Then a short prompt that may wait 575 ms goes to the one on replaced weights
    But with only 5000 pending tokens on the ready one it goes there

  Scenario: An engine that goes silent while it streams answers is held out
    Given an engine with 3 streaming answers that sent its last byte 1 second ago
    Then it is held out
    Given an engine with 3 unread prompts that sent its last byte 1 second ago
    Then it is not held out

  Scenario: A starting process does not assume that old weights were replaced just now
    Given an engine on weights 1, one on weights 2, and a process that has just read the newest version
    Then its requests go to the engine on weights 2 only
    When a peer reports that weights 2 were named 1 seconds ago
    Then its requests may go to the engine on weights 1 as well

  Scenario: A process that starts before any engine has the newest weights serves requests
    Given an engine on weights 1, and a process that has just read the newest version
    Then the request goes to the engine on weights 1 for the time being
    When weights 2 have been known for 4 seconds
    Then the request goes nowhere

  Scenario: Weights named while their source was unreachable are learned from peers
    Given an engine on weights 1 and one on weights 2 in a process that knows weights 1
    When a peer reports that weights 2 were named 7 seconds ago
    Then its requests go to the engine on weights 2 only

  Scenario: A late order's effect is noticed despite older information
    Given an engine known to run weights 3 after 2 orders
    When its list entry says weights 2 a moment later
    Then it is known to run weights 3
    When its report says weights 2 after 1 orders
    Then it is known to run weights 3
    When its report says weights 2 after 3 orders
    Then it is known to run weights 2
    When one of its answers names weights 4
    Then it is known to run weights 4
    When its list entry says weights 3 two seconds later
    Then it is known to run weights 3

  Scenario: Instances learn from each other which engines hold a prompt's parts
    Given 2 instances with 9 engines that tell each other which parts the engines prefill
    When the first sends 40 prompts with 40 openings to random engines
    Then the second finds each opening held by the engine that the first sent it to

  Scenario: A notice about one model does not reopen the engines of another
    Given a process notified that e0 loads weights of m0
    When it is notified that no engine loads weights of m1
    Then e0 receives no requests
    When it is notified that no engine loads weights of m0
    Then e0 receives requests again

  Scenario: A process that knows only the newest weights learns from a peer which ones they replaced
    Given engines on weights 1, 3 and 4 and a process that has just read weights 4
    When a peer reports that weights 4 replaced weights 3 1 seconds ago
    Then its requests go to engines on weights 3 and 4 only
