Feature: Claims on idempotency keys under faults of the log service
  A request that must run at most once is claimed in the log first. Guards against
  answers that blame another request although there is none, and against callers that
  wait without end.

  Scenario: A claim that the log accepts but never shows is unavailable
    Given a ledger on a log service that accepts claims and never shows them
    When a request claims a key
    Then the claim is reported as unavailable, and is released

  Scenario: A claim on a log service that does not answer ends after a limited time
    Given a ledger on a log service that does not answer
    When a request claims a key
    Then the claim is reported as unavailable, and is released

  Scenario: Claims in progress end when the ledger is closed
    Given a ledger on a log service that does not answer
    When a request claims a key, and the ledger is closed a moment later
    Then the claim is reported as unavailable, and is released
