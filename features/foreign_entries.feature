Feature: Invalid entries in the list of upstreams
  Any writer can add entries to the topic. An invalid entry must not be used as an
  upstream, make the decoder fail or hide the valid entries; once it is valid it is
  used.

  Scenario Outline: An entry with an invalid field is not used
    Given a valid upstream entry and an entry with <fault>
    Then only the valid entry gets requests
    And one log line states the key and the field "<field>"

    Examples:
      | fault                     | field      |
      | no service                | service    |
      | a service of type int     | service    |
      | no address                | address    |
      | an address without a port | address    |
      | an address that is a name | address    |
      | a port beyond the last    | address    |
      | no zone                   | zone       |
      | a zone of type list       | zone       |
      | no state                  | state      |
      | an unknown state          | state      |
      | a state of type bool      | state      |
      | no slots                  | slots      |
      | negative slots            | slots      |
      | slots of type text        | slots      |
      | slots of type bool        | slots      |
      | huge slots                | slots      |
      | no sequence               | sequence   |
      | a negative sequence       | sequence   |
      | a sequence of type float  | sequence   |
      | no cold time              | coldLeftMs |
      | a negative cold time      | coldLeftMs |
      | a cold time of type text  | coldLeftMs |
      | a huge cold time          | coldLeftMs |
      | no software version       | version    |
      | models of type dict       | models     |
      | a model without a version | version    |
      | a start of type text      | born       |
      | a start of type float     | born       |
      | another id inside         | id         |
      | bytes that are no text    | utf-8      |
      | half an object            | JSONDecode |
      | a list instead            | list       |

  Scenario Outline: An entry whose key is no valid id is not used
    Given a valid upstream entry and another one under the key <key>
    Then only the valid entry gets requests

    Examples:
      | key                 |
      | with a line end     |
      | with a space        |
      | that is empty       |
      | that is too long    |

  Scenario: An invalid entry that is rewritten repeatedly is logged once
    Given a valid upstream entry and an entry with no state
    When that entry is rewritten 50 times
    Then one log line states the key and the field "state"

  Scenario: An entry that becomes valid is used
    Given a valid upstream entry and an entry with no state
    When that entry becomes valid
    Then both upstreams get requests

  Scenario: A known upstream whose entry becomes unreadable gets no new requests
    Given a known upstream whose entry becomes unreadable
    Then it gets no requests, and its recorded state is kept
    When its next heartbeat writes a valid entry
    Then it gets requests, and its recorded state is kept

  Scenario: A known upstream whose entry stays unreadable is removed
    Given a known upstream whose entry becomes unreadable
    When 4 seconds pass without a valid entry
    Then it is removed from the directory

  Scenario: Many invalid entries do not hide the valid ones
    Given 2000 invalid entries and 5 valid ones
    Then the 5 valid ones get requests
    And at most 2000 log lines were written

  Scenario: The decoder rejects every invalid entry with its own error
    Then no mutated entry with an invalid type or range is accepted
