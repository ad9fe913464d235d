Feature: Streams that are taken up at a gateway that is out of step
  While replicas of another software version join, one gateway stands still, or is cut off
  from the other gateways, from the log service, or from both. Then its list of replicas is
  old, and it has not been told where streams began. Guards against streams that it lets go
  on at a replica of another version instead of refusing them for a moment.

  Scenario Outline: One gateway <is out of step> while <release>
    Given 4 gateways in front of 6 engines of v1 and 2 of v2, of which the first can be cut off
    When callers stream for 14 seconds, the first gateway <is out of step>, and meanwhile <release>
    Then no stream has events of two versions
    And no event is missing or comes twice
    And at least 12 streams were taken up at the first gateway while it was out of step
    And what was taken up there went on, or was refused with 503, unless its engine ended
    And at least 0.5 as many streams went on as began

    Examples:
      | is out of step                              | release                                     |
      | stands still                                | engines of v3 join and those of v1 leave    |
      | stands still                                | engines of v1 start again as v3             |
      | is cut from the others                      | engines of v3 join and those of v1 leave    |
      | is cut from the others                      | engines of v1 start again as v3             |
      | is cut from the log service                 | engines of v3 join and those of v1 leave    |
      | is cut from the log service                 | engines of v1 start again as v3             |
      | is cut from the others and the log service  | engines of v3 join and those of v1 leave    |
      | is cut from the others and the log service  | engines of v1 start again as v3             |
      | is cut from the others and the log service  | engines of v3 join, first without a version |
      | is cut from the others and the log service  | the route moves to a service of v3          |
      | is in step                                  | engines of v1 start again as v3             |
