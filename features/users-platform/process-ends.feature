Feature: Answers without a length at the end of a process

  # Guards against answers that look complete although the router ended while it sent them: the operating
  # system closes the connections of a process in the ordinary way, which completes an answer without a length.
  Scenario Outline: answers without a length are reset when the router ends by <cause>
    Given a router with answers of 16000000 bytes without a length
    When 20 callers read unframed answers at 2000 kB/s and the router ends by <cause> after 700 ms
    Then none of the unframed answers looks complete and is truncated
    And the router's error names its time, its VM and 20 reset answers

    Examples:
      | cause                  |
      | an uncaught exception  |
      | an unhandled rejection |

  # Guards against answers that look complete although a stop ended them, with part of them still in the
  # buffers of the router.
  Scenario: answers without a length are reset when the grace period ends before they do
    Given a router with answers of 8000000 bytes without a length
    When 20 callers read unframed answers at 450 kB/s and the router is stopped after 700 ms
    Then none of the unframed answers looks complete and is truncated
    And the router's log says how many unframed answers were reset at the end of the stop

  # Guards against a stop that cuts answers for which it has time.
  Scenario: answers without a length are complete when the grace period is long enough for them
    Given a router with answers of 16000000 bytes without a length
    When 20 callers read unframed answers at 4000 kB/s and the router is stopped after 700 ms
    Then all unframed answers are whole

  # Guards against a stop that takes an answer for sent while part of it is in the buffers of the process.
  Scenario Outline: an answer in the buffers of a listener counts as unfinished, and <change>
    Given a listener with an unframed answer of 30000000 bytes in its buffers
    When <event>
    Then the unframed answer in the listener's buffers ends as "<end>"

    Examples:
      | change                   | event                                            | end        |
      | is whole when it is sent | the caller of the unframed answer reads on       | whole      |
      | is reset by a stop       | the listener with the unframed answer is stopped | broken off |

  # Guards against a head that leaves before its body, so that the end of the process comes between them.
  Scenario Outline: an answer of <bytes> bytes <framing> leaves the sink in one write
    When a caller's sink sends a complete answer of <bytes> bytes <framing>
    Then the sink's connection has got the answer in 1 write

    Examples:
      | bytes  | framing          |
      | 4800   | without a length |
      | 200000 | without a length |
      | 200000 | in chunks        |
      | 0      | without a length |

  # Guards against answers that are partly with the operating system when their router is killed.
  Scenario Outline: buffered answers of <bytes> bytes are sent at once, and none looks complete and is truncated when the router is killed
    Given answers of <bytes> bytes without a length that are sent to 40 callers at a time
    When 12 routers are killed while they send unframed answers, 0 to <spread> ms after the first begins
    Then none of the unframed answers looks complete and is truncated
    And some of the unframed answers are whole

    Examples:
      | bytes  | spread |
      | 4800   | 24     |
      | 200000 | 48     |

  # Guards against an answer that ends early and in the ordinary way because its caller has closed its own side.
  Scenario: an answer without a length is reset when its caller closes its side of the connection
    Given a listener with the begin of an unframed answer
    When the caller of the unframed answer has read the begin and closes its side
    Then the caller of the unframed answer sees a reset

  # Guards against answers that look complete in the middle: a router that passed an answer without a length
  # on without one left its end to the operating system, which closes the connections of a killed process in
  # the ordinary way (review/8).
  Scenario Outline: <answers> without a length are broken off when the router ends by <end>
    Given a router before servers that send <answers> without a length, piece by piece for 10 s
    When callers read answers in pieces, and the router ends by <end>
    Then all answers in pieces are broken off in the middle

    Examples:
      | answers          | end               |
      | short events     | a kill            |
      | short events     | an abort          |
      | short events     | the end of a stop |
      | long events      | a kill            |
      | halves of events | a kill            |
      | plain answers    | a kill            |
      | plain answers    | an abort          |

  # Guards against an end that the router marks too early or not at all.
  Scenario Outline: <answers> without a length are whole when no process ends
    Given a router before servers that send <answers> without a length, piece by piece for 3 s
    When callers read answers in pieces
    Then all answers in pieces are whole, byte for byte the servers'

    Examples:
      | answers          |
      | short events     |
      | halves of events |
      | plain answers    |
