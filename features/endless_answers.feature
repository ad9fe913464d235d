Feature: Upstreams that send bytes without end
  What is no answer may come without end, in a head or in a body, until the gateway
  closes the connection. It must not take its memory or its time.

  Scenario Outline: Bytes without end take neither memory nor time of a gateway: <fault>
    Given a gateway in front of 3 replicas of which one sends an <fault>
    When a request gets that, and others come meanwhile
    Then all are answered in time, and the gateway takes at most 24 MB more
    And nobody sends any more

    Examples:
      | fault           |
      | endless head    |
      | endless fields  |
      | endless refusal |
      | endless stray   |
      | endless error   |
      | endless event   |
