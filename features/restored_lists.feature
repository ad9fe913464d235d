Feature: A list of upstreams that is restored from an older copy takes nothing back
  After a failover drill the list may continue from a copy some seconds old. Guards
  against requests to upstreams that were read as leaving or gone before, and against
  other facts of an upstream that an older entry replaces.

  Scenario Outline: An upstream that was read as leaving stays so: <before>
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 <before>
    And the list is restored from the copy
    Then requests are placed on r2

    Examples:
      | before                                   |
      | says that it drains                      |
      | says that it drains, and its entry goes  |
      | loses its entry                          |
      | starts again, and its entry goes         |

  Scenario: Other instances are told of a draining that the restored list has lost
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 says that it drains
    And the list is restored from the copy
    Then an instance that asks this one for the list places requests on r2

  Scenario Outline: Who read the restored list learns of a leaving that is written again: <before>
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 <before>
    And the list is restored from the copy
    And another instance reads the list for the first time
    And the same is written again, and read by the first instance only
    Then its update tells the other instance to place requests on r2

    Examples:
      | before              |
      | says that it drains |
      | loses its entry     |

  Scenario Outline: A later word of an upstream that drained takes it back: <later>
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 says that it drains
    And the list is restored from the copy
    And r1's entry says <later>
    Then requests are placed on <placed>

    Examples:
      | later                                       | placed    |
      | ready, with the sequence of the copy        | r2        |
      | ready, with the sequence of its draining    | r2        |
      | ready, with a higher sequence               | r1 and r2 |
      | draining, with a higher sequence            | r2        |
      | ready, with a lower sequence and a new born | r1 and r2 |

  Scenario Outline: A later word of an upstream that was gone takes it back: <later>
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 loses its entry
    And the list is restored from the copy
    And r1's entry says <later>
    Then requests are placed on <placed>

    Examples:
      | later                                       | placed    |
      | draining, with a higher sequence            | r2        |
      | ready, with a higher sequence               | r1 and r2 |
      | ready, with a lower sequence and a new born | r1 and r2 |

  Scenario: A later word of an upstream that is in the restored list takes it back
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 says that it drains
    And the list is restored from the copy, and r1 writes first that it is ready
    Then requests are placed on r1 and r2

  Scenario Outline: An entry that is back while its upstream runs is used: <before>
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1's entry <before>
    And the list is restored from the copy
    And 5 seconds pass for the list
    Then requests are placed on r1 and r2

    Examples:
      | before                                 |
      | expires in an outage                   |
      | becomes unreadable                     |

  Scenario: Who read the restored list misses nothing that was written again before others read it
    Given an instance that follows the list, with the upstreams r1 and r2
    When the list is copied
    And r1 says that it drains
    And the list is restored from the copy, but not read
    And another instance reads the list for the first time
    And the same is written again, and read by the first instance only
    Then the other instance places requests on r2, by that update or by reading the list

  Scenario Outline: An older entry takes back no weights that an engine loaded: <after>
    Given an instance that follows the list, with the upstreams r1 and r2
    When r1 says that it runs weights 3
    And the list is copied
    And r1 says that it runs weights 4
    And 5 seconds pass for the list
    And the list is restored from the copy
    And <after>
    Then r1 is known to run weights <known>

    Examples:
      | after                                        | known |
      | the list is read again                       | 4     |
      | 5 seconds pass for the list                  | 4     |
      | r1 says for 5 seconds that it runs weights 2 | 2     |
      | r1 starts again with weights 2               | 2     |
