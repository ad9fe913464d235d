Feature: Requests with a part in their prompts that crashes engines
  One part of a prompt may crash each engine that begins to write an answer to it,
  whatever else the request holds. No two such requests are alike, so that counting the
  crashes of each request finds nothing: they crashed engine after engine, 25 in 30
  seconds. Sound requests share the other parts, and must go on.

  # A simulated fleet.

  Scenario Outline: The number of crashes does not depend on the number of instances
    Given <count> instances before engines that crash under a part of the prompt 1.0 of the times
    When for 20 seconds 5 requests a second have that part, <place>, beside sound ones
    Then at most 3 with the part reached an engine late
    And sound requests are served as before from 6 seconds after the fifth crash on

    Examples:
      | count | place           |
      | 1     | middle          |
      | 7     | first           |
      | 7     | middle          |
      | 7     | before the last |
      | 60    | middle          |
      | 195   | middle          |
      | 860   | before the last |

  Scenario Outline: The part comes rarely, often, or crashes engines only some of the times
    Given <count> instances before engines that crash under a part of the prompt <share> of the times
    When for <for> seconds <rate> requests a second have that part, middle, beside sound ones
    Then at most 3 with the part reached an engine late
    And sound requests are served as before from 6 seconds after the fifth crash on

    Examples:
      | count | share | rate | for |
      | 7     | 1.0   | 0.4  | 40  |
      | 7     | 1.0   | 15   | 20  |
      | 60    | 1.0   | 1    | 30  |
      | 7     | 0.67  | 4    | 25  |
      | 60    | 0.67  | 4    | 25  |
      | 7     | 0.67  | 0.8  | 40  |

  Scenario Outline: Two parts crash engines at the same time
    Given <count> instances before engines that crash under a part of the prompt 1.0 of the times
    When for 25 seconds 4 requests a second have one of two such parts, <place>, beside sound ones
    Then at most 6 with the part reached an engine late
    And sound requests are served as before from 6 seconds after the fifth crash on

    Examples:
      | count | place           |
      | 7     | middle          |
      | 60    | before the last |

  Scenario Outline: Callers leave before the engines crash
    Given <count> instances before engines that crash under a part of the prompt 1.0 of the times
    When for 25 seconds <rate> requests a second of callers who leave have that part, before the last, beside sound ones
    Then at most 3 with the part reached an engine late
    And sound requests are served as before from 6 seconds after the fifth crash on

    Examples:
      | count | rate |
      | 7     | 2    |
      | 60    | 2    |

  Scenario Outline: Instances fail between crashes under a part
    Given <count> instances before engines that crash under a part of the prompt 1.0 of the times
    When after <crashes> crashes <fault>
    And for 25 seconds 3 requests a second have that part, middle, beside sound ones
    Then at most 3 with the part reached an engine late
    And sound requests are served as before from 6 seconds after the fifth crash on

    Examples:
      | count | crashes | fault                                                 |
      | 7     | 2       | all instances are killed at once and restarted        |
      | 7     | 4       | all instances are killed at once and restarted        |
      | 7     | 6       | all instances are killed at once and restarted        |
      | 60    | 4       | all instances are killed at once and restarted        |
      | 7     | 3       | a third of the instances are killed                   |
      | 60    | 3       | a third of the instances are killed                   |
      | 7     | 1       | no instance can reach the log service                 |
      | 60    | 1       | no instance can reach the log service                 |
      | 7     | 0       | one message in 10 is lost, and half of the broadcasts |
      | 60    | 0       | one message in 10 is lost, and half of the broadcasts |

  Scenario Outline: Popular parts are on engines that crash of something else
    Given <count> instances before engines, explored with seed 1
    When for 30 seconds sound requests come, and an engine crashes every <every> seconds of something else
    Then at most 1 in 100 sound requests were refused

    Examples:
      | count | every |
      | 7     | 0.5   |
      | 7     | 3     |
      | 60    | 0.5   |

  Scenario Outline: Engines with popular parts lose power at once
    Given <count> instances before engines, explored with seed 2
    When <engines> engines lose power at once, 3 times
    Then at most 1 in 100 sound requests were refused

    Examples:
      | count | engines |
      | 7     | 6       |
      | 60    | 12      |

  Scenario: A part that is held wrongly is tried again, and goes on
    Given 7 instances before engines, explored with seed 3
    When a rare part is in three crashes that it did not cause, one of them on trial
    Then a request with the rare part is served within 40 seconds
    And all requests with the rare part are served 10 seconds later

  Scenario Outline: Nothing is sent for requests whose parts nobody suspects
    Given <count> instances before engines, explored with seed 4
    When for 10 seconds sound requests come alone
    Then no message was sent for it

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario Outline: The messages per crash under a part do not depend on the size of the fleet
    Given <count> instances before engines that crash under a part of the prompt 1.0 of the times
    When for 10 seconds 1 requests a second have that part, middle, beside sound ones
    Then a crash took at most 120 datagrams, none over 600 bytes

    Examples:
      | count |
      | 7     |
      | 195   |
      | 860   |

  # Real gateway processes.

  Scenario Outline: A part that crashes engines is kept from them, and sound requests go on
    Given 4 gateways in front of 12 engines that crash under a part of the prompt <share> of the times
    When for <for> seconds sound streams come to "<path>", and <rate> a second with <parts> such parts, <place>
    Then at most <most> with the part reached an engine over 3 seconds after the fifth crash
    And sound streams sent over 6 seconds after the fifth crash were whole 0.9 of the times

    Examples:
      | share | for | path     | rate | parts | place           | most |
      | 1.0   | 14  | /resume/ | 5    | 1     | middle          | 3    |
      | 1.0   | 14  | /once/   | 5    | 1     | first           | 3    |
      | 1.0   | 16  | /once/   | 1    | 1     | before the last | 3    |
      | 0.67  | 16  | /once/   | 4    | 1     | middle          | 3    |
      | 1.0   | 16  | /once/   | 4    | 2     | middle          | 6    |

  Scenario: A part that crashes engines after their callers left
    Given 4 gateways in front of 12 engines that crash under a part of the prompt 1.0 of the times
    When for 18 seconds callers who leave after 40 ms send 2 a second with 1 such parts, before the last, beside sound streams to "/once/"
    Then at most 3 with the part reached an engine over 3 seconds after the fifth crash
    And sound streams sent over 6 seconds after the fifth crash were whole 0.9 of the times

  Scenario: All instances are killed while a part crashes engines
    Given 4 gateways in front of 12 engines that crash under a part of the prompt 1.0 of the times
    When all gateways are killed at once 4 seconds later, and start again
    And for 18 seconds sound streams come to "/once/", and 3 a second with 1 such parts, middle
    Then at most 3 with the part reached an engine over 3 seconds after the fifth crash
    And its last 8 callers were refused at once, with a time to come back

  Scenario: Engines answer with errors what they do not run
    Given 4 gateways in front of 12 engines that crash under a part of the prompt 1.0 of the times
    And the engines answer 0.75 of all requests with an error
    When for 16 seconds sound streams come to "/once/", and 6 a second with 1 such parts, middle
    Then at most 3 with the part reached an engine over 3 seconds after the fifth crash

  Scenario: Engines refuse most requests
    Given 4 gateways in front of 12 engines that crash under a part of the prompt 1.0 of the times
    And the engines refuse 0.75 of all requests
    When for 16 seconds sound streams come to "/once/", and 6 a second with 1 such parts, middle
    Then at most 3 with the part reached an engine over 3 seconds after the fifth crash
