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
