Feature: Invariants hold under every injected fault
  The daemon's own code runs against fakes in modelled time, so the result is
  the same on every run. Each cell of the matrix injects one fault, once or
  twice, at one step, repairs it and then checks the invariants. Some cells of
  the control matrix inject a second fault.

  Scenario: Every fault at every step of a request
    When every fault of the requests matrix is injected at every step
    Then no cell violates an invariant, of at least 200

  Scenario: Every fault at every step of a rollout, and every pair of faults
    When every fault of the control matrix is injected at every step
    Then no cell violates an invariant, of at least 250
