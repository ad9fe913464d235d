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

  # A simulated fleet.

  Scenario Outline: All instances together keep a limit, while others serve the rest
    Given <count> instances in front of 9 engines
    When callers send <offered> requests a second for 12 seconds, and an engine announces a limit of <rate> a second after 2 seconds
    Then it never got more than its limit allows
    And it got at least 0.9 of its limit
    And every request was served

    Examples:
      | count | offered | rate |
      | 1     | 40      | 2    |
      | 2     | 40      | 2    |
      | 7     | 40      | 0.5  |
      | 7     | 60      | 2    |
      | 7     | 240     | 10   |
      | 78    | 60      | 0.5  |
      | 78    | 240     | 10   |
      | 300   | 60      | 0.5  |
      | 300   | 60      | 2    |
      | 300   | 240     | 10   |

  Scenario Outline: A limit is kept while <fault>
    Given <count> instances in front of 9 engines
    When callers send 100 requests a second for 14 seconds, and an engine announces a limit of 4 a second after 1 seconds
    And after 3 more seconds <fault> for 4 seconds
    Then it never got more than its limit allows from instances told of it
    And from 2 seconds later on it got about 4 requests a second

    Examples:
      | count | fault                                             |
      | 7     | its first owner is down                           |
      | 7     | its first owner stands still                      |
      | 7     | its first owner is cut off                        |
      | 7     | two of its owners are down                        |
      | 7     | its owners cannot reach each other                |
      | 7     | half of the instances are cut off from the others |
      | 7     | a third of the instances stand still              |
      | 300   | its first owner is down                           |
      | 300   | its first owner stands still                      |
      | 300   | its first owner is cut off                        |
      | 300   | two of its owners are down                        |
      | 300   | its owners cannot reach each other                |
      | 300   | half of the instances are cut off from the others |
      | 300   | a third of the instances stand still              |

  Scenario Outline: Instances that lost all they knew of a limit
    Given <count> instances in front of 9 engines
    When callers send 60 requests a second for 12 seconds, and an engine announces a limit of 2 a second after 1 seconds
    And after 4 more seconds all instances restart
    Then it never got more than its limit allows from instances told of it
    And from 3 seconds later on it got about 2 requests a second

    Examples:
      | count |
      | 7     |
      | 300   |

  Scenario Outline: A limit <changes>
    Given <count> instances in front of 9 engines
    When callers send 200 requests a second for 12 seconds, and an engine announces a limit of <before> a second after 1 seconds
    And after 5 more seconds its limit becomes <after>
    Then it never got more than its limit allows
    And from 2 seconds later on it got about <after> requests a second

    Examples:
      | count | changes | before | after |
      | 7     | falls   | 10     | 1     |
      | 7     | rises   | 1      | 10    |
      | 300   | falls   | 10     | 1     |
      | 300   | rises   | 1      | 10    |

  Scenario Outline: A limit ends and comes again
    Given <count> instances in front of 9 engines
    When callers send 100 requests a second for 18 seconds, and an engine announces a limit of 2 a second after 1 seconds
    And after 5 more seconds its limit ends
    And after 4 more seconds its limit becomes 4
    Then it never got more than its limit allows
    And from 2 seconds later on it got about 4 requests a second

    Examples:
      | count |
      | 7     |
      | 300   |

  Scenario Outline: An engine <ends> is used as before
    Given <count> instances in front of 9 engines
    When callers send 120 requests a second for <for> seconds, and an engine announces a limit of <rate> a second after 2 seconds
    And after 5 more seconds <change>
    Then from <after> seconds later on the engine got over 9 requests a second

    Examples:
      | count | ends                              | rate | change                      | after | for |
      | 7     | whose limit ended                 | 2    | its limit ends              | 2     | 12  |
      | 300   | whose limit ended                 | 2    | its limit ends              | 2     | 12  |
      | 300   | that accepted nothing for a while | 0    | its limit ends              | 6     | 16  |
      | 7     | that restarted                    | 2    | it restarts without a limit | 2     | 12  |
      | 300   | that restarted                    | 2    | it restarts without a limit | 2     | 12  |

  Scenario Outline: What no engine has room for is refused at once, and served as promised
    Given <count> instances in front of <engines> engines
    When callers send <offered> requests a second for 16 seconds, and each engine announces a limit of <rate> a second
    Then it never got more than its limit allows
    And the engines got at least 0.95 of their limits
    And a refused request took at most 150 ms
    And every caller with a reserved place was served when it retried as told
    And a small team's requests were served at least 0.7 as often as a large one's

    Examples:
      | count | engines | offered | rate |
      | 7     | 9       | 25      | 2    |
      | 300   | 40      | 30      | 0.5  |

  Scenario Outline: An instance's traffic for limits does not grow with the fleet
    Given <count> instances in front of 40 engines
    When callers send 60 requests a second for 6 seconds, and each engine announces a limit of 2 a second
    Then the busiest instance sent and received at most 60 kB a second

    Examples:
      | count |
      | 78    |
      | 860   |

  Scenario Outline: Random changes of limits and random faults
    When <count> instances pass through <runs> runs of random faults from seed <seed>
    Then in no run an engine got more than its limit allows from instances told of it

    Examples:
      | count | runs | seed |
      | 2     | 1    | 100  |
      | 7     | 2    | 200  |
      | 13    | 1    | 300  |
      | 300   | 1    | 500  |

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

  Scenario: Requests that other upstreams refused count as well
    Given 1 gateways in front of 2 plain, one of which accepts 2 requests a second
    And the others refuse all requests
    When callers send 10 requests a second to "/safe/" for 7 seconds, to each gateway in turn
    Then from a second after it announced its limit it never got more than 17 in 4 seconds
    And the other callers were told at once that their requests were not run

  Scenario: Callers that return as told are served
    Given 1 gateways in front of 1 plain, one of which accepts 2 requests a second
    When callers send 4 requests a second to "/safe/" for 8 seconds, and return once as told
    Then from a second after it announced its limit it never got more than 17 in 4 seconds
    And all callers that were told to return within their time were served

  # Routers of the product's own interface.

  Scenario: Routers send an engine no more than the limit it announced
    Given a fleet of 3 routers and 3 engines, one of which accepts 2 requests a second
    When callers send the routers 20 prompts a second for 7 seconds, each in turn
    Then from a second after its first run it never ran more than 17 in 4 seconds
    And all callers of the routers were answered

  Scenario: Routers send a plain service no more than the limit it announced
    Given a fleet of 3 routers in front of a plain service of 3 replicas, one of which accepts 2 calls a second
    When callers send the routers 20 calls a second for 7 seconds, each in turn
    Then from a second after its first run it never ran more than 17 in 4 seconds
    And all callers of the routers were answered

  Scenario: Routers refuse at once what no engine has room for
    Given a fleet of 2 routers and 1 engine, which accepts 2 requests a second
    When callers send the routers 8 prompts a second for 7 seconds, each in turn
    Then from a second after its first run it never ran more than 17 in 4 seconds
    And the callers refused were told at once that it was not run, and when to return
