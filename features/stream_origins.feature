Feature: The fleet remembers which software version began a stream
  The instance that passed on the first event may be gone when the caller takes the
  stream up elsewhere. Guards against streams whose origin is forgotten or, worse, wrong,
  and against memory and messages that grow with the fleet.

  Scenario Outline: The instance that began the stream is gone, at <count> instances
    Given a modelled fleet of <count> instances
    When 200 streams begin, each instance that began one ends, and they are taken up
    Then every origin found is right
    And at least 1.0 of the origins are found, each within 0.01 seconds

    Examples:
      | count |
      | 7     |
      | 78    |
      | 300   |

  Scenario Outline: Random troubles in a fleet of <count>, seeds <first> to <last>
    Datagrams get lost and come twice, instances are cut off, slow, killed and start again.

    When modelled fleets of <count> instances with seeds <first> to <last> meet random troubles
    Then every origin found is right
    And of the streams begun and taken up in touch at least 0.98 are found

    Examples:
      | count | first | last |
      | 7     | 1     | 40   |
      | 78    | 1     | 24   |
      | 300   | 1     | 8    |

  Scenario: Half of the instances are killed at the same moment
    Given a modelled fleet of 78 instances
    When 400 streams begin, half of the instances are killed, and they are taken up
    Then every origin found is right
    And at least 0.8 of the origins are found, each within 0.12 seconds

  Scenario: All owners start again while a stream lasts
    Given a modelled fleet of 7 instances
    When a stream begins, its owners start again, and its origin is told again
    Then its origin is found at every instance

  Scenario Outline: What an instance does for it does not grow with the fleet
    Given a modelled fleet of <count> instances
    When each instance begins 60 streams a second for <for_s> seconds, of which one in 20 is taken up
    Then an instance sends and receives at most 400 datagrams and 30000 bytes a second
    And it keeps at most 2880 origins, in at most 2 megabyte
    And noting an origin takes at most 1 millisecond of its processor time on average

    Examples:
      | count | for_s |
      | 7     | 20    |
      | 78    | 20    |
      | 300   | 2     |

  Scenario: An origin is kept no longer than its caller may come back
    Given a modelled fleet of 7 instances
    When 50 streams begin and 12 seconds pass
    Then no instance keeps any origin

  Scenario: An id of another team tells nothing
    Given a modelled fleet of 7 instances
    When a stream of team "alpha" is taken up by team "beta"
    Then no origin is found, and all owners replied

  Scenario: An id that was used for streams of two versions
    Given a modelled fleet of 7 instances
    When two streams with the same id begin at versions "v1" and "v2"
    Then no origin is found at any instance

  Scenario: Owners that do not reply
    Given a modelled fleet of 7 instances
    When a stream begins, the links of its owners are cut, and it is taken up
    Then no origin is found, and it is known that not all owners replied

  Scenario: The owners of an origin are in different zones
    Given a modelled fleet of 78 instances
    When 300 streams begin
    Then the owners of each are in 3 zones

  Scenario: Memory is bounded
    Given a modelled fleet of 3 instances
    When one instance begins 25000 streams at once
    Then no instance keeps more than 20000 origins
    And the origins of the newest 1000 are found

  Scenario: Messages of different packages have different kinds on the wire
    When the messages of two packages with a kind in common are merged
    Then that is an error that names both classes
    And the gateway's datagrams, among them those about origins and about work, can be encoded
