Feature: A stream goes on only at the software version that began it
  Replicas of several software versions serve side by side, and what two of them write
  does not fit together. Guards against streams that go on at another version, in one
  answer or over the attempts of a caller, and against streams that do not go on although
  replicas of their version serve.

  Scenario: Streams that engines break off are resumed by the gateways
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy
    When callers stream for 10 seconds and engines reset every 3rd stream
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least 20 streams were resumed by a gateway
    And at least 0.95 of all streams are complete

  Scenario: Streams that callers take up at other gateways
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy
    When callers stream for 10 seconds and every 3rd caller takes its stream up elsewhere
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least 20 streams were taken up by their callers
    And as many streams went on as began, to within 0.05

  Scenario: Streams that callers take up in a fleet with trackers
    Given 13 gateways in front of 2 engines of v1 and 2 of v2, each behind a proxy
    When callers stream for 8 seconds and every 3rd caller takes its stream up elsewhere
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least 20 streams were taken up by their callers
    And as many streams went on as began, to within 0.05

  Scenario: Runs that are moved to make room for new weights
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy
    When callers stream for 10 seconds and new weights are named every 3 seconds
    Then no stream has events of two versions
    And no event is missing or comes twice
    And some runs were moved to another engine
    And at least 0.95 of all streams are complete

  Scenario: Gateways are cut, end and pause while streams are broken off
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy
    When callers stream for 12 seconds and engines reset every 3rd stream, every 3rd caller takes its stream up elsewhere, one gateway is cut and others end or pause
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least 0.5 as many streams went on as began

  Scenario: A version is replaced while its streams run
    Given 4 gateways in front of 2 engines of v1 and 6 of v2, each behind a proxy
    When callers stream for 10 seconds, every 3rd caller takes its stream up elsewhere, and v1 is replaced by v3
    Then no stream has events of two versions
    And no event is missing or comes twice
    And what is taken up without a replica of its version is refused within 0.5 seconds

  Scenario Outline: Callers come back all at once, two replicas of their version are left, and <what>
    Given 4 gateways in front of 6 engines of v1 and 6 of v2, each behind a proxy and with room for 8 streams of 12 slow events
    And <what>
    When callers stream for 12 seconds, 4 engines of v1 crash together with 2 gateways
    Then no stream has events of two versions
    And no event is missing or comes twice
    And as many streams went on as began, to within 0.05

    Examples:
      | what                                              |
      | nothing else happens                              |
      | each engine announces a limit of 12 requests a second |
      | one of the engines that stay asks for rest        |

  Scenario Outline: Hundreds come back at once after gateways were <how>
    Given 4 gateways in front of 6 engines of v1 and 6 of v2, with room for 80 streams of 8 events
    When 80 callers a second stream for 12 seconds, 4 engines of v1 crash, and 2 gateways are <how>
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least <count> streams were taken up at once
    And as many streams went on as began, to within 0.05

    Examples:
      | how     | count |
      | killed  | 100   |
      | stopped | 12    |

  Scenario: The routers' own interface resumes responses
    Given a fleet of 1 router and 2 engines each of two versions, which break off responses
    When callers stream 10 responses
    Then each response is complete and written by one version

  Scenario Outline: A stream is taken up with <what>
    Given a gateway in front of 2 engines that stream 6 events
    And a plain replica, which serves "/plain/"
    When a caller streams "/resume/x" as attempt "first"
    And it takes the stream up at "<path>" with <what>
    Then it is refused with <status> at once, and no upstream got it

    Examples:
      | what                                            | path      | status |
      | Last-Event-Id "2"                               | /resume/x | 503    |
      | Last-Event-Id "2" and an empty Resumes          | /resume/x | 503    |
      | Last-Event-Id "2" and Resumes "unknown"         | /resume/x | 503    |
      | Last-Event-Id "2" and Resumes "itself"          | /resume/x | 503    |
      | Last-Event-Id "2" and Resumes of 3000 bytes     | /resume/x | 503    |
      | Last-Event-Id "2" and Resumes "first" and "two" | /resume/x | 400    |
      | Resumes "unknown"                               | /resume/x | 503    |
      | Last-Event-Id "2" and Resumes "first"           | /once/x   | 400    |
      | Last-Event-Id "2"                               | /once/x   | 400    |

  Scenario Outline: A stream goes on if it is taken up with <what>
    Given a gateway in front of 2 engines that stream 6 events
    And a plain replica, which serves "/plain/"
    When a caller streams "/resume/x" as attempt "first"
    And it takes the stream up at "<path>" with <what>
    Then it is answered with 200

    Examples:
      | what                                              | path      |
      | Last-Event-Id "2" and Resumes "first"             | /resume/x |
      | Last-Event-Id "2" and Resumes "first" and "first" | /resume/x |
      | Resumes "first"                                   | /resume/x |
      | Last-Event-Id "2" and Resumes "unknown"           | /plain/x  |
