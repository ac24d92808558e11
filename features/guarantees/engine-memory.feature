Feature: Engine memory of requests that are gone
  Guards P1: an engine that keeps the memory of a request that no longer exists rejects live
  requests. The memory must be released within 10 s, without cancelling a request of another daemon.

  # The observer of an engine acts after 3 s at the earliest, so only the cancel order of the
  # request's own daemon can release within 2 s, which is the deadline of one call to an engine.
  Scenario Outline: a client that cancels while its request is <phase> leaves nothing behind
    Given an engine-memory fleet of 2 daemons where requests stay <phase>
    And engine-memory streams of 120 tokens at all daemons from the 2. on
    And an engine-memory visitor request in that phase at daemon 1
    When the engine-memory client of that visitor request cancels
    Then the engine-memory records show no hold of a visitor request within 2 s
    And every engine-memory stream is whole and uncancelled
    And no engine-memory visitor request runs again

    Examples:
      | phase       |
      | queued      |
      | reserving   |
      | in prefill  |
      | in transfer |
      | in decode   |

  Scenario Outline: a daemon that is <event> while its request is <phase> leaves nothing behind
    Given an engine-memory fleet of 3 daemons where requests stay <phase>
    And engine-memory streams of 400 tokens at all daemons from the 2. on
    And an engine-memory visitor request in that phase at daemon 1
    When engine-memory daemon 1 is <event>
    Then the engine-memory records show no hold of a visitor request within 10 s
    And every engine-memory stream is whole and uncancelled
    And no engine-memory visitor request runs again

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

  Scenario Outline: a cancel order that meets <kind> is repeated until the engine has taken it
    Given an engine-memory fleet of 2 daemons where requests stay in decode
    And engine-memory streams of 120 tokens at all daemons from the 2. on
    And an engine-memory visitor request in that phase at daemon 1
    When the engine-memory engine "decode-1" gets 2 faults of kind "<kind>" on "/v1/attempts"
    And the engine-memory client of that visitor request cancels
    Then the engine-memory records show no hold of a visitor request within <bound> s
    And every engine-memory stream is whole and uncancelled
    And no engine-memory visitor request runs again

    Examples:
      | kind   | bound |
      | reset  | 2     |
      | silent | 10    |

  Scenario: a transfer that stalls is released and run again
    Given an engine-memory fleet of 2 daemons where requests stay in decode
    And engine-memory streams of 120 tokens at all daemons from the 2. on
    When the engine-memory engine "prefill-1" gets 1 faults of kind "silent" on "/v1/export"
    And an engine-memory visitor request of 20 tokens is sent to daemon 1
    Then the engine-memory visitor request ends whole
    And the engine-memory records show no hold of a visitor request within 10 s
    And every engine-memory stream is whole and uncancelled

  Scenario: a reservation that outlasts its debit is given back and made again
    Given an engine-memory fleet of 2 daemons where requests stay in decode
    When the engine-memory engine "decode-1" gets 1 faults of kind "delay" on "/v1/reservations"
    And engine-memory streams of 20 tokens at all daemons from the 2. on
    Then every engine-memory stream is whole and uncancelled

  Scenario: two daemons that go away at once, one killed and one frozen, leave nothing behind
    Given an engine-memory fleet of 5 daemons where requests stay in decode
    And engine-memory streams of 400 tokens at all daemons from the 3. on
    And an engine-memory visitor request in that phase at daemon 1
    And an engine-memory visitor request in that phase at daemon 2
    When engine-memory daemon 1 is killed
    And engine-memory daemon 2 is frozen
    Then the engine-memory records show no hold of a visitor request within 10 s
    And every engine-memory stream is whole and uncancelled

  Scenario: an engine that restarts keeps nothing of a request that ran on it
    Given an engine-memory fleet of 2 daemons where requests stay in decode
    And an engine-memory visitor request in that phase at daemon 1
    When the engine-memory engine "decode-1" restarts
    Then the engine-memory visitor request ends with an error event
    And the engine-memory records show no hold of a visitor request within 10 s
