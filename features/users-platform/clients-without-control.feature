@alone
Feature: Clients without control at the router on the users' platform

  # Guards against requests of legal size that together take more memory than the machine has.
  Scenario Outline: <count> clients with <kind> at the <listener> listener
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router takes bodies of <bytes> bytes and gets answers of 800 bytes
    When a crowd of <count> clients with <kind> stops short of the end at the <listener> listener
    Then the crowded router answers an ordinary request
    And the crowded router is within the limits of its machine
    When the crowds at the crowded router have left
    Then the crowded router answers an ordinary request

    Examples:
      | count | kind                           | bytes   | listener  |
      | 600   | short header lines             | 65536   | callers   |
      | 600   | odd header lines               | 65536   | callers   |
      | 600   | odd header lines before a body | 65536   | callers   |
      | 80    | whole bodies                   | 4194304 | callers   |
      | 80    | bodies in pieces               | 4194304 | callers   |
      | 80    | large chunks                   | 4194304 | callers   |
      | 60    | chunks of one byte             | 400000  | callers   |
      | 1500  | short header lines             | 65536   | callers   |
      | 600   | odd header lines               | 65536   | readiness |
      | 600   | odd header lines               | 65536   | control   |
      | 600   | odd header lines               | 65536   | directory |
      | 600   | odd header lines               | 65536   | metrics   |
      | 60    | chunks of one byte             | 400000  | control   |
      | 300   | pipelined slow readers         | 65536   | metrics   |

  # Guards against answers that slow callers do not read and that fill the memory of the router.
  Scenario: 200 clients that do not read answers of 8 MB
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router takes bodies of 65536 bytes and gets answers of 8000000 bytes
    When a crowd of 200 clients with slow readers stops short of the end at the callers listener
    Then the crowded router answers an ordinary request
    And the crowded router is within the limits of its machine

  # Guards against pages for operators that nobody reads and that fill the memory of the router.
  Scenario: 20 clients that do not read the state of 5000 teams
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router knows 5000 teams
    When a crowd of 20 clients with pipelined slow readers stops short of the end at the control listener
    Then the crowded router answers an ordinary request
    And the crowded router is within the limits of its machine

  # Guards against limits for all clients together that refuse a single request of legal size.
  Scenario: a single request with as many header lines as fit
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router takes bodies of 65536 bytes and gets answers of 800 bytes
    Then the crowded router answers one request with 4000 header lines of 4 bytes

  # Guards against limits for all clients together that refuse a single body of legal size in small chunks.
  Scenario: a single body in chunks of one byte
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router takes bodies of 400000 bytes and gets answers of 800 bytes
    Then the crowded router answers one body of 400000 bytes in chunks of one byte

  # Guards against limits that hold for each kind of input alone, but not for all of them together.
  Scenario: clients of all kinds at the same time
    Given a crowded router on a machine of 200 MB and 1000 descriptors
    And the crowded router takes bodies of 2000000 bytes and gets answers of 800 bytes
    When crowds of 40 clients of each kind stop short of the end at the callers listener
    Then the crowded router answers an ordinary request
    And the crowded router is within the limits of its machine
