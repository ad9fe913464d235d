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
