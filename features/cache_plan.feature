Feature: Parts of prompts come from where they are
  Engines and stores hold parts that others read. What is planned for an engine
  decides where a prompt goes and what is read again.

  Scenario: An engine that has the parts fetches nothing
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e0 a second later
    Then it has 6000 tokens, fetches 0 and reads 2000

  Scenario: Another engine fetches them from the store
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    And it sent them to the store
    When the prompt is planned for e1 a second later
    Then it has 0 tokens, fetches 6000 and reads 2000
    And it fetches them from the store

  Scenario: Without a store they come from the engine that has them
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e1 a second later
    Then it has 0 tokens, fetches 6000 and reads 2000
    And it fetches them from e0

  Scenario: What is just being read cannot be fetched yet
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    And it sent them to the store
    When the prompt is planned for e1 at once
    Then it has 0 tokens, fetches 0 and reads 8000
    And 6000 of them would be read twice

  Scenario: Other weights share nothing
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    When the prompt is planned for e0 on other weights
    Then it has 0 tokens, fetches 0 and reads 8000
    And 0 of them would be read twice

  Scenario: The nearer of two equal sources
    Given an engine e0 that read a prompt of 6000 shared and 2000 own tokens
    And engine e1 read it too
    When the prompt is planned for e2, beside e1, a second later
    Then it fetches them from e1

  Scenario: A part without those before it is of no use
    Given an engine e0 whose first part was driven out by others
    When the prompt is planned for e0 a second later
    Then it has 0 tokens, fetches 0 and reads 8000

  Scenario: What exceeds a memory is forgotten by its last use
    Given an engine with memory for 100000 tokens that read 40 prompts of 3000 tokens
    Then it is believed to hold the last 20 of them

  Scenario: Parts are told apart over the stores, alike in every instance
    Given 3 stores
    When 300 prompts of 100 items are sent, by 2 instances that list the stores in another order
    Then each item's parts go to one store
    And each store has between 20 and 50 of the items

  Scenario: What a store has is not sent again
    Given an instance whose engine sent a prompt to the store
    When the same prompt comes again
    Then it is not sent to the store
    But another prompt is

  Scenario: A burst of prompts that share an opening reads it once
    Given 9 engines that just began on new weights
    When 40 prompts of one opening of 4000 tokens come within 200 ms
    Then at most 2 engines read the opening
    When 40 more come a second later
    Then no engine reads the opening again

  Scenario Outline: A store is sent as much as it keeps until it is asked for
    Given a full store whose least recently used part is <age> seconds old
    And it has <held> of a prompt's shared parts
    Then an engine that reads the prompt <sends> it to the store

    Examples:
      | age | held      | sends         |
      | 30  | none      | sends         |
      | 30  | the first | sends         |
      | 3   | none      | sends         |
      | 3   | the first | does not send |
      | 30  | all       | does not send |

  Scenario: Of equal sources an engine is taken before the store
    Given a prompt that an engine and the store of its zone keep
    When an engine of that zone without it is planned for
    Then it fetches from the engine
