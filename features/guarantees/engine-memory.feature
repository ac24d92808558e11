Feature: Engine memory of requests that are gone
  Guards P1: an engine that keeps the memory of a request that no longer exists turns live requests
  away. The bound is 10 s, and no request of another daemon may be cancelled on the way.

  Scenario Outline: a client that cancels while its request is <phase> leaves nothing behind
    Given an engine-memory fleet of 2 daemons where requests stay <phase>
    And engine-memory streams of 120 tokens at the other daemons from the 2. on
    And an engine-memory visit that has come that far at daemon 1
    When the engine-memory client of that visit cancels
    Then the engine-memory records show no hold of a visit within 10 s
    And every engine-memory stream is whole and uncancelled
    And no engine-memory visit comes back

    Examples:
      | phase       |
      | queued      |
      | reserving   |
      | in prefill  |
      | in transfer |
      | in decode   |

  Scenario Outline: a daemon that is <event> while its request is <phase> leaves nothing behind
    Given an engine-memory fleet of 3 daemons where requests stay <phase>
    And engine-memory streams of 400 tokens at the other daemons from the 2. on
    And an engine-memory visit that has come that far at daemon 1
    When engine-memory daemon 1 is <event>
    Then the engine-memory records show no hold of a visit within 10 s
    And every engine-memory stream is whole and uncancelled
    And no engine-memory visit comes back

    Examples:
      | event  | phase       |
      | killed | queued      |
      | killed | reserving   |
      | killed | in prefill  |
      | killed | in transfer |
      | killed | in decode   |
      | frozen | queued      |
      | frozen | reserving   |
      | frozen | in prefill  |
      | frozen | in transfer |
      | frozen | in decode   |
