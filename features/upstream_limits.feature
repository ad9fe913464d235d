Feature: All instances together keep the request limit that an upstream announces
  An upstream in need announces in its responses how many requests a second it accepts
  from all instances together, for as long as its responses say so. Guards against
  sending it more, and against refusing requests that other upstreams have room for.

  # What is known of limits.

  Scenario Outline: A limit is read from a response
    When a response announces the limit "<text>"
    Then the limit read is <limit>

    Examples:
      | text | limit      |
      | 2    | 2          |
      | 0.5  | 0.5        |
      | 1e1  | 10         |
      | 0    | 0          |
      | -1   | unreadable |
      | nan  | unreadable |
      | inf  | unreadable |
      | few  | unreadable |

  Scenario Outline: The newer of two responses decides, and the lower limit if unclear
    Given a response that announced <first> to a request sent at <sent1>, received at <received1>
    When a response announces <second> to a request sent at <sent2>, received at <received2>
    Then the limit in force is <limit>

    Examples:
      | first | sent1 | received1 | second | sent2 | received2 | limit |
      | none  | 1     | 2         | 3      | 0     | 3         | 3     |
      | none  | 1     | 2         | 3      | 0     | 0.5       | none  |
      | 3     | 1     | 2         | none   | 2.5   | 3         | none  |
      | 3     | 1     | 2         | none   | 1.5   | 3         | 3     |
      | 3     | 1     | 2         | 1      | 1.5   | 1.9       | 1     |
      | 3     | 1     | 2         | 5      | 1.5   | 2.5       | 3     |
      | 3     | 1     | 2         | 5      | 2.1   | 2.5       | 5     |

  Scenario: A gateway logs the limits that its upstreams announce
    Given a gateway in front of 2 engines that stream 2 events
    And the engine "e0" announces a limit of 2 requests a second
    When callers send 8 requests one by one
    Then the gateway logged that the limit of "e0" is 2 requests a second
    And its placements on "e0" name the limit and its age
    And its metrics show one limited upstream and the requests sent there

  # Real gateway processes.

  Scenario Outline: Gateways send an upstream no more than the limit it announced
    Given 3 gateways in front of 3 <upstreams>, one of which accepts 2 requests a second
    When callers send 30 requests a second to "<path>" for 7 seconds, to each gateway in turn
    Then from a second after it announced its limit it never got more than 17 in 4 seconds
    And all callers were answered

    Examples:
      | upstreams | path   |
      | engines   | /once/ |
      | plain     | /safe/ |
