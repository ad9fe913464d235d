Feature: A response that has begun is never followed by another one
  The first replica fails a request with an error response, which is held while another
  replica is tried. Guards against that response, or one of the gateway's own, being
  written into the response of the second replica when that one does not end.

  Scenario Outline: An error response is held, and the <kind> of the second replica <ends>
    Given a gateway in front of 2 replicas, the first to be asked fails, and the <kind> of the second <ends>
    When a caller sends a request that may take <deadline_s> seconds
    Then it gets the beginning of one response, and within <time_s> seconds its connection is closed
    And the gateway's log names "<by>" as the end of the request

    Examples:
      | kind   | ends                     | deadline_s | time_s | by       |
      | stream | is silent in the middle  | 5.0        | 3.0    | silence  |
      | stream | is silent in the middle  | 1.0        | 2.0    | deadline |
      | stream | breaks off in the middle | 5.0        | 2.0    | upstream |
      | body   | breaks off in the middle | 5.0        | 2.0    | upstream |
      | body   | is silent in the middle  | 1.0        | 2.0    | deadline |

  Scenario Outline: A caller's connection sends nothing out of order: <sent>
    Given a connection to a caller
    When <sent> is to be sent
    Then that is an error, and only what came before it was sent

    Examples:
      | sent                                   |
      | a response in the middle of another    |
      | a head in the middle of a response     |
      | a response behind another one          |
      | a body before a head                   |
      | a body behind a complete response      |
      | the end of a response, twice           |
      | events in a body                       |
      | a body in a stream                     |
      | events behind a complete response      |
      | more than the length of a body         |
      | a first part beyond the length         |
      | the end of a body before its length    |

  Scenario Outline: An application's response with <sent> is <received>
    Given an application that answers <method> with <sent>
    When its response is sent
    Then the caller receives <received>, and the connection <stays>

    Examples:
      | method | sent                         | received         | stays      |
      | GET    | a body as long as stated     | all of it        | stays open |
      | HEAD   | a body as long as stated     | its head         | stays open |
      | GET    | a body shorter than stated   | a part of it     | is closed  |
      | GET    | a body longer than stated    | an error         | is closed  |
      | GET    | a piece more than stated     | a part of it     | is closed  |

  Scenario: A request that cannot be read is answered behind a complete response
    Given a gateway in front of 2 plain replicas
    When a caller sends a request, and bytes that are none on the same connection
    Then it gets a complete response, and then status 400
