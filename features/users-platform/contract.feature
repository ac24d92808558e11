Feature: Contract with the users' platform

  Scenario Outline: an answer of a server is verified by id, signature, length and end
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
      | not run, without an id | broken |
      | not run, for another request | broken |
      | another server          | gone      |
      | a closed connection     | broken    |
      | a reset                 | broken    |
      | bytes that are no HTTP  | broken    |
      | a body that is cut      | cut       |
      | no length, then the end | whole     |
      | no length, then a reset | cut       |
      | no listener             | unsent    |
      | its own failure         | whole 500 |

  # Guards against an answer without a length whose server resets its connection right after some data:
  # Node reports the end of such a connection, and no error.
  Scenario: an answer without a length that the server resets at once is not taken for whole
    Given a platform server that answers with "no length, with a reset at once"
    When 50 requests are sent to the platform server at once
    Then no platform call ends as "whole"

  # Guards against the same with resets that arrive with the data, between it, and after it.
  Scenario: an answer without a length is not taken for whole, whenever the server resets it
    Given a platform server in a process of its own that resets answers without a length
    When 600 requests are sent to the resetting platform server, with resets after 0 to 6 ms
    Then no platform call ends as "whole"

  # Guards against a process that ends by itself because a server's connection ends while the caller of
  # an answer without a length reads more slowly than the server sends.
  Scenario Outline: an answer without a length that <ends> reaches a slow reader as <outcome>
    When answers without a length of 16 to 400 kB that <end> are read slowly from the platform server
    Then the platform calls all end as "<outcome>"

    Examples:
      | ends        | end        | outcome |
      | is complete | end        | whole   |
      | is reset    | are reset  | cut     |

  # Guards against the loss of a whole answer that is in the buffers of its connection when a reset arrives.
  Scenario: a whole answer with a length reaches a slow reader, whatever follows it
    When whole answers with a length of 8 to 200 kB are read slowly from the platform server, which resets them afterwards
    Then the platform calls all end as "whole"

  # Guards against requests to servers that say in their answers that they leave, and nowhere else.
  Scenario Outline: a server that sends <answer> <leaves> known to leave
    Given a platform server that answers with "<answer>"
    When a request is sent to the platform server
    Then the platform call ends as "<outcome>"
    And the platform server <leaves> known to leave

    Examples:
      | answer                      | outcome   | leaves |
      | a whole answer, leaving     | whole     | is     |
      | its own failure, leaving    | whole 500 | is     |
      | not run, leaving            | not-run   | is     |
      | another server, leaving     | gone      | is not |
      | a whole answer, not leaving | whole     | is not |

  # Guards against more requests to a server than it takes from all VMs together.
  Scenario Outline: the limit of a server that sends <answer> is <limit>
    Given a platform server that answers with "<answer>"
    When a request is sent to the platform server
    Then the platform call ends as "<outcome>"
    And the platform server's limit is <limit>

    Examples:
      | answer                     | outcome   | limit    |
      | a whole answer, limit 2.5  | whole     | 2.5      |
      | a whole answer, limit 0    | whole     | 0        |
      | a whole answer, limit few  | whole     | none     |
      | a whole answer             | whole     | none     |
      | its own failure, limit 2.5 | whole 500 | 2.5      |
      | not run, limit 2.5         | not-run   | 2.5      |
      | another server, limit 2.5  | gone      | not said |

  # Guards against requests to a server that has asked for quiet, and against quiet that no server asked for.
  Scenario Outline: a platform server answers "<answer>" and wants nothing for <ms> ms
    Given a platform server that answers with "<answer>"
    When a request is sent to the platform server
    Then the platform server wants nothing for <ms> ms

    Examples:
      | answer                     | ms   |
      | not run, quiet 1.5         | 1500 |
      | not run, quiet soon        | 0    |
      | its own failure, quiet 1.5 | 0    |

  Scenario: cold servers are read from entries and from the configuration
    Then the platform entry {"service":"s","address":"10.0.0.1:80","slots":1,"state":"ready","coldLeftMs":900} yields a server that is cold for 900 ms
    And the platform entry {"service":"s","address":"10.0.0.1:80","slots":1,"state":"ready","coldLeftMs":"x"} yields a server that is cold for undefined ms
    And the platform service {"name":"s","coldS":3,"coldPerS":33} takes 33 requests a second for 3000 ms after a start
    And the platform service {"name":"s","coldS":0,"coldPerS":0} takes undefined requests a second for undefined ms after a start

  # Guards against a server that stops in the middle of its answer, whose caller gets an empty or short
  # body that looks whole.
  Scenario Outline: an answer <framing> that ends at any of its bytes is not taken for whole
    When platform answers <framing> end at each of their bytes
    Then no platform call ends as whole

    Examples:
      | framing                                    |
      | with a length                              |
      | with a length of zero                      |
      | with a length, on a connection that closes |
      | in chunks                                  |
      | after an interim answer                    |
      | after an interim answer that closes        |
      | without content                            |

  Scenario Outline: an answer <framing> whose head ends at any of its bytes is not taken for whole
    When platform answers <framing> end at each byte of their heads
    Then no platform call ends as whole

    Examples:
      | framing          |
      | without a length |
      | of HTTP/1.0      |

  # Guards against answers that end with their connection, which the operating system closes in the ordinary
  # way when the router is killed, and against chunks for callers that do not know them.
  Scenario Outline: the router marks the end of an answer by itself where its caller's version of HTTP allows it
    When a caller of HTTP/<version> gets an answer <length> a length that <arrives>
    Then the caller sees it <seen>

    Examples:
      | version | length  | arrives          | seen                                         |
      | 1.1     | with    | is whole         | with its length                              |
      | 1.1     | with    | arrives in parts | with its length                              |
      | 1.1     | without | is whole         | with its length                              |
      | 1.1     | without | arrives in parts | in chunks, with the last one                 |
      | 1.1     | without | is cut           | in chunks, without the last one, and a reset |
      | 1.0     | with    | is whole         | with its length                              |
      | 1.0     | without | is whole         | with its length                              |
      | 1.0     | without | arrives in parts | without framing                              |
      | 1.0     | without | is cut           | without framing, and a reset                 |

  # Guards requests that may run only once: on an open connection that the server has lost they end with
  # an unknown outcome, whereas a new connection is refused before anything is sent.
  Scenario: open connections to a server are not used once the server is known to be down
    Given a platform server that answers with "a whole answer"
    When 3 requests are sent to the platform server at once
    And the platform server goes down and 3 requests are sent to it after its failure is known
    Then the platform calls end as "unsent, unsent, unsent"

  Scenario: a second answer on a connection belongs to no request
    Given a platform server that answers with "a second answer"
    When a request is sent to the platform server
    And a request is sent to the platform server
    Then no platform call ends with an answer of another request

  Scenario: headers that only the router may set are not forwarded from a caller
    When a caller's headers "Kv-Hold: x, Tenant: other, Stage: decode, Pin-Ms: 5, Authorization: Bearer k, Model: m, Attempt-Id: 1, Connection: X-Own, X-Own: y" are forwarded to a platform server
    Then the platform server receives the headers "Model, Attempt-Id"

  Scenario: a caller cannot have the headers removed that identify the request
    When a caller's headers "Connection: Attempt-Id, Model: m, Attempt-Id: 1" are forwarded to a platform server
    Then the platform server receives the headers "Model, Attempt-Id"

  Scenario Outline: an invalid entry of another writer yields no server
    Then the platform entry <entry> yields no server

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
      | {"service":"s","address":"10.0.0.1:99999","slots":4,"state":"ready"}                   |
      | {"service":"s","address":"10.0.0.1:0","slots":4,"state":"ready"}                       |
      | {"service":"s","address":"10.0.0.999:80","slots":4,"state":"ready"}                    |
      | {"service":"s","address":"a b:80","slots":4,"state":"ready"}                           |
      | {"service":"s","address":"10.0.0.1:80","slots":1e400,"state":"ready"}                  |
      | {"service":"s","address":"10.0.0.1:80","slots":1e300,"state":"ready"}                  |
      | {"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready","born":1e300}         |

  # Guards against a process that ends, or no longer follows the entries, because of one odd entry.
  Scenario: a deeply nested entry of another writer yields no server
    Then a platform entry that is nested 1000000 levels deep yields no server

  Scenario Outline: a request to <address> fails as not sent
    Given a platform server that answers with "no listener"
    When a request is sent to the platform server with the address "<address>"
    Then the platform call ends as "unsent"

    Examples:
      | address       |
      | 10.0.0.1:99999 |
      | a b:80        |

  Scenario: a configuration with invalid parts keeps the valid ones
    When the platform configuration has a route without a host, a route of an unknown kind and a team without a name
    Then the platform configuration keeps 1 route and 1 team, and reports 2 skipped parts

  Scenario: a configuration that is not JSON is rejected with a reason
    Then the platform configuration "{" is rejected

  Scenario: rejected settings name each invalid field
    When the platform settings lack the zone and have a port as text
    Then the platform settings are rejected because of "zone" and "portRange.0"

  Scenario: a truncated page of the log is not accepted as complete
    Then a platform page of 3 records is decoded, and none that is truncated within a record is

  Scenario: the complete path of requests on the stand-ins of the platform
    Given a platform with a store, 1 prefill engine, 2 decode engines and 1 plain server
    And a router on the platform
    When a caller sends the platform's router a plan, an order and an order with an unknown key
    Then the plan was prefilled by the prefill engine and answered completely by a decode engine
    And the order ran once and the one with the unknown key was answered with 401
    And the router's log explains the plan by its id
    When the platform's plain server announces that it is leaving
    Then the platform's router refuses an order within 2000 ms without running it
    When the platform's store is unavailable and the router gets another plan
    Then the plan was prefilled by the prefill engine and answered completely by a decode engine

  # Guards against requests to servers that announce nothing in the store, or while it is out.
  Scenario Outline: servers that say in their answers that they leave get no new requests, <state> (pattern: servers leave while the store is out)
    Given a platform with a store, 1 prefill engine, 3 decode engines and 3 plain servers
    And a router on the platform
    When <change>
    And a platform engine and a plain server say in their answers that they leave
    And a caller sends the platform's router 30 orders and 15 plans
    Then the platform's leaving servers got at most 1 run each
    And the other orders and plans were answered by the other servers

    Examples:
      | state                     | change                                     |
      | the store is there        | the platform's store is available          |
      | the store is out          | the platform's store is not available      |

  # Guards against VMs that get a large configuration late because all of them fetch it from the first one
  # that has it, over a link that cannot carry it to all of them before they give up.
  Scenario: VMs of a fleet fetch a configuration that grew by many routes at once (pattern: big configuration)
    Given a platform VM that knows a configuration of 1104 routes
    When 22 other platform VMs fetch its state at once
    Then every platform VM has got this configuration
    And a link of 10 Mbit/s carries the platform state in 800 ms
