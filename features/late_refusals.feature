Feature: No answer of an earlier send passes for that of a later one
  A replica refuses a request, and sends that refusal once more when the request has been
  sent to it again. Guards against the copy being taken for the answer to the second send,
  which the replica runs: the request was run a second time elsewhere, or its caller was
  told that it had not run.

  Scenario Outline: Refusals <named> come once more, with <replicas> replicas
    Given a gateway in front of <replicas> plain replicas
    And each request is refused <refusals> times, by refusals <named> that come once more, of seed <seed>
    When 6 callers send 4 requests each
    Then each caller gets the answer to the last send of its request
    And no request ran twice, and none that was refused ran

    Examples:
      | named              | replicas | refusals | seed |
      | that bear its id   | 1        | 1        | 1    |
      | that bear its id   | 1        | 1        | 2    |
      | that bear its id   | 2        | 2        | 3    |
      | that bear no id    | 1        | 1        | 4    |

  Scenario: A caller uses the id of its last request again
    Given a gateway in front of 1 plain replicas
    And each answer comes once more when the next request was sent, of seed 5
    When a caller sends 10 requests of one id
    Then each gets the answer to its own send

  Scenario: A connection carries no more requests than it remembers
    Given a pool with a connection that has carried all requests that it remembers but one
    When it carries one more request
    Then it is closed, and the next request gets a new connection

  Scenario: A connection that has carried a request is kept for others
    Given a pool with a connection that has carried a request
    When another request and then that request again ask for a connection
    Then the other request gets it, and that request a new one
    And no more than one connection is kept when both are needed one after the other
