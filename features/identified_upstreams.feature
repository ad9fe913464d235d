Feature: Which incarnation of an upstream a connection leads to
  An upstream may start again under its id, with other software, before its new entry is
  read. Guards against streams that are bound to the version of the entry although another
  process wrote them, or that go on at such a process.

  Scenario Outline: A connection to a listed engine of v1 when <what is known>
    Given an engine of v1 that is listed at 10 s, having started at <born>
    And a <kind> connection to it that was opened at <opened> s
    And <what is known>
    Then the connection is found to lead to <incarnation> after <questions> questions

    Examples:
      | born | kind    | opened | what is known                                  | incarnation      | questions |
      | 1000 | direct  | 11     | its reports say that it started at 1000        | the listed one   | 1         |
      | 1000 | direct  | 11     | its reports say that it started at 2000        | none             | 1         |
      | 1000 | direct  | 11     | it sends no report                             | none             | some      |
      | 1000 | direct  | 11     | a poll at 12 s said that it started at 1000    | the listed one   | 0         |
      | 1000 | direct  | 11     | a poll at 10.5 s said that it started at 1000  | none             | some      |
      | 1000 | direct  | 11     | a poll at 12 s said that it started at 2000    | none             | 0         |
      | 1000 | direct  | 13     | a poll at 12 s said that it started at 2000    | none             | some      |
      | 1000 | direct  | 11     | it answered what it was sent at 11.1 s         | the listed one   | 0         |
      | 1000 | direct  | 11     | it answered what it was sent at 10.9 s         | none             | some      |
      | 1000 | direct  | 9      | its reports say that it started at 1000        | none             | 0         |
      | 1000 | direct  | 11     | it is listed as v3 of 2000 at 12 s             | none             | 0         |
      | 1000 | direct  | 11     | its entry is gone, and reports say 1000        | the listed one   | 1         |
      | none | direct  | 11     | it sends no report                             | the listed one   | 0         |
      | none | direct  | 11     | it is listed as v3 at 12 s                     | none             | 0         |
      | 1000 | relayed | 11     | it sends no report                             | the listed one   | 0         |

  Scenario: Events that waited for a slow caller do not show that their engine still runs
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And it answered what it was sent at 10.9 s
    And its reports say that it started at 2000
    When another event of that answer is passed on at 14 s
    Then a connection that was opened at 13 s is not found to lead to the listed one

  Scenario: Connections that are opened at the same time cause one question
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And its reports say that it started at 1000
    When 20 connections that were opened at 11 s are identified at the same time
    Then all of them lead to the listed one after 1 questions

  Scenario: A stream whose engine is not known yet is bound by a later event
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And it sends no report
    When a stream passes an event on from a connection that was opened at 11 s
    Then the stream is not bound
    When its reports say that it started at 1000
    And the stream passes another event on
    Then the stream is bound to v1 by a later event

  Scenario: A stream at an engine that started again is bound once its entry is read
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And a poll at 12 s said that it started at 2000
    When a stream passes an event on from a connection that was opened at 13 s
    And a poll at 14 s said that it started at 2000
    And the stream passes another event on
    Then the stream is not bound
    When it is listed as v3 of 2000 at 15 s
    And the stream passes another event on
    Then the stream is bound to v3 by a later event

  Scenario: A stream that is bound does not go on at an engine that started again
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And its reports say that it started at 2000
    Then a stream of v1 may not pass events on from a connection that was opened at 11 s

  Scenario Outline: A connection that was opened at <opened> s to an engine that <what>
    Streams on one that can never be known to lead anywhere would all stay unbound.

    Given an engine of v1 that is listed at 10 s, having started at 1000
    And an engine that <what>
    When a stream passes an event on from a connection that was opened at <opened> s
    Then the connection <may> carry another stream

    Examples:
      | opened | what                                         | may     |
      | 11     | has been listed without a break              | may     |
      | 11     | is found at 12 s to have started at 2000     | may not |
      | 13     | is found at 12 s to have started at 2000     | may     |
      | 11     | was removed, and is listed again at 12 s     | may not |
      | 13     | was removed, and is listed again at 12 s     | may     |

  Scenario: A stream whose writer is not known does not go on at another engine
    Given an engine of v1 that is listed at 10 s, having started at 1000
    And it sends no report
    When a stream passes an event on from a connection that was opened at 11 s
    Then the stream is not bound
    When its reports say that it started at 1000
    Then the stream may not pass events on from a connection that was opened at 12 s

  Scenario Outline: An engine that reports 2000, and entries of 1000 read from <first> to <last> s
    One that is read late, with what was written while its reader was cut off, was written
    before the engine started again; several are read at once then.

    Given an engine of v1 that is listed at 10 s, having started at 1000
    And a poll at 12 s said that it started at 2000
    When it is listed as v1 of 1000 again at <first> s
    And it is listed as v1 of 1000 again at <last> s
    Then its listed incarnation started at <listed>

    Examples:
      | first | last | listed |
      | 14    | 14   | 2000   |
      | 18    | 18   | 2000   |
      | 18    | 19   | 2000   |
      | 14    | 18   | 1000   |
