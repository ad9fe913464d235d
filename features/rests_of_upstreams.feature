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

  Scenario Outline: What any answer says of rest holds: <answer>
    Given a gateway's view of the upstreams r1 and r2
    When r1 asks for 3 seconds of rest in <answer>
    Then r1 gets no further requests, and r2 does
    And r1 gets no reports, moves or polls of its cache either, and at most 2 orders

    Examples:
      | answer                                          |
      | a refusal                                       |
      | a report                                        |
      | the answer to an order                          |
      | a page of cache events                          |
      | a listing of its cache                          |
      | a response that is carried for another instance |

  Scenario Outline: A time of rest is read with care: <value>
    Given a gateway's view of the upstreams r1 and r2
    When r1 refuses with the header Retry-After "<value>"
    Then it rests for <rest_s> seconds, and up to a fifth more

    Examples:
      | value                         | rest_s |
      | 3                             | 3      |
      | 0.5                           | 0.5    |
      | 2\|5                          | 5      |
      | 2, 5                          | 5      |
      | soon\|4                       | 4      |
      | Thu, 03 Dec 2026 10:00:10 GMT | 10     |
      | Thu, 03 Dec 2026 09:00:00 GMT | 0      |
      | 0                             | 0      |
      | -1                            | 0      |
      | nan                           | 0      |
      | inf                           | 0      |
      | soon                          | 0      |
      | 7200                          | 30     |

  Scenario: An upstream that rests for hours by mistake is used again
    Given an upstream that asked for 7200 seconds of rest
    When 36 seconds pass
    Then one request may be sent to it, and no second one
    When that request is served
    Then it is used again

  Scenario: An upstream that means hours gets two requests in all that time
    Given an upstream that asked for 7200 seconds of rest
    When each request that may be sent to it is refused, with as much rest, for 7190 seconds
    Then it got 2 requests

  Scenario: A response to a request from before the rest does not end it
    Given an upstream that asked for 3 seconds of rest
    When a request that was sent before is served
    Then no request may be sent to it

  Scenario: Instances do not all return at the same moment
    Given 50 instances, asked for 10 seconds of rest at the same moment
    Then they return within 10 to 12 seconds, spread over at least 1 second

  Scenario: A request that was placed before the rest began is not sent
    Given a request that is placed on r1 and waits for its connection
    When r1 asks for rest meanwhile
    Then the request is sent to r2, without using a retry

  Scenario: A resumable run that was moved to an engine that rests goes on elsewhere
    Given a resumable stream that is moved to an engine that asks for rest meanwhile
    When the caller's request is served
    Then another engine was asked to resume after event 2
    And the caller's stream is complete, with 4 events

  Scenario: The own interface uses other back ends while one rests
    Given an own interface with the back ends b1 and b2
    When b1 asks for 3 seconds of rest
    Then 10 requests are all sent to b2
    When b2 asks for 2 seconds of rest
    Then a request is refused, to return in 2 to 2.4 seconds
