Feature: Faults of the router's own
  Whatever goes wrong unexpectedly, the caller is told what is true of its
  request, and a connection is never used after somebody closed it.

  Scenario: A fault before anything was sent is a refusal that has not run
    Given a router whose choice of an upstream fails unexpectedly
    When a caller's request is handled
    Then it is answered 503, to come back soon
    And the fault is logged with the request's id

  Scenario: A fault after something was sent promises nothing
    Given a router that fails unexpectedly after it has sent a request
    When a caller's request is handled
    Then it is answered 502
    And the fault is logged with the request's id

  Scenario: Idle connections are closed while a request looks for one
    Given 3 idle connections, the newest of them closed by the upstream
    When a request takes a connection while another one drops them all
    Then it gets an open connection that nobody closed

  Scenario: Another upstream answers at a listed address
    Given a gateway before 2 plain replicas
    When the address of replica p0 goes to another life
    And 20 requests are sent
    Then all are served, and at most 2 of them were sent to that address

  Scenario: A request that comes while idle connections are closed is answered
    Given a server that is stopping, with one idle connection
    When the idle connections are closed and a request begins before that is done
    Then the request is answered
    And the connection is closed once it is idle again

  Scenario: A request whose bytes were not read yet keeps its connection open
    Given a server that is stopping, with one idle connection
    When a request is sent and the idle connections are closed at once
    Then the request is answered
