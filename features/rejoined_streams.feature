Feature: Streams that are taken up after all gateways lost power
  What began a stream is kept in the gateways' memory only. Guards against streams that
  callers take up from gateways that have just started, which know nothing of them, and
  that go on at another software version than began them.

  Scenario Outline: All gateways are killed at once three times, <when>, while <what>
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy
    When callers stream for 14 seconds, <what>, all gateways are killed 3 times and back one by one, and callers come back <when>
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least <count> streams were taken up after a kill
    And what was taken up is refused with 503, or goes on

    Examples:
      | what                                    | when            | count |
      | both versions serve                     | at once         | 20    |
      | both versions serve                     | 2 seconds later | 20    |
      | v1 is replaced by v3                    | at once         | 20    |
      | v1 is replaced by v3                    | 2 seconds later | 20    |
      | v1 is gone before each kill, v3 is new  | at once         | 20    |

  Scenario: As many streams go on as begin, once all gateways are back for three seconds
    Given 4 gateways in front of 4 engines of v1 and 4 of v2, each behind a proxy and with room for 40 streams of 12 slow events
    When callers stream for 10 seconds, both versions serve, all gateways are killed 1 times and back one by one, and callers come back 5 seconds later
    Then no stream has events of two versions
    And at least 0.5 as many streams went on as began
