Feature: Adapters of the platform

  Scenario: appended records are read in order with their offsets
    Given the platform log runs with ""
    When the platform adapter appends "a, b"
    Then the platform adapter got the offset 1
    When the platform adapter appends "c"
    Then the platform adapter got the offset 3
    And the platform adapter reads from 2 the records "2 b, 3 c"

  Scenario Outline: an append that meets <fault> ends as <reason>
    Given the platform log runs with ""
    And the platform log has the fault "<fault>"
    When the platform adapter appends "a"
    Then the platform adapter failed with "<reason>"
    And the platform log holds "<stored>"

    Examples:
      | fault       | reason      | stored |
      | unavailable | unavailable |        |
      | silent      | unknown     |        |
      | reset       | unknown     |        |
      | lost-answer | unknown     | a      |
      | delay       | unknown     | a      |

  Scenario Outline: a read that meets <fault> ends as unavailable
    Given the platform log runs with ""
    And the platform log has the fault "<fault>"
    When the platform adapter reads once
    Then the platform adapter failed with "unavailable"
    And the platform adapter took between <least> and <most> ms

    Examples:
      | fault       | least | most |
      | unavailable | 0     | 380  |
      | silent      | 380   | 900  |
      | reset       | 0     | 380  |
      | lost-answer | 0     | 380  |
      | delay       | 380   | 900  |

  Scenario: an append above the rate is throttled
    Given the platform log runs with "--appends-per-second 0"
    When the platform adapter appends "a"
    Then the platform adapter failed with "throttled"

  Scenario: an append to a log that does not run had no effect
    Given the platform log runs with ""
    When the platform log is killed
    And the platform adapter appends "a"
    Then the platform adapter failed with "unavailable"

  Scenario: an append to a frozen log is unknown and takes effect later
    Given the platform log runs with ""
    When the platform adapter appends "a"
    And the platform log is frozen while the platform adapter appends "b"
    Then the platform adapter failed with "unknown"
    And the platform log holds "a, b" eventually

  Scenario Outline: an append on a used connection that became <state> ends as unknown
    Given the platform log runs with "" behind a relay
    When the platform adapter appends "a"
    And the platform relay becomes <state>
    And the platform adapter appends "b"
    Then the platform adapter failed with "unknown"

    Examples:
      | state   |
      | silent  |
      | one-way |
      | cut     |

  Scenario Outline: the adapter works again when a <state> network has healed
    Given the platform log runs with "" behind a relay
    When the platform adapter appends "a"
    And the platform relay becomes <state>
    And the platform adapter appends "b"
    And the platform relay becomes healthy
    Then the platform log holds "<stored>" eventually
    When the platform adapter appends "c"
    Then the platform adapter got the offset <offset>

    Examples:
      | state  | stored | offset |
      | silent | a, b   | 3      |
      | cut    | a      | 2      |

  Scenario: the adapter reaches a log that was restarted on its port
    Given the platform log runs with ""
    When the platform adapter appends "a"
    And the platform log is restarted
    And the platform adapter appends "b"
    Then the platform adapter got the offset 1

  Scenario: an open connection that went silent is not reused
    Given the platform log runs with "" behind a relay
    When the platform adapter appends "a"
    And the platform relay becomes silent-open
    And the platform adapter appends "b"
    Then the platform adapter failed with "unknown"
    When the platform adapter appends "c"
    Then the platform adapter got the offset 2

  Scenario: a read whose body stops halfway ends at its deadline
    Given the platform server sends half a body
    When the platform adapter reads once
    Then the platform adapter failed with "unavailable"
    And the platform adapter took between 380 and 900 ms

  Scenario Outline: a malformed answer to <call> ends as <reason>
    Given the platform server answers '{"firstOffset":"one","records":7}'
    When the platform adapter makes the call <call>
    Then the platform adapter failed with "<reason>"

    Examples:
      | call   | reason      |
      | append | unknown     |
      | read   | unavailable |

  Scenario: reads switch to the next URL after a failure
    Given the platform log runs with "" and the first URL of the platform adapter is unreachable
    When the platform adapter reads once
    Then the platform adapter failed with "unavailable"
    And the platform adapter reads from 1 the records ""

  Scenario: appends switch to the next URL after one that was refused
    Given the platform log runs with "" and the first URL of the platform adapter is unreachable
    When the platform adapter appends "a"
    Then the platform adapter failed with "unavailable"
    When the platform adapter appends "a"
    Then the platform adapter got the offset 1

  Scenario: appends keep the URL after an unknown result
    Given the platform log runs with "" and its replica is the second URL of the platform adapter
    And the platform log has the fault "lost-answer" on its main listener
    When the platform adapter appends "a"
    Then the platform adapter failed with "unknown"
    When the platform adapter appends "b"
    Then the platform adapter failed with "unknown"

  Scenario: a long poll ends when its signal is aborted
    Given the platform log runs with ""
    When the platform adapter polls for 5000 ms and is aborted after 100 ms
    Then the platform adapter failed with "unavailable"
    And the platform adapter took between 90 and 600 ms

  Scenario: a long poll may take longer than the timeout of an answer
    Given the platform log runs with ""
    When the platform adapter polls for 700 ms
    Then the platform adapter read a page
    And the platform adapter took between 690 and 1300 ms

  Scenario: stopping the adapter ends its calls
    Given the platform log runs with ""
    When the platform adapter polls for 5000 ms and is stopped after 100 ms
    Then the platform adapter failed with "unavailable"
    And the platform adapter took between 90 and 600 ms

  Scenario: the VM list adapter follows changes and keeps the last list through an outage
    Given the platform VM list shows "vm-1"
    Then the platform VM list adapter has the current list "vm-1"
    When the platform VM list changes to "vm-1, vm-2"
    Then the platform VM list adapter has the current list "vm-1, vm-2"
    And the platform VM list adapter saw the lists "vm-1; vm-1, vm-2"
    When the platform VM list fails
    Then the platform VM list adapter keeps the current list "vm-1, vm-2" for 200 ms

  Scenario: the VM list adapter has no list before the first answer
    Given the platform VM list is silent
    Then the platform VM list adapter keeps the current list "none" for 200 ms
    And the platform VM list adapter stops within 300 ms

  Scenario: the weight store adapter finds the size without a download
    Given the platform weight store has "m/1=50000000" at 1000 bytes per second
    When the platform adapter looks up the weights "m" in version "1"
    Then the platform adapter found 50000000 bytes
    And the platform weight store has no download eventually

  Scenario Outline: a lookup of weights that are <case> fails
    Given the platform weight store has "m/1=10" at 1000 bytes per second
    And the platform weight store has the fault '<fault>'
    When the platform adapter looks up the weights "m" in version "<version>"
    Then the platform adapter did not find the weights

    Examples:
      | case        | version | fault                                 |
      | missing     | 2       | {"kind":"delay","delayMs":0}          |
      | unavailable | 1       | {"kind":"unavailable"}                |
      | silent      | 1       | {"kind":"silent"}                     |
      | cut off     | 1       | {"kind":"reset"}                      |
