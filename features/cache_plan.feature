Feature: Cached parts of prompts are fetched from the engine or store that holds them
  The cache plan of each engine decides where a prompt goes and what is prefilled
  again. A wrong plan prefills parts that another engine or the store already holds.

  Scenario: An engine that has the parts fetches nothing
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e0 a second later
    Then it has 6000 tokens, fetches 0 and prefills 2000

  Scenario: Another engine fetches the parts from the store
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    And it sent them to the store
    When the prompt is planned for e1 a second later
    Then it has 0 tokens, fetches 6000 and prefills 2000
    And it fetches them from the store

  Scenario: Without a store the parts are fetched from the engine that has them
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e1 a second later
    Then it has 0 tokens, fetches 6000 and prefills 2000
    And it fetches them from e0

  Scenario: Parts that are still being prefilled cannot be fetched yet
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    And it sent them to the store
    When the prompt is planned for e1 at once
    Then it has 0 tokens, fetches 0 and prefills 8000
    And 6000 of them would be prefilled twice

  Scenario: Nothing is shared between different weights
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e0 on other weights
    Then it has 0 tokens, fetches 0 and prefills 8000
    And 0 of them would be prefilled twice

  Scenario: Of two equal sources the one in the same zone is used
    Given an engine e0 that prefilled a prompt of 6000 shared and 2000 own tokens
    And engine e1 prefilled it too
    When the prompt is planned for e2, in the zone of e1, a second later
    Then it fetches them from e1

  Scenario: A part cannot be reused without the parts before it
    Given an engine e0 whose first part was evicted
    When the prompt is planned for e0 a second later
    Then it has 0 tokens, fetches 0 and prefills 8000

  Scenario: Parts beyond an engine's capacity are evicted from the index by least recent use
    Given an engine with memory for 100000 tokens that prefilled 40 prompts of 3000 tokens
    Then the index lists the last 20 of them as held

  Scenario: Parts are partitioned among the stores, equally in every instance
    Given 3 stores
    When 300 prompts of 100 items are sent by 2 instances that list the stores in different orders
    Then each item's parts go to one store
    And each store has between 20 and 50 of the items

  Scenario: Parts that a store already has are not sent again
    Given an instance whose engine sent a prompt to the store
    When the same prompt arrives again
    Then it is not sent to the store
    But another prompt is

  Scenario: A burst of prompts that share an opening prefills it on few engines
    Given 9 engines that have just loaded new weights
    When 40 prompts with one opening of 4000 tokens arrive within 200 ms
    Then at most 2 engines prefill the opening
    When 40 more arrive a second later
    Then no engine prefills the opening again

  Scenario Outline: A store is sent a prompt only if it retains parts until they are reused
    Given a full store whose least recently used part is <age> seconds old
    And it has <held> of a prompt's shared parts
    Then an engine that prefills the prompt <sends> it to the store

    Examples:
      | age | held      | sends         |
      | 30  | none      | sends         |
      | 30  | the first | sends         |
      | 3   | none      | sends         |
      | 3   | the first | does not send |
      | 30  | all       | does not send |

  Scenario: Of equal sources an engine is preferred to the store
    Given a prompt that an engine and the store of its zone hold
    When the prompt is planned for an engine of that zone that lacks it
    Then it fetches from the engine
