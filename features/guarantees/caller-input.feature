@caller-input
Feature: Malformed, slow and broken input of callers (P2, P6, P7)

  Scenario: malformed and slow input gets its stable code and has no effect
    Given the caller input of a fleet with 1 daemon
    When the caller input of each row is sent on a connection of its own:
      | input                     | status | code                    |
      | oversized headers         | 431    | headers_too_large       |
      | announced oversized body  | 413    | body_too_large          |
      | chunked oversized body    | 413    | body_too_large          |
      | slow body                 | 408    | request_timeout         |
      | slow headers              | 408    | request_timeout         |
      | malformed request line    | 400    | request_malformed       |
      | malformed chunk           | 400    | request_malformed       |
      | two framings              | 400    | request_malformed       |
      | wrong method              | 405    | method_not_allowed      |
      | dot segments              | 400    | request_malformed       |
      | encoded separator         | 400    | request_malformed       |
      | unknown route             | 404    | route_unknown           |
      | no idempotency key        | 400    | idempotency_key_missing |
      | malformed idempotency key | 400    | idempotency_key_invalid |
      | no key                    | 401    | key_missing             |
      | bad JSON                  | 400    | request_malformed       |
      | unknown model             | 404    | model_unknown           |
      | no prompt                 | 400    | request_malformed       |
      | negative length           | 400    | request_malformed       |
      | excessive length          | 400    | request_malformed       |
    Then the caller input of each row got one response with its status, its code, "not run" and a request id
    And the caller input had no effect at any server

  Scenario: malformed bytes that follow an order in progress are not answered in its place
    Given the caller input of a fleet with 1 daemon
    When the caller input is an order in progress followed by malformed bytes
    Then the caller input got no response that says "not run" for an order with an effect
    And the caller input sent again as a whole order is answered 200 with 1 effect

  Scenario: malformed bytes that follow a completion in progress do not become part of its answer
    Given the caller input of a fleet with 1 daemon
    When the caller input is a stream in progress followed by malformed bytes
    Then the caller input got one response

  Scenario Outline: the caller's connection is cut <place> of an order
    Given the caller input of a fleet with 1 daemon
    When the caller input is an order whose connection is cut <place>
    Then the caller input sent again as a whole order is answered 200 with 1 effect

    Examples:
      | place           |
      | before the body |
      | in the body     |
      | after the body  |
      | at the yard     |
