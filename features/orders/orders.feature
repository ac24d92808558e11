Feature: Orders to engines
  Guards against an order of a former commander that undoes a newer one, against orders that are
  lost when a daemon, an engine or an answer is lost, and against unnecessary repetitions of orders.

  Scenario: the rules of the command hold in arbitrary interleavings
    Then in 3000 arbitrary orders schedules no older fencing number takes effect after a newer one

  Scenario: an order that may no longer be sent writes no byte
    Then an orders engine client writes only what may be sent when its connection is open

  Scenario Outline: orders arrive after <event>
    Given an orders fleet whose engines have version 1
    When version 2 is wanted of the orders fleet during "<event>"
    Then version 2 arrives at the orders engines within <checking> s and <ignoring> s
    And no older orders fencing number took effect after a newer one
    And no order of one orders commander took effect more than <times> times

    Examples:
      | event                             | checking | ignoring | times |
      | no fault                          | 4        | 4        | 1     |
      | the commander killed              | 10       | 18       | 1     |
      | the commander frozen and resumed  | 10       | 18       | 1     |
      | the commander cut from the log    | 8        | 8        | 1     |
      | the engines cut off for 3 s       | 10       | 10       | 1     |
      | the engines' answers lost twice   | 12       | 12       | 3     |
      | the engines restarted             | 8        | 8        | 2     |
      | the weights missing for 3 s       | 10       | 10       | 1     |
