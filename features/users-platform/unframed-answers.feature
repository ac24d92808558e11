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
