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
