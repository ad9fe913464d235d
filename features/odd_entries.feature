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

  Scenario Outline: An instance that is listed with <an odd address> hides no other
    Given an instance that knows another one by the list of instances
    When an instance is listed with <an odd address>
    Then it still hears from the other one, and can send to all that it knows
    And at most one log line is written about each odd entry

    Examples:
      | an odd address              |
      | a port out of range         |
      | a port of 20 digits         |
      | no port                     |
      | an empty address            |
      | a space in its address      |
      | an address that is nested   |
      | a relay's port out of range |
      | a state port out of range   |
      | the name of another one     |

  Scenario: A connection to a port of 20 digits fails like any other
    When a connection to a port of 20 digits is opened
    Then it fails with the error of connections that cannot be opened

  Scenario Outline: A response with an odd header is read as one without it
    When a refusal is read whose header <header> is <value>
    Then it is read as one without this header

    Examples:
      | header            | value                                    |
      | Retry-After       | Mon, 01 Jan 2024 00:00:00 +99999999999999|
      | Retry-After       | Mon, 01 Jan 99999999999 00:00:00 GMT     |
      | Keep-Alive        | timeout=[400 digits]                     |
      | X-Weight-Versions | [400 digits]                             |
      | Server-Limit      | [400 digits]                             |
      | Server-Brittle    | [400 digits]                             |

  Scenario Outline: A call with an odd number of tokens is malformed
    When a call is read whose header <header> is <value>
    Then it is refused as malformed

    Examples:
      | header          | value           |
      | X-Prompt-Prefix | p:²             |
      | X-Prompt-Prefix | p:[400 digits]  |
      | X-Prompt-Prefix | p:[5000 digits] |
      | X-Token-Usage   | [400 digits]    |
      | X-Token-Usage   | 1,[400 digits]  |

  Scenario: What a holder reports of its cache can be sent to other instances
    Then every odd report is refused with the decoder's own error, or can be sent on

  Scenario Outline: A reply of the platform's services with <odd> is an error that readers handle
    When the log service and the list of instances reply with <odd>
    Then each call raises the error of its own that its callers handle

    Examples:
      | odd                       |
      | lists in 100,000 levels   |
      | a number of 5,000 digits  |
      | an infinite number        |
      | records that are no list  |
      | a value that is no base64 |
      | another type of document  |
      | pages that do not advance |

  Scenario Outline: An entry with <odd> does not hide the others in a list
    When the log service and the list of instances contain an entry with <odd>
    Then the other entries are read

    Examples:
      | odd                    |
      | a name that is a list  |
      | half a character       |
      | no name                |

  Scenario: A daemon follows its configuration past a key that is no text
    Given a daemon that follows its configuration
    When a record with a key that is no text and then a valid one are written
    Then the valid one is in force

  Scenario Outline: A completion request with <odd> gets the response of an invalid one
    When a caller of the daemon sends a completion request with <odd>
    Then it is refused with status 400

    Examples:
      | odd                             |
      | lists in 100,000 levels         |
      | a number of messages            |
      | a list of stream options        |
      | half a character in its prompt  |
      | half a character in its message |

  Scenario: A gateway serves and follows its lists past odd entries
    Given a gateway in front of 2 plain replicas
    When odd entries are written to all of its lists, and a replica is listed after them
    Then the new replica gets requests, all are served, and the gateway did not end
