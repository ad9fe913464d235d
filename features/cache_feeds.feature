Feature: What engines and stores keep is known
  Engines drop parts unseen, and a process that starts has seen no traffic. So
  they are asked, each by one instance, which tells the others.

  Scenario: What an engine dropped is not taken to be there
    Given an index that believes e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 says that it dropped the second part
    Then e0 is believed to hold 2000 tokens of it

  Scenario: What an engine keeps in part counts as far as it goes
    Given an index that believes e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 says that it keeps 1008 tokens of the second part
    Then e0 is believed to hold 3008 tokens of it

  Scenario: Whole blocks that make a part are the whole part
    Given an index that believes e0 holds a prompt of 6001 shared tokens
    When 2 seconds later e0 says that it keeps all whole blocks of both parts
    Then it is believed to hold both parts

  Scenario: Old news does not undo what was just given to read
    Given an index that believes e0 holds a prompt of 6000 shared tokens
    When 0.3 seconds later e0 says that it dropped the second part
    Then e0 is believed to hold 6000 tokens of it

  Scenario: Everything listed is held, and nothing else
    Given an index that believes e0 holds a prompt of 6000 shared tokens
    When 2 seconds later e0 lists only another prompt
    Then e0 is believed to hold 0 tokens of it
    And e0 is believed to hold the other prompt

  Scenario Outline: One instance asks each holder, and all know
    Given <instances> instances before <holders> holders of 20 shared prompts each
    When 4 seconds pass for them
    Then every instance knows what every holder keeps
    And each holder was listed at most <lists> times
    And each holder is asked by 1 instance

    Examples:
      | instances | holders | lists |
      | 1         | 6       | 1     |
      | 9         | 6       | 1     |
      | 71        | 37      | 2     |

  Scenario: What holders drop and take in reaches all
    Given 9 instances before 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And each holder drops 5 of its prompts and takes in 3 others
    And 1.5 seconds pass for them
    Then every instance knows what every holder keeps

  Scenario: Another instance goes on where one that failed ended
    Given 9 instances before 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the instance that asks the first holder fails
    And each holder drops 5 of its prompts and takes in 3 others
    And 7 seconds pass for them
    Then every instance knows what every holder keeps
    And each holder was listed at most 1 times
    And each holder is asked by 1 instance

  Scenario: An instance that starts takes all from another
    Given 9 instances before 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    And one instance starts anew and asks another
    Then every instance knows what every holder keeps
    And each holder was listed at most 1 times

  Scenario: Events that were lost are made up for by a list
    Given 2 instances before 2 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the first holder drops 5 of its prompts and loses the events
    And 2 seconds pass for them
    Then every instance knows what every holder keeps

  Scenario: A holder that restarts is listed anew
    Given 2 instances before 2 holders of 20 shared prompts each
    When 4 seconds pass for them
    And the first holder restarts empty
    And 2 seconds pass for them
    Then every instance knows what every holder keeps

  Scenario: Another incarnation's answer is not taken
    Given 2 instances before 2 holders of 20 shared prompts each
    When the first holder has started again and nobody was told
    And 4 seconds pass for them
    Then nobody believes that the first holder keeps anything

  Scenario: The ends of prompts, which belong to one request, are not told
    Given 2 instances before 1 holders of 20 shared prompts each
    When 4 seconds pass for them
    And a holder takes in 50 parts that no other request names
    And 1.5 seconds pass for them
    Then only the instance that asks it knows of these

  Scenario: A holder that does not answer is asked less and less often
    Given 1 instances before 1 holders of 20 shared prompts each
    When the first holder falls silent
    And 20 seconds pass for them
    Then it was asked at most 9 times

  Scenario: Of a large fleet's holders an instance follows those it tracks alone
    Given an instance that tracks 2 of 6 holders of 20 shared prompts each
    When 4 seconds pass for them
    Then it knows what these 2 keep, and nothing of the others
    When it tracks 1 other holder instead
    And 4 seconds pass for them
    Then it knows what this 1 keeps, and nothing of the others
    When it tracks the first 2 again
    And 4 seconds pass for them
    Then it knows what these 2 keep, and nothing of the others

  Scenario: A store behind a slow link is no better than an engine near by
    Given a prompt that an engine and a store behind a slow link keep
    Then another engine fetches it from the engine
    And the time of a transfer from the store counts the slower link

  Scenario: A gateway that starts anew places by what its engine kept
    Given a gateway before 2 engines that stream 2 events
    When a caller sends "POST" to "/once/x"
    And the gateway starts anew
    And a caller sends "POST" to "/once/x"
    Then the second request goes where the first one's parts are held
