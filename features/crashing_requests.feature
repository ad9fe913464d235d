Feature: Requests that crash the engines that run them
  A caller may repeat a request that crashes every engine that starts to run it. An
  instance that does not know of the crashes sends each repeat to another engine, or
  retries it there itself, and every crash also interrupts all other runs on that
  engine: 12 engines crashed in 12 seconds under one request.

  One crash does not identify the request, since any run that had just started may
  be the cause. So instances count the crashes under each request together, run it
  only on trial after two, and refuse it after three.

  Scenario: The log identifies the requests on an engine that crashed
    Given 1 gateway in front of 3 engines, and a request that crashes each of them that runs it
    And a stream is being answered by each engine
    When callers send the crashing request 2 times
    Then both failures are logged with the same fingerprint, and without a first event
    And with the shared parts of their prompts, as is the crash
    And the interrupted streams are logged with other fingerprints, and with a first event

  Scenario Outline: A request that crashed three replicas is kept from the others
    Given 3 gateways in front of 8 <replicas>, and a request that crashes each of them that runs it
    When callers send it to "<path>" for 9 seconds, to each gateway in turn
    Then at most 3 of them reached a replica over 3 seconds after the third crash
    And its last 8 callers received an immediate refusal
    And all other requests sent after the last crash were served

    Examples:
      | replicas        | path             |
      | engines         | /once/crashing   |
      | engines         | /resume/crashing |
      | plain replicas  | /safe/crashing   |

  Scenario: The callers disconnect before the engines crash
    An instance whose caller disconnects closes its connection to the engine and
    cannot observe how the run ends. While such runs were not counted, 35 engines
    crashed in 12 seconds, and no crash was logged. So a run whose caller disconnected
    is also suspected if its engine leaves the list soon afterwards.

    Given 3 gateways in front of 8 engines, and a request that crashes each of them that runs it
    When callers send it to "/once/crashing" for 12 seconds, and disconnect after 30 ms
    Then at most 3 of them reached a replica over 3 seconds after the third crash
    And all other requests sent after the last crash were served

  Scenario: The quarantine survives a restart of all instances at once
    Given 3 gateways in front of 8 engines, and a request that crashes each of them that runs it
    When callers send it to "/once/crashing" for 2 seconds, to each gateway in turn
    And all gateways are killed at once and restarted
    And callers send it to "/once/crashing" for 4 seconds, to each gateway in turn
    Then it reached no replica since the restart
    And its last 8 callers received an immediate refusal
    And all other requests sent since the restart were served

  Scenario: Routers keep engines from a prompt that crashes them
    Given a fleet of 3 routers and 6 engines that a prompt crashes, which start again
    When routers are sent that prompt 16 times, each in turn
    Then at most 6 of them crashed
    And the last 4 callers were told at once that it was not run
    And other prompts are answered

  Scenario: Routers keep plain services from a call that crashes them
    Given a fleet of 2 routers in front of a plain service of 4 replicas that a call crashes, which start again
    When routers are sent that call 16 times, each in turn
    Then at most 6 of them crashed
    And the last 4 callers were told at once that it was not run
    And other calls are answered

  Scenario: Callers that disconnect cause no probes while the engines run
    Given an instance that tracks runs on 20 engines
    When 8000 callers, each with its own request, disconnect within 16 seconds
    Then no engine was probed, and at most 128 requests per engine are remembered
    When the engines leave the list 6 seconds later
    Then no crash is reported for the callers' requests

  Scenario Outline: The number of crashes does not depend on the number of instances
    Given <count> instances in front of 12 engines, and a request that crashes them
    When it is repeated for 8 seconds
    Then it reached engines at most 3 times, and crashed at most 3
    And it is refused at once by every instance, with a retry delay of 30 s
    When it is repeated for 90 seconds
    Then over 3 seconds after the third crash at most 1 reached an engine

    Examples:
      | count |
      | 1     |
      | 7     |
      | 195   |
      | 860   |

  Scenario Outline: Several copies of the request arrive at once
    Given <count> instances in front of 12 engines, and a request that crashes them
    When it has crashed 2 engines
    And it is sent 7 times at once, each time to another instance
    Then it reached engines at most 3 times, and crashed at most 3

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario: Crashes are noticed only after the engines have restarted
    Given 7 instances in front of 12 engines, and a request that crashes them
    When it is sent 8 times, every 6 seconds, and each crash is noticed 5 seconds late
    Then it reached engines at most 3 times, and crashed at most 3

  Scenario Outline: Instances are restarted, killed or cut off between crashes
    Given <count> instances in front of 12 engines, and a request that crashes them
    When it has crashed <crashes> engines
    And <fault>
    And it is repeated for 25 seconds
    Then over 3 seconds after the third crash at most 3 reached an engine

    Examples:
      | count | crashes | fault                                                    |
      | 7     | 1       | all instances are killed at once and restarted           |
      | 7     | 2       | all instances are killed at once and restarted           |
      | 7     | 3       | all instances are killed at once and restarted           |
      | 195   | 1       | all instances are killed at once and restarted           |
      | 195   | 2       | all instances are killed at once and restarted           |
      | 195   | 3       | all instances are killed at once and restarted           |
      | 7     | 1       | 60 percent of the instances are killed and not restarted |
      | 195   | 2       | 60 percent of the instances are killed and not restarted |
      | 7     | 1       | a third of the instances cannot reach the log service    |
      | 195   | 2       | a third of the instances cannot reach the log service    |
      | 7     | 1       | no instance can reach the log service                    |
      | 195   | 1       | no instance can reach the log service                    |
      | 7     | 0       | one message in 10 is lost, and no broadcast arrives      |
      | 195   | 0       | one message in 10 is lost, and no broadcast arrives      |

  Scenario Outline: A rolling restart of all instances between crashes
    Given <count> instances in front of 12 engines, and a request that crashes them
    When it is sent repeatedly for 25 seconds, and each second an instance is restarted
    Then over 3 seconds after the third crash at most 3 reached an engine

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario Outline: A harmless request on engines that crash for another reason
    Given 7 instances in front of 12 engines, and a request that crashes them
    When <crashes> engines crash one after the other while they start a harmless request
    Then the harmless request is served when it is repeated
    And no instance suspects the harmless request any longer

    Examples:
      | crashes |
      | 1       |
      | 2       |

  Scenario Outline: Engines lose power at once while they start a popular request
    Simultaneous crashes are no evidence against a request that all the engines had
    just started: the cause may be a rack that lost power. While each crash counted,
    six of them had a harmless request refused for a day (refused_for_s of 86,400).
    So only crashes on trial, when the request runs as a single copy, lead to refusal.

    Given <count> instances in front of 12 engines, and a request that crashes them
    When <crashes> engines crash at once while they start a harmless request
    Then the harmless request is served when it is repeated
    And no instance suspects the harmless request any longer

    Examples:
      | count | crashes |
      | 7     | 3       |
      | 7     | 6       |
      | 195   | 10      |

  Scenario Outline: Several copies of the request crash as many engines at once
    Given <count> instances in front of 12 engines, and a request that crashes them
    When it is sent 7 times at once, each time to another instance
    And it is repeated for 400 seconds
    Then over 3 seconds after the third crash at most 3 reached an engine

    Examples:
      | count |
      | 7     |
      | 30    |

  Scenario: Three unrelated crashes delay a harmless request by half a minute
    Given 7 instances in front of 12 engines, and a request that crashes them
    When 3 engines crash one after the other while they start a harmless request
    Then the harmless request is served within 31 seconds
    And no instance suspects the harmless request any longer

  Scenario: A harmless request in the same batch is not blamed
    Given 7 instances in front of 12 engines, and a request that crashes them
    When a harmless request has just started on each of the first 2 that it crashes
    And it has crashed 3 engines
    Then the harmless request is served when it is repeated
    And the harmless request was never refused
    And no instance suspects the harmless request any longer

  Scenario Outline: A popular request runs on engines that crash occasionally
    Given <count> instances in front of 12 engines, and a request that crashes them
    When a popular request runs on 6 engines that crash, and is served in between
    Then the harmless request was never refused

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario Outline: The messages per crash do not depend on the size of the fleet
    Given <count> instances in front of 40 engines, and a request that crashes them
    When 20 requests each crash 3 engines
    Then a crash took at most 14 datagrams on average, none over 400 bytes

    Examples:
      | count |
      | 7     |
      | 195   |
      | 860   |

  Scenario: The number of suspected requests is bounded
    Given 7 instances in front of 40 engines, and a request that crashes them
    When 400 requests each crash 2 engines
    Then no instance lists more than 256 requests, nor the log service more than 512

  Scenario Outline: Random restarts, failures, and lost or duplicated messages
    Given a fleet of <count> with a crashing request, explored with seed <seed>
    When it is sent repeatedly for 60 seconds during random events
    Then over 3 seconds after the third crash at most 3 reached an engine
    And at most 5 of 100 harmless requests were refused

    Examples:
      | count | seed |
      | 7     | 1    |
      | 7     | 2    |
      | 7     | 3    |
      | 7     | 4    |
      | 30    | 5    |
      | 30    | 6    |
      | 30    | 7    |
      | 30    | 8    |

  Scenario: A crash that is reported again is forgotten as long after it as any other
    Given an instance that counts crashes
    When an engine crashes under a request, and 300 seconds later one under another request
    And the first crash is reported again 200 seconds later, and 150 seconds pass
    And another engine crashes under the first request
    Then the first request has one crash, and is not suspected
