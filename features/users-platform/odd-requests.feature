Feature: Odd requests to the router on the users' platform

  # Guards against a request whose target is no URL and that ends the process, with the answers of all callers.
  Scenario Outline: the target <target> is answered with <status> by the <listener> listener
    Given a platform with a store, 1 prefill engine, 1 decode engines and 1 plain server
    And a router on the platform
    When the odd target <target> is sent to the router's <listener> listener
    Then the odd request is answered with <status>
    And the odd requests have left the router running

    Examples:
      | target   | listener  | status |
      | //       | readiness | 400    |
      | //       | control   | 400    |
      | //       | directory | 400    |
      | //       | metrics   | 400    |
      | //       | callers   | 404    |
      | http://[ | directory | 400    |
      | http://[ | callers   | 400    |

  Scenario Outline: odd targets and headers to the <listener> listener leave the router running
    Given a platform with a store, 1 prefill engine, 1 decode engines and 1 plain server
    And a router on the platform
    When odd targets are sent to the router's <listener> listener
    Then the odd requests have left the router running
    When odd headers are sent to the router's <listener> listener
    Then the odd requests have left the router running

    Examples:
      | listener  |
      | callers   |
      | readiness |
      | control   |
      | directory |
      | metrics   |

  # Guards against a status page or a scrape that ends the process, with the answers of all callers.
  Scenario Outline: a handler that <fails> is answered with 500 and logged, and the listener goes on
    Given an odd listener whose handlers throw
    When the odd listener is asked for "/<fails>"
    Then the odd request is answered with 500
    And the odd listener has logged "the handler <fails>"
    When the odd listener is asked for "/works"
    Then the odd request is answered with 200

    Examples:
      | fails   |
      | throws  |
      | rejects |
