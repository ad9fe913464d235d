Feature: Odd entries in lists and messages from outside
  What others write may be nested deeply, contain numbers beyond any range, or text
  that has no encoding. It must not end what reads it, nor stop the reading of the
  entries after it.

  Scenario Outline: A request that cannot be handled does not end its server
    Given a process that replies to requests of other instances
    When a request arrives that <is odd>
    Then it still replies to valid requests

    Examples:
      | is odd                                 |
      | is nested 1010 levels deep             |
      | contains an infinite number            |
      | needs a reply with a number of 70 bits |
      | needs a reply with half a character    |
      | its handler fails at                   |

  Scenario: A message that cannot be decoded raises the codec's own error
    Then no bytes that are derived from a valid message raise anything else

  Scenario Outline: An odd record does not stop the records after it from being applied
    Given a follower of the topic of <kind>
    Then after each odd record that is derived from a valid one, a valid one is applied
    And every odd record is used or refused with the decoder's own error

    Examples:
      | kind             |
      | operators        |
      | replicas         |
      | suspects         |

  Scenario: Weights that are named for a list of models do not stop the configuration
    Given a follower of the topic of operators
    When weights are named for the model ["m0"], and then a configuration is written
    Then the configuration is in force

  Scenario: A record that cannot be applied is skipped and logged once
    Given a follower whose listener fails at the record "bad"
    When the records "a", "bad" and "b" are written
    Then "a" and "b" are applied, and "bad" is logged once
