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
      | endless trailers |
      | endless trailers behind an event |
      | endless chunk size |
      | endless interim heads |

  Scenario: New connections are served while a response without end is passed on
    A gateway without an idle moment turns new connections away.

    Given a gateway in front of 3 replicas of which one sends an endless error
    When a request gets that, and others come meanwhile on new connections
    Then all are answered in time, and the gateway takes at most 24 MB more
    And the gateway turned no connection away

  Scenario Outline: A request without end is refused, and others are served meanwhile: <what>
    Given a gateway in front of 2 plain replicas
    When a caller sends a request with <what>, and others send meanwhile
    Then its connection is closed within 3 seconds, and the gateway takes at most 16 MB more
    And the others are all served in time

    Examples:
      | what                         |
      | trailers without end         |
      | a size of chunk without end  |
      | a body without end           |

  Scenario: A request whose body hardly goes on is refused
    Given a reader of requests that may take 0.5 seconds
    When a body comes in pieces, one every 0.1 seconds
    Then the request is refused with 408 after 0.5 to 0.8 seconds

  Scenario: Trailers of a request are no headers
    Given a gateway in front of 2 plain replicas
    When a caller sends a request in chunks, with a trailer
    Then the request is served, and its replica got no header of that name

  Scenario Outline: A carrier keeps nothing of <what> without end
    Given a tunnel on which a request is under way
    When its upstream sends <what> without end
    Then the carrier takes at most 8 MB more

    Examples:
      | what     |
      | fields   |
      | trailers |

  Scenario Outline: Many answers without end at once take neither memory nor time: <fault>, <kind>
    Given a gateway of 88 MB in front of 3 replicas, for <kind> requests
    When 300 requests at once are answered by an <fault>
    Then every caller has its answer within its deadline and 1 second
    And the gateway has taken at most 88 MB

    Examples:
      | fault                 | kind           |
      | endless fields        | non_idempotent |
      | endless fields        | idempotent     |
      | endless fields        | stream         |
      | endless head          | non_idempotent |
      | endless interim heads | non_idempotent |
      | endless interim heads | idempotent     |
      | endless trailers      | non_idempotent |
      | unfinished head       | non_idempotent |
      | unfinished long head  | non_idempotent |
      | endless stray         | non_idempotent |
      | endless stray         | idempotent     |
      | endless refusal       | non_idempotent |
      | endless event         | stream         |

  Scenario: Heads that do not go on take what there is for callers, and no more
    Given a gateway of 88 MB in front of 3 replicas, for non_idempotent requests
    When 700 requests at once are answered by an unfinished head
    Then the gateway has taken at most 88 MB
