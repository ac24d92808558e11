Feature: Requests that are sent before the answers in front of them are complete

  # Guards against answers that lose their head or come under the head of another request (review/9).
  Scenario Outline: <first> and <second> on one connection are answered whole and in order
    Given a router whose servers take 600 ms for plain answers and for streams
    When a pipelining client sends <first>, <second>, <first> at once
    Then the pipelining client gets each answer whole, under its own head
    And each pipelined request has reached a server once

    Examples:
      | first    | second   |
      | an order | a stream |
      | a stream | an order |

  # Guards against a refusal that overtakes the answer in front of it, or is lost.
  Scenario: a refusal waits for the answer in front of it
    Given a router whose servers take 600 ms for plain answers and for streams
    When a pipelining client sends an order, a request without a route, an order at once
    Then the pipelining client gets the statuses 200, 404, 200

  # Guards against work for a caller that has left, and memory that is held until the process ends.
  Scenario: requests that wait when their connection closes never run
    Given a router whose servers take 600 ms for plain answers and for streams
    When 20 pipelining clients send an order, a stream, an order at once, and leave after 200 ms
    Then only the first request of each pipelining client has reached a server after 1500 ms
    And the router has as many connections as before

  # Guards against a number of waiting requests without bound.
  Scenario: a connection with too many waiting requests is closed, and other callers are served
    Given a router whose servers take 600 ms for plain answers and for streams
    When a pipelining client sends 40 orders at once
    Then the connection of the pipelining client is closed, and 1 order has reached a server
    And another client of the pipelining router gets its answer

  # Guards against responses that Node forgets when their connection closes: everything kept for them stays.
  Scenario: every response of a connection closes with it
    Given an HTTP server that never answers and tracks its open responses
    When a client sends it 5 requests at once and closes its connection
    Then the server has seen 5 responses close
