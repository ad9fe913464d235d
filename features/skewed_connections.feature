Feature: Most new connections go to one gateway
  For some seconds the load balancer may hand most new connections of an availability
  zone to one gateway, while callers open new ones more often. What the gateway reads
  is served as before; what it can't serve it leaves unread, for the others.

  Scenario: A gateway gets more connections than it can serve
    Given 3 gateways with 0.3 of a processor each, in front of 2 fast replicas
    When callers send 60 a second to all for 5 seconds, then 220 a second for 10 seconds, 0.85 of them to the first
    Then of the first tries that the first gateway read at least 0.75 times as many were served as before
    And in the end at least 0.8 of all requests were served

  Scenario: Idle connections leave a gateway the descriptors that it needs to serve
    Given 3 gateways with 0.25 of a processor each, in front of 2 fast replicas
    When the first one may have 200 descriptors, and 400 connections to it stay idle
    And callers send 60 a second to all for 5 seconds, then 60 a second for 6 seconds, 0.85 of them to the first
    Then in the end at least 0.95 of all requests were served
    And no gateway failed to open a connection for want of descriptors
