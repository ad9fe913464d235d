Feature: Entries that other writers leave in the list of upstreams
  They name no upstream to use. The others hold, and one that turns sound again
  is taken back.

  Scenario Outline: An entry that does not hold names no upstream
    Given an upstream listed beside an entry with <fault>
    Then only the sound one takes work
    And one log line names the key and the field "<field>"

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

  Scenario Outline: A key that cannot be an id names no upstream
    Given an upstream listed beside a sound entry under the key <key>
    Then only the sound one takes work

    Examples:
      | key                 |
      | with a line end     |
      | with a space        |
      | that is empty       |
      | that is too long    |

  Scenario: Rubbish that is rewritten again and again is logged once
    Given an upstream listed beside an entry with no state
    When that entry is rewritten 50 times
    Then one log line names the key and the field "state"

  Scenario: An entry that turns sound is taken
    Given an upstream listed beside an entry with no state
    When that entry turns sound
    Then both take work

  Scenario: A known upstream whose entry turns unreadable gets no new work
    Given an upstream whose known entry turns unreadable
    Then it takes no work, and what is known of it is kept
    When its next heartbeat writes a sound entry
    Then it takes work, and what is known of it is kept

  Scenario: A known upstream whose entry stays unreadable is forgotten
    Given an upstream whose known entry turns unreadable
    When 4 seconds go by without a sound entry
    Then it is forgotten

  Scenario: A list full of rubbish costs no instance its list
    Given 2000 entries of rubbish and 5 sound ones
    Then the 5 sound ones take work
    And at most 2000 log lines were written

  Scenario: No entry makes the decoder fail in another way
    Then no changed entry is taken that breaks a field's type or range
