Feature: Every promise under every fault
  The daemon's own decisions over fakes at the interfaces, in modelled time,
  so the verdict is the same on every run. Each cell injects one fault, once
  or twice, at one step, heals it, and then checks what must always hold.

  Scenario: Every fault at every step of a request's life
    When every fault of the requests matrix is injected at every step
    Then every cell holds, of at least 200

  Scenario: Every fault, and every pair of faults, at every step of control
    When every fault of the control matrix is injected at every step
    Then every cell holds, of at least 250
