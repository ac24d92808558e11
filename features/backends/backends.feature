Feature: HTTP clients of backend servers

  Scenario Outline: an engine's <call> answers <reason> on <fault>
    Given a backends engine with the fault "<fault>" on "<call>"
    When backends call "<call>" on the engine
    Then the backends call fails with "<reason>"
    And the next backends call "<call>" succeeds

    Examples:
      | call         | fault        | reason   |
      | reservations | busy         | busy     |
      | reservations | reset        | broken   |
      | reservations | lost         | broken   |
      | reservations | silent       | silent   |
      | reservations | headers-only | silent   |
      | reservations | half-body    | broken   |
      | prefill      | crossed      | broken   |
      | prefill      | rejected     | rejected |
      | transfers    | expired      | gone     |
      | transfers    | silent       | silent   |
      | transfers    | crossed      | broken   |
      | load         | silent       | silent   |
      | cancel       | lost         | broken   |
      | cancel       | rejected     | rejected |

  Scenario: an engine that rejects the filter of holds is called again without it
    Given a backends engine with the fault "rejected" on "v1/holds?"
    Then the next backends call "holds" succeeds

  Scenario Outline: a decode stream with <fault> gives <events> and drops <dropped>
    Given a backends engine with the fault "<fault>" on "decode"
    When backends decode on the engine
    Then the backends stream was "<events>"
    And backends dropped <dropped> events

    Examples:
      | fault     | events                  | dropped |
      | none      | t0 t1 t2 t3 end         | 0       |
      | late      | t0 t1 t2 t3 end         | 1       |
      | crossed   | t0 t1 t2 t3 end         | 1       |
      | duplicate | t0 t1 t2 t3 end         | 4       |
      | gap       | t0 t1 failed:broken     | 0       |
      | cut       | t0 t1 failed:broken     | 0       |
      | no-end    | t0 t1 failed:broken     | 0       |
      | stall     | t0 t1 failed:silent     | 0       |
      | reset     | failed:broken           | 0       |
      | silent    | failed:silent           | 0       |
      | expired   | failed:gone             | 0       |

  Scenario: a stopped engine refuses and an aborted call is cancelled
    Given a backends engine with the fault "none" on "none"
    When backends call "reservations" with an aborted signal
    Then the backends call fails with "cancelled"
    When the backends engine stops and backends call "reservations"
    Then the backends call fails with "refused"

  Scenario: a silent connection is destroyed and not reused
    Given a backends engine with the fault "none" on "none"
    When backends make 20 calls, then one that stays silent, then 20 calls
    Then the backends engine saw the silent connection closed and at most 3 connections

  Scenario: the load header of a response is reported to routing
    Given a backends engine with the fault "none" on "none"
    When the backends engine reports "3,7,99,2,1,run2" and backends call "reservations"
    Then backends told routing 3 slots, 7 blocks, 99 tokens, draining and "run2"

  Scenario Outline: the load header "<header>" is ignored
    Then the backends load header "<header>" is malformed

    Examples:
      | header                |
      | 1,2,3,4,0             |
      | -1,2,3,4,0,run        |
      | x,2,3,4,0,run         |
      | 1,2,3,4,0,            |
      | 99999999999999,2,3,4,0,run |

  Scenario Outline: a plain service with <fault> gives <reason>, sent <sent>
    Given a backends plain service with the fault "<fault>"
    When backends send a plain request
    Then the backends plain call fails with "<reason>" and sent "<sent>"
    And the backends plain service got <requests> requests

    Examples:
      | fault        | reason  | sent  | requests |
      | refused      | refused | false | 0        |
      | reset        | broken  | true  | 1        |
      | reset-idle   | broken  | true  | 0        |
      | half-body    | broken  | true  | 1        |
      | headers-only | timeout | true  | 1        |
      | silent       | timeout | true  | 1        |
      | trickle      | timeout | true  | 1        |
      | too-large    | broken  | true  | 1        |

  # Guards against an answer without a length whose connection is reset and that is taken for whole.
  Scenario Outline: a plain answer without a length that ends by <fault> is not taken for whole
    Given a backends plain service with the fault "<fault>"
    When backends send a plain request
    Then the backends plain call fails with "broken" and sent "true"
    And the backends plain service got 1 requests

    Examples:
      | fault                |
      | unframed-reset       |
      | unframed-reset-later |

  Scenario Outline: a plain response is complete, reports draining, and the key is not forwarded: <fault>
    Given a backends plain service with the fault "<fault>"
    When backends send a plain request
    Then the backends plain response is 201 "done" and draining
    And the backends plain service saw no authorization header

    Examples:
      | fault    |
      | none     |
      | unframed |
