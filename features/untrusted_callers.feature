Feature: Callers of a router that take what they can
  The routers' own interface is open to whoever connects as well. A router stays within
  the memory of its machine, which has no disk, and its descriptors, and goes on serving
  others.

  Scenario: A completion whose body comes in chunks is answered
    Given a router with 100 MB and 600 descriptors
    When one caller sends a completion in chunks
    Then it is answered with status 200

  Scenario Outline: A request that the interface refuses gets an error as JSON: <request>
    Given a router with 100 MB and 600 descriptors
    When one caller sends <request>
    Then it is answered with status <status>, and an error as JSON

    Examples:
      | request                    | status |
      | a body that is too large   | 413    |
      | chunks that are too large  | 413    |
      | a head that is too large   | 431    |
      | what is no request         | 400    |
      | a call of an unknown path  | 404    |

  Scenario Outline: A crowd of callers does not exceed the memory of a router: <kind>
    Given a router with 100 MB and 600 descriptors
    When a crowd of 100 callers sends <kind>
    Then an ordinary call is answered while they stay, and one after they left
    And the router lives, with at most 100 MB and 600 descriptors

    Examples: Requests without end
      | kind            |
      | trailer line    |
      | short trailers  |
      | chunk extension |
      | header line     |

    Examples: Requests within the limits
      | kind              |
      | unfinished bodies |
      | trickling bodies  |
      | unfinished chunks |
      | whole completions |

  Scenario Outline: One completion of the largest size is answered on a small machine: <how>
    Given a router with 128 MB and 600 descriptors, and the limits of its defaults
    When one caller sends a completion of the largest size <how>
    Then it is answered with status 200
    And the router lives, with at most 128 MB and 600 descriptors

    Examples:
      | how           |
      | with a length |
      | in chunks     |

  Scenario: Callers that read slowly do not exceed the memory of a router
    Given a router with 100 MB and 600 descriptors, whose service answers with 4 MB
    When a crowd of 100 callers sends slow readers
    Then an ordinary call is answered while they stay, and one after they left
    And the router lives, with at most 100 MB and 600 descriptors

  Scenario: Callers that send nothing leave room for others
    Given a router with 100 MB and 200 descriptors
    When a crowd of 150 callers sends idle connections
    Then an ordinary call is answered while they stay, and one after they left
    And the router lives, with at most 100 MB and 200 descriptors

  Scenario: The status tells what callers make a router hold
    Given a router with 100 MB and 600 descriptors
    When one caller sends 100 KB of a body of 500 KB, and waits
    Then the status tells that 500 KB are held, and nothing of it once the caller left

  Scenario: A router's log tells of a caller that did not receive its response
    Given a router with 100 MB and 600 descriptors
    When one caller leaves in the middle of a stream
    Then the router's log tells that its response was not received
