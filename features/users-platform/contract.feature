Feature: Contract with the users' platform

  Scenario Outline: an answer of a server is told apart by id, signature, length and end
    Given a platform server that answers with "<answer>"
    When a request is sent to the platform server
    Then the platform call ends as "<outcome>"

    Examples:
      | answer                  | outcome   |
      | a whole answer          | whole     |
      | another request's id    | broken    |
      | no id                   | broken    |
      | no signature            | broken    |
      | an encoded body         | broken    |
      | not run                 | not-run   |
      | another server          | gone      |
      | a closed connection     | broken    |
      | a reset                 | broken    |
      | bytes that are no HTTP  | broken    |
      | a body that is cut      | cut       |
      | no length, then the end | whole     |
      | no length, then a reset | cut       |
      | no listener             | unsent    |
      | its own failure         | whole 500 |

  Scenario Outline: an answer whose end cannot be told from a cut is passed on without an end of its own
    When the platform's caller gets an answer <framing> that <ends>
    Then the platform's caller sees it <seen>

    Examples:
      | framing          | ends        | seen            |
      | with a length    | is complete | with its length |
      | without a length | is complete | without framing |
      | without a length | is cut      | reset           |

  # Guards requests that may run once only: on a connection that the server has lost they end with an
  # unknown outcome, while a new connection is refused before anything is sent.
  Scenario: open connections to a server that went down are not used after the news of it
    Given a platform server that answers with "a whole answer"
    When 3 requests are sent to the platform server at once
    And the platform server goes down and 3 requests are sent to it after the news
    Then the platform calls end as "unsent, unsent, unsent"

  Scenario: a second answer on a connection belongs to no request
    Given a platform server that answers with "a second answer"
    When a request is sent to the platform server
    And a request is sent to the platform server
    Then no platform call ends with an answer of another request

  Scenario: what only the router may set does not come from a caller
    When a caller's headers "Kv-Hold: x, Tenant: other, Stage: decode, Pin-Ms: 5, Authorization: Bearer k, Model: m, Attempt-Id: 1, Connection: X-Own, X-Own: y" go on to a platform server
    Then the platform server gets the headers "Model, Attempt-Id"

  Scenario: a caller cannot have the request's identity removed
    When a caller's headers "Connection: Attempt-Id, Model: m, Attempt-Id: 1" go on to a platform server
    Then the platform server gets the headers "Model, Attempt-Id"

  Scenario Outline: an entry of another writer names no server
    Then the platform entry <entry> names no server

    Examples:
      | entry                                                                                  |
      | {                                                                                      |
      | []                                                                                     |
      | {"service":"s","address":"10.0.0.1","slots":4,"state":"ready"}                         |
      | {"service":"s","address":"10.0.0.1:80","slots":"4","state":"ready"}                    |
      | {"service":"s","address":"10.0.0.1:80","slots":4,"state":"resting"}                    |
      | {"address":"10.0.0.1:80","slots":4,"state":"ready"}                                    |
      | {"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready","stage":"elsewhere"}  |
      | {"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready","born":"yesterday"}   |

  Scenario: a configuration with parts that cannot be read keeps the others
    When the platform configuration has a route without a host, a route of an unknown kind and a team without a name
    Then the platform configuration keeps 1 route and 1 team, and names 2 parts that were left out

  Scenario: a configuration that is no JSON is refused with a reason
    Then the platform configuration "{" is refused

  Scenario: settings name each wrong field
    When the platform settings lack the zone and have a port as text
    Then the platform settings are refused because of "zone" and "portRange.0"

  Scenario: a page of the log that is cut off is not taken for a whole one
    Then a platform page of 3 records is read whole, and no part of it is

  Scenario: the whole path on the stand-in of the platform
    Given a platform with a store, 1 prefill engine, 2 decode engines and 1 plain server
    And a router on the platform
    When a caller asks the platform's router for a plan, an order and an unknown key
    Then the plan was read by the prefill engine and answered whole by a decode engine
    And the order ran once and the unknown key got 401
    And the router's log explains the plan by its id
    When the platform's plain server says that it is leaving
    Then the platform's router refuses an order within 2000 ms, truthfully not run
    When the platform's store is out and the router gets an open plan
    Then the plan was read by the prefill engine and answered whole by a decode engine
