Feature: Clients that take what they can
  Whoever connects may send and receive whatever it likes, and many may do so at the
  same time. A gateway stays within the memory of its machine and its descriptors, and
  goes on serving others.

  Scenario Outline: A crowd does not exceed the memory of a gateway: <kind>
    Given a gateway with 100 MB and 600 descriptors, in front of a plain replica
    When 100 clients send <kind>
    Then an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 600 descriptors

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

  Scenario Outline: Heads do not exceed the memory of a gateway: <kind>
    Given a gateway with 100 MB and 800 descriptors, in front of a plain replica
    When 300 clients send <kind>
    Then an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 800 descriptors

    Examples:
      | kind         |
      | tiny fields  |
      | expectations |

  Scenario Outline: Whole requests do not exceed the memory of a gateway: <kind>
    Given a gateway with 100 MB and 600 descriptors, in front of a plain replica
    And the replica takes 3 seconds for each request of the crowd
    When 100 clients send <kind>
    Then an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 600 descriptors

    Examples:
      | kind             |
      | whole bodies     |
      | pipelined bodies |

  Scenario Outline: Slow readers do not exceed the memory of a gateway: <what>
    Given a gateway with 100 MB and 600 descriptors, in front of a replica with <what>
    When 150 clients read them slowly
    Then an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 600 descriptors

    Examples:
      | what            |
      | answers of 8 MB |
      | events of 32 KB |

  Scenario: Connections with nothing sent leave room for others
    Given a gateway with 100 MB and 200 descriptors, in front of a plain replica
    When 150 clients send idle connections
    Then an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 200 descriptors

  Scenario Outline: One request of the largest size is served on a small machine: <how>
    Given a gateway with 88 MB and 600 descriptors, in front of a plain replica
    And its limits are those of the pages
    When one client sends a request of the largest size <how>
    Then it is answered
    And the gateway lives, with at most 88 MB and 600 descriptors

    Examples:
      | how           |
      | with a length |
      | in chunks     |

  Scenario: One answer of 8 MB is passed on whole on a small machine
    Given a gateway with 88 MB and 600 descriptors, in front of a replica with answers of 8 MB
    When one client asks for it
    Then it gets all of it
    And the gateway lives, with at most 88 MB and 600 descriptors

  Scenario: A request that asks several times for an interim response gets one
    Given a gateway with 88 MB and 600 descriptors, in front of a plain replica
    When one client asks 5 times to continue, and sends its body once it may
    Then it gets 1 interim response, and its answer

  Scenario: A failure that is kept while its request is tried again is counted
    Given a gateway with 88 MB and 600 descriptors, in front of two replicas
    And a request fails with 200 KB at the first one, and takes 2 seconds at the other
    When one client sends it
    Then the gateway holds 200 KB more meanwhile, and nothing of it afterwards

  Scenario Outline: A crowd at the <listener> listener leaves room for others: <kind>
    Given a gateway with 100 MB and 200 descriptors, in front of a plain replica
    When its <listener> listener gets 300 clients that send <kind>
    Then its health check and its metrics are answered while they stay
    And an ordinary request is answered while they stay, and one after they left
    And the gateway lives, with at most 100 MB and 200 descriptors

    Examples:
      | listener | kind              |
      | ready    | idle connections  |
      | ready    | unfinished bodies |
      | metrics  | idle connections  |
      | metrics  | header line       |

  Scenario Outline: A crowd does not exceed the memory of a gateway that carries for another: <kind>
    Given 2 gateways with 100 MB and 600 descriptors, the first of them cut from the replicas
    And the replica takes 3 seconds for each request of the crowd, and answers with <size> MB
    When 100 clients send <kind>
    Then an ordinary request at the second one is answered while they stay, and later
    And both live, with at most 100 MB and 600 descriptors

    Examples:
      | kind         | size |
      | whole bodies | 0    |
      | slow readers | 8    |
