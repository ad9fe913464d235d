Feature: An upstream that asks for rest gets it
  An upstream that turns a request away with 503 may say for how long it wants nothing
  from that machine. Guards against requests that reach it all the same, against
  refusals that tell callers to return too early, and against values that would silence
  an upstream by mistake.

  Scenario Outline: Replicas that rest get at most two requests from a machine, <cut> cut
    Given 4 gateways in front of 2 engines and 2 plain replicas, each behind a proxy
    When <cut> gateways are cut, one replica of each kind asks for 3 seconds of rest, then all do
    Then no machine sent more than 2 requests in a time of rest, from half a second on
    And 0.95 of the requests were served while others did not rest
    And while all rested, requests were refused at once, to return when a rest is over

    Examples:
      | cut |
      | 0   |
      | 2   |
