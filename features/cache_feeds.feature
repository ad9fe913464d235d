Feature: The index follows the cache contents that engines and stores report
  Engines evict parts without notice, and a process that starts has seen no traffic.
  So one instance polls each engine and store and broadcasts its cache events.

  Scenario: A part that an engine evicted is removed from the index
    Given an index in which e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 reports that it evicted the second part
    Then the index shows 2000 tokens of it at e0

  Scenario: A partly cached part counts with its cached tokens
    Given an index in which e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 reports that it holds 1008 tokens of the second part
    Then the index shows 3008 tokens of it at e0

  Scenario: A part cached in all its whole blocks counts as fully cached
    Given an index in which e0 holds a prompt of 6001 shared tokens
    When 2 seconds later e0 reports that it holds all whole blocks of both parts
    Then the index shows both parts at e0

  Scenario: A delayed eviction report does not undo a newer prefill
    Given an index in which e0 holds a prompt of 6000 shared tokens
    When 0.3 seconds later e0 reports that it evicted the second part
    Then the index shows 6000 tokens of it at e0

  Scenario: A full listing replaces what the index has of a holder
    Given an index in which e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 lists only another prompt
    Then the index shows 0 tokens of it at e0
    And the index shows the other prompt at e0

  Scenario Outline: One instance polls each holder for all instances
    Given <instances> instances and <holders> holders of 20 shared prompts each
    When 4 seconds pass for them
    Then every instance's index matches every holder
    And each holder was listed at most <lists> times
    And each holder is polled by 1 instance

    Examples:
      | instances | holders | lists |
      | 1         | 6       | 1     |
      | 9         | 6       | 1     |
      | 71        | 37      | 2     |

  Scenario: Evictions and new cache entries reach all instances
    Given 9 instances and 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And each holder evicts 5 of its prompts and caches 3 others
    And 1.5 seconds pass for them
    Then every instance's index matches every holder

  Scenario: Another instance continues from the events of a poller that failed
    Given 9 instances and 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the instance that polls the first holder fails
    And each holder evicts 5 of its prompts and caches 3 others
    And 7 seconds pass for them
    Then every instance's index matches every holder
    And each holder was listed at most 1 times
    And each holder is polled by 1 instance

  Scenario: An instance that starts loads the index from a peer
    Given 9 instances and 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And one instance restarts and queries another
    Then every instance's index matches every holder
    And each holder was listed at most 1 times

  Scenario: After lost events the holder is listed again
    Given 2 instances and 2 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the first holder evicts 5 of its prompts and loses the events
    And 2 seconds pass for them
    Then every instance's index matches every holder

  Scenario: A holder that loses events again and again is listed every two seconds
    A listing pauses an engine's work for a moment.

    Given 1 instances and 1 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the first holder loses events every 0.5 seconds for 12 seconds
    Then each holder was listed at most 8 times
    When 4 seconds pass for them
    Then every instance's index matches every holder

  Scenario: A holder that restarts is listed again
    Given 2 instances and 2 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the first holder restarts empty
    And 2 seconds pass for them
    Then every instance's index matches every holder

  Scenario: The reply of an unexpected incarnation is ignored
    Given 2 instances and 2 holders of 20 shared prompts each
    When the first holder has restarted without notice
    And 4 seconds pass for them
    Then every index is empty for the first holder

  Scenario: The last parts of prompts, which belong to one request, are not broadcast
    Given 2 instances and 1 holders of 20 shared prompts each
    When 4 seconds pass for them
    And a holder caches 50 parts that no other request contains
    And 1.5 seconds pass for them
    Then only the instance that polls it has these in its index

  Scenario: A holder that does not answer is polled with increasing pauses
    Given 1 instances and 1 holders of 20 shared prompts each
    When the first holder stops answering
    And 20 seconds pass for them
    Then it was polled at most 9 times

  Scenario: In a large fleet an instance follows only the holders that it tracks
    Given an instance that tracks 2 of 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    Then its index matches these 2 and has no other holders
    When it tracks 1 other holder instead
    And 4 seconds pass for them
    Then its index matches this 1 and has no other holders
    When it tracks the first 2 again
    And 4 seconds pass for them
    Then its index matches these 2 and has no other holders

  Scenario: An engine near by is preferred to a store behind a slow link
    Given a prompt held by an engine and by a store behind a slow link
    Then another engine fetches it from the engine
    And the estimated transfer time from the store uses the slower link

  Scenario: A gateway that restarts places by its engines' cache contents
    Given a gateway in front of 2 engines that stream 2 events
    When a caller sends "POST" to "/once/x"
    And the gateway restarts
    And a caller sends "POST" to "/once/x"
    Then the second request goes to the engine that holds the first one's parts
