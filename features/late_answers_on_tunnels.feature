Feature: Late copies of answers on tunnels
  An upstream may answer a request twice, the second time late. Guards against carriers
  that take the copy for the answer to the next request and say that this one was not
  sent, though it runs.

  Scenario Outline: A carrier does not say "not sent" of a request that runs when <copy>
    Given a tunnel on which a request was answered
    When the next one is sent, <copy>, and the carrier stops
    And the upstream answers the next one
    Then its sender gets the answer to its own request
    And the tunnel is idle, and the carrier recorded 2 answers

    Examples:
      | copy                                               |
      | a copy of the first answer arrives                 |
      | a copy of the first answer arrives around it       |
      | a copy of the first answer arrives with its answer |
      | a response without an id arrives as a refusal      |

  Scenario: What a late copy says is not taken for the state of the upstream
    Given a tunnel on which a request was answered
    When the next one is sent, and a copy of the first answer arrives as a refusal
    Then the carrier noted what one answer said

  Scenario Outline: A tunnel's end follows an answer that is <passed> passed on: <tunnel>, <end>
    Given a tunnel with a slow receiver: <tunnel>, <passed>
    When its upstream sends an answer, and <end>
    Then its sender gets the whole answer

    Examples:
      | tunnel  | passed | end                                      |
      | coded   | partly | the carrier stops                        |
      | coded   | partly | the upstream asks for rest               |
      | coded   | wholly | the upstream asks for rest               |
      | coded   | partly | the upstream closes and the carrier stops |
      | coded   | wholly | the upstream closes and the carrier stops |
      | uncoded | partly | the carrier stops                        |
      | uncoded | wholly | the carrier stops                        |
      | uncoded | wholly | the upstream closes and the carrier stops |

  Scenario: A refusal follows a late copy that is partly passed on
    Given a tunnel with a slow receiver: coded, partly
    When a long copy of an answer arrives, and the upstream wants no further request
    Then the next request is refused as not sent, for 5 seconds

  Scenario Outline: A refusal behind <received> tells that the request is <fate>
    Given a request that was sent on a tunnel
    When <received> arrives, and then the carrier's refusal
    Then its sender takes the request for <fate>

    Examples:
      | received                    | fate            |
      | nothing                     | not sent        |
      | a copy of an earlier answer | not sent        |
      | half a copy                 | not sent        |
      | half a head                 | maybe run       |
      | the head of its answer      | maybe run       |
      | half its answer             | maybe run       |

  Scenario: A request sent before the answer to the last one is not refused as not sent
    Given a tunnel with a request under way
    When its sender sends another one, and the upstream wants no further request
    Then the first one does not count as not sent

  Scenario Outline: A connection is not used again if behind its answer comes <extra>
    Given a request that was sent on a tunnel
    When its answer arrives, in one read with <extra>
    Then its sender gets the answer, and does not use the connection again

    Examples:
      | extra                     |
      | a second copy of it       |
      | the first byte of a copy  |
      | half a copy               |
      | the end of the upstream   |
      | a refusal                 |

  Scenario: A tunnel that is ended for two reasons still tells that a request is not sent
    Given a tunnel on which a request was answered
    When its upstream asks for rest, and then the carrier stops
    Then the next request is refused as not sent, for 5 seconds

  Scenario Outline: Requests on tunnels that end get their own answers, or the truth (seed <seed>)
    Given senders whose requests are carried to an upstream that answers some twice
    When their carrier ends idle tunnels again and again, seed <seed>
    Then every answer was the one to its request
    And no request that counts as not sent reached the upstream
    And none was interrupted

    Examples:
      | seed |
      | 1    |
      | 2    |
