Feature: No answer to an earlier call of the gateway itself passes for that to a later one
  Orders to engines and calls that move runs carry no id. Guards against an answer that
  comes once more, and late, being taken for the answer to the next call on its connection:
  an order that was refused counted as accepted, and a run got the handle of another.

  Scenario Outline: Answers to the gateway's own calls, <calls>, come once more
    Given an engine that sends each answer once more when it got the next call
    When 3 <calls> are sent to it, one after the other
    Then each has the outcome of its own call
    And each call had a connection of its own, which is closed

    Examples:
      | calls                        |
      | orders                       |
      | calls that move a run        |
      | orders to routers' engines   |
