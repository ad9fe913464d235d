Feature: An upstream that says it leaves gets no new requests
  An upstream that shuts down says so in all its answers; its record in the store may say
  so much later. Guards against requests that reach it from an instance that has passed
  such an answer on, whoever sent them.

  Scenario Outline: Replicas that say they leave get no later requests, <cut> gateways cut
    Given 4 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When <cut> gateways are cut, and one replica of each kind says that it leaves
    Then no request sent 2 seconds after a machine was told reached them from it
    And their records in the store, which say that they are ready, changed nothing
    And 0.95 of the requests were served

    Examples:
      | cut |
      | 0   |
      | 2   |

  Scenario Outline: What any answer says of leaving holds: <answer>
    Given a gateway's view of the upstreams r1 and r2
    When r1 says that it leaves in <answer>
    Then r1 gets no further requests, and r2 does

    Examples:
      | answer                                  |
      | a response                              |
      | a refusal                               |
      | a failure                               |
      | a report                                |
      | the answer to an order                  |
      | a page of cache events                  |
      | a listing of its cache                  |
      | a 421 that it sends in the place of r3  |
      | a response that is carried for another instance |

  Scenario Outline: Only a new incarnation ends a leaving: <later>
    Given a gateway's view of the upstreams r1 and r2
    When r1 says that it leaves in a response
    And <later>
    Then r1 gets <further> requests

    Examples:
      | later                                          | further    |
      | its record says ready                          | no further |
      | its record is removed and written again        | no further |
      | its record of an earlier start arrives late    | no further |
      | a later response of it says nothing            | no further |
      | it starts again under its id                   | further    |
      | another upstream starts at its address         | no further |

  Scenario Outline: Unreadable values say nothing: <value>
    Given a gateway's view of the upstreams r1 and r2
    When r1 sends the header Server-Leaving "<value>"
    Then r1 gets <further> requests

    Examples:
      | value | further    |
      | 1     | no further |
      | 0,1   | further    |
      | 0     | further    |
      | true  | further    |
      | -1    | further    |
      | 1e9   | further    |

  Scenario: Upstreams that come and go take a bounded amount of memory
    Given a gateway's view of the upstreams r1 and r2
    When 40000 other upstreams come, leave and go
    Then no more than 17000 of them are remembered

  Scenario: A request that was placed before the word arrives is not sent
    Given a request that is placed on r1 and waits for its connection
    When r1 says that it leaves meanwhile
    Then the request is sent to r2, without using a retry

  Scenario: A run that was moved is continued by an engine that leaves
    Given a stream that is moved to an engine that says meanwhile that it leaves
    When the caller's request is served
    Then only the source and the destination engine were tried
    And the caller's stream is complete, with 4 events

  Scenario: A carrier sends no further requests on tunnels that are open already
    Given a carrier with two open tunnels to r1, one of which is in use
    When r1 says on the one in use that it leaves
    Then a request on the other one is not sent, and its sender is told so
    And the one in use ends with its answer, and no further request is sent on it
