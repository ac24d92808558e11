Feature: Calls between peers

  Scenario: a call without a handler answers that it is not implemented
    Given a peer listener without handlers
    Then the peer call "confirmEpoch" fails with "unimplemented" within 1000 ms

  Scenario Outline: a peer that <fault> fails a call within its deadline
    Given a peer listener behind a relay
    When the peer relay <fault>
    Then the peer call "confirmEpoch" fails with "<code>" within 1500 ms

    Examples:
      | fault                     | code              |
      | goes silent               | unavailable |
      | refuses connections       | unavailable       |

  # Guards against entry addresses that list a dead VM until it is fenced.
  Scenario Outline: a peer that <fault> is unreachable until it answers
    Given a peer listener behind a relay
    Then the peer behind the relay counts as reachable
    When the peer relay <fault>
    Then the peer behind the relay counts as unreachable within 1500 ms
    When the peer relay works again
    Then the peer behind the relay counts as reachable within 1500 ms

    Examples:
      | fault               |
      | goes silent         |
      | refuses connections |

  Scenario: a silent connection is replaced while new ones work
    Given a peer listener behind a relay
    When the open connections of the peer relay go silent
    Then peer calls succeed again within 3000 ms

  Scenario: a peer that restarts during calls does not end the process of its caller
    Given a peer listener without handlers
    Then the peer listener restarts 20 times during calls and answers again

  Scenario: a message above the size limit is refused
    Given a peer listener behind a relay
    Then a peer request of 5 MiB fails with "resource_exhausted"

  Scenario: the streams of other modules are read from their sources
    Given a peer listener that serves the stream "things" with 250 records
    Then peers read 100 records of the stream "things" from offset 5
    And peers get a snapshot of the stream "things" at offset 250
    And peers are told that the stream "nothing" is not served

  Scenario Outline: decisions about a request with <last> are explained by a peer after their VM has died
    Given decision peers on 3 VMs in the zones "a,a,b"
    When the decision peer 0 decides "<steps>" for request "r1"
    Then the decision peer 1 explains request "r1" by "<steps>" within 3000 ms
    When the decision peer 0 stops after copying its decisions
    Then the decision peer 1 explains request "r1" by "<steps>" within 3000 ms
    And the decision peer 2 holds the copy of <count> decisions

    Examples:
      | last            | steps                                          | count |
      | a refusal       | refusal                                        | 1     |
      | a failed server | admission, decode-server, failure              | 3     |
      | a second round  | admission, decode-server, failure, prefill-server, outcome | 5     |
      | an unknown step | admission, another-step                        | 2     |

  # Ten requests a second are copied; unused copies accumulate for up to ten seconds.
  Scenario Outline: of <all> ordinary requests, <least> to <most> are explained after their VM has died
    Given decision peers on 3 VMs in the zones "a,a,b"
    When the decision peer 0 decides on <all> ordinary requests
    Then the decision peer 1 explains <all> to <all> of the ordinary requests
    When the decision peer 0 stops after copying its decisions
    Then the decision peer 1 explains <least> to <most> of the ordinary requests

    Examples:
      | all | least | most |
      | 100 | 100   | 100  |
      | 200 | 100   | 100  |

  Scenario: decisions that follow a failure are copied although earlier ones have been copied
    Given decision peers on 3 VMs in the zones "a,a,b"
    When the decision peer 0 decides "admission, failure" for request "r1"
    And the decision peer 0 decides "outcome" for request "r1" after copying its decisions
    And the decision peer 0 stops after copying its decisions
    Then the decision peer 1 explains request "r1" by "admission, failure, outcome" within 3000 ms

  Scenario: the ring of decisions keeps the newest 20000
    Given decision peers on 1 VMs in the zones "a"
    When the decision peer 0 decides 20001 times
    Then the decision peer 0 has evicted only the oldest decision
