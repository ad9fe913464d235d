Feature: Memory held for clients
  All connections share one budget. Who has long held much and hardly moves makes room;
  what cannot be held is refused before any of it is sent on.

  Scenario: A request for which there is no memory is refused, and may be sent again
    Given a budget of 200 KB
    When client "large" states a body of 150 KB
    Then client "large" is refused with 503, and told when to come again
    And nothing is held

  Scenario: A small request is read while large ones hold all that they may
    Given a budget of 400 KB
    And client "large" has sent 1 KB of a body of 150 KB
    When client "second" states a body of 150 KB
    And client "small" sends a body of 10 KB
    Then client "small" is read
    And client "second" is refused with 503, and told when to come again

  Scenario: A client that lags behind makes room
    Given a budget of 400 KB
    And client "slow" has sent 1 KB of a body of 150 KB
    And client "slow" lags behind by 2 seconds
    When client "new" sends a body of 150 KB
    Then client "new" is read
    And client "slow" is refused with 503, and told when to come again

  Scenario: A client that moves does not make room
    Given a budget of 400 KB
    And client "moving" has sent 100 KB of a body of 150 KB
    When client "new" states a body of 150 KB
    Then client "new" is refused with 503, and told when to come again
    And client "moving" finishes its body, and is read

  Scenario: A request that was read keeps its memory until the next one
    Given a budget of 400 KB
    And client "read" has sent a body of 150 KB
    When client "new" states a body of 150 KB
    Then client "new" is refused with 503, and told when to come again
    And client "read" still holds its body

  Scenario: A large request waits until there is room
    Given a budget of 400 KB
    And client "first" has sent 100 KB of a body of 150 KB
    When client "second" sends a body of 150 KB
    And client "first" leaves
    Then client "second" is read

  Scenario: A body that states more than the largest size is refused unread
    Given a budget of 400 KB
    When client "huge" states a body of 300 KB
    Then client "huge" is refused with 413
    And nothing is held

  Scenario: A reader that receives anything raises its own errors, and holds little
    Then whatever is received gives requests or errors, and nothing is held afterwards
