@at-most-once
Feature: Requests that must not be repeated run at most once (P7)

  Scenario Outline: the daemon is killed <phase>, and the caller sends the order again at once
    Given the paint orders of a fleet with 2 daemons
    When a paint order reaches the phase "<phase>" and its daemon is killed
    And the paint order is sent again to daemon 2 at once
    Then the paint orders were answered "connection broken; <again>"
    And the paint order had <effects> effect

    Examples:
      | phase              | again                     | effects |
      | before the intent  | 200                       | 1       |
      | after the intent   | outcome_unknown (unknown) | 0       |
      | after the dispatch | outcome_unknown (unknown) | 1       |
      | before the answer  | 200 replayed              | 1       |

  Scenario Outline: the daemon is killed <phase>, and the caller sends the order again late
    Given the paint orders of a fleet with 3 daemons
    When a paint order reaches the phase "<phase>" and its daemon is killed
    And the paint order is sent again to daemon 3 after the dead daemon was removed
    Then the paint orders were answered "connection broken; <again>"
    And the paint order had <effects> effect

    Examples:
      | phase              | again                     | effects |
      | after the intent   | outcome_unknown (unknown) | 0       |
      | after the dispatch | outcome_unknown (unknown) | 1       |

  Scenario Outline: <copies> copies of an order arrive at the same instant while the yard takes <yard> ms
    Given the paint orders of a fleet with 2 daemons
    And the paint orders take <yard> ms at the yard
    When <copies> copies of a paint order are sent to all daemons at once
    Then one paint order was answered "200" and the others "200 replayed"
    And the paint order had 1 effect

    Examples:
      | copies | yard |
      | 2      | 0    |
      | 12     | 0    |
      | 12     | 400  |

  Scenario Outline: the log fails at the <record> with "<fault>", and the order is sent again
    Given the paint orders of a fleet with 2 daemons
    When a paint order is sent to daemon 1 while the log's append of the <record> fails with "<fault>" of <ms> ms
    And the paint order is sent again to daemon 2 when the first was answered and the log works again
    Then the paint orders were answered "<first>; <again>"
    And the paint order had 1 effect

    Examples:
      | record  | fault       | ms   | first                     | again        |
      | intent  | lost-answer | 0    | 200                       | 200 replayed |
      | intent  | delay       | 500  | 200                       | 200 replayed |
      | intent  | delay       | 1500 | log_unavailable (not run) | 200          |
      | intent  | delay       | 5000 | log_unavailable (not run) | 200          |
      | intent  | unavailable | 0    | log_unavailable (not run) | 200          |
      | intent  | silent      | 0    | log_unavailable (not run) | 200          |
      | intent  | reset       | 0    | log_unavailable (not run) | 200          |
      | outcome | lost-answer | 0    | 200                       | 200 replayed |
      | outcome | delay       | 500  | 200                       | 200 replayed |
      | outcome | unavailable | 0    | 200                       | 200 replayed |
      | outcome | reset       | 0    | 200                       | 200 replayed |
      | outcome | silent      | 0    | 200                       | 200 replayed |

  Scenario: the log is out when the order comes, and the order is sent again afterwards
    Given the paint orders of a fleet with 2 daemons
    When the log of the paint orders is out
    And the paint order is sent again to daemon 1 at once
    And the paint order is sent again to daemon 2 at once
    And the paint order is sent again to daemon 2 when the first was answered and the log works again
    Then the paint orders were answered "log_unavailable (not run); log_unavailable (not run); 200"
    And the paint order had 1 effect

  Scenario: an append that the network held back reaches the log after the intent was given up
    Given the paint orders of a fleet with 2 daemons
    When a paint order is sent to daemon 1 whose append arrives after its abandonment
    And the paint order is sent again to daemon 2 at once
    Then the paint orders were answered "log_unavailable (not run); 200"
    And the paint order had 1 effect

  Scenario Outline: the daemon is frozen <phase>, and resumed after the intent's deadline
    Given the paint orders of a fleet with 2 daemons
    When a paint order reaches the phase "<phase>" and its daemon is frozen past the intent's deadline
    And the paint order is sent again to daemon 2 <when>
    Then the paint orders were answered "<first>; <again>"
    And the paint order had <effects> effect

    Examples:
      | phase              | when                              | first                     | again                     | effects |
      | after the intent   | when the frozen daemon is resumed | log_unavailable (not run) | 200                       | 1       |
      | after the intent   | before the daemon is resumed      | log_unavailable (not run) | outcome_unknown (unknown) | 0       |
      | after the dispatch | when the frozen daemon is resumed | server_timeout (unknown)  | outcome_unknown (unknown) | 1       |

  Scenario Outline: a yard server fails with "<fault>"
    Given the paint orders of a fleet with 2 daemons
    When a paint order is sent to daemon 1 while the yard servers fail with "<fault>"
    And the paint order is sent again to daemon 2 when the first was answered and the yard works again
    Then the paint orders were answered "<first>; <again>"
    And the paint order had <effects> effect

    Examples:
      | fault       | first                    | again                     | effects |
      | silent      | server_timeout (unknown) | outcome_unknown (unknown) | 0       |
      | delay       | server_timeout (unknown) | outcome_unknown (unknown) | 1       |
      | reset       | server_failed (unknown)  | outcome_unknown (unknown) | 0       |
      | lost-answer | server_failed (unknown)  | outcome_unknown (unknown) | 1       |
      | unavailable | 503                      | 503 replayed              | 0       |
      | refused     | no_server (not run)      | no_server (not run)       | 0       |
      | one refused | 200                      | 200 replayed              | 1       |

  Scenario: the key is used again with another body
    Given the paint orders of a fleet with 2 daemons
    When the paint order is sent again to daemon 1 at once
    And the paint order is sent to daemon 2 with another body
    And the paint order is sent again to daemon 2 at once
    Then the paint orders were answered "200; idempotency_key_reused (not run); 200 replayed"
    And the paint order had 1 effect

  Scenario: the key is older than the window
    Given the paint orders of a fleet with 2 daemons and a window of 2500 ms
    When the paint order is sent again to daemon 1 at once
    And the paint order is sent again to daemon 2 when its key is older than the window
    And the paint order is sent again to daemon 1 at once
    Then the paint orders were answered "200; idempotency_key_expired (unknown); idempotency_key_expired (unknown)"
    And the paint order had 1 effect
