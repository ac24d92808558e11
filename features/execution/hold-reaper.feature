Feature: Release of orphaned holds

  Scenario Outline: a hold of <owner>, <age> ms old, is <result>
    Given a hold reaper that observes an engine alone
    When the hold reaper finds a hold of "<owner>" that is <age> ms old
    Then the hold reaper has "<result>" it

    Examples:
      | owner                        | age  | result   |
      | this VM, known               | 9000 | kept     |
      | this VM, unknown             | 9000 | released |
      | this VM, unknown             | 2000 | kept     |
      | this VM, old incarnation     | 10   | released |
      | a peer, known                | 9000 | kept     |
      | a peer, unknown              | 9000 | released |
      | a peer, unknown              | 2000 | kept     |
      | a peer, other incarnation    | 9000 | kept     |
      | a peer, unreachable          | 9000 | kept     |
      | a peer, fenced               | 10   | released |
      | a VM that is not a member    | 9000 | kept     |

  Scenario Outline: a minute of hold scans <circumstances> has <full> full scans
    Given a hold reaper that observes an engine alone
    When the hold reaper runs for a minute <circumstances>
    Then the hold reaper has asked for all holds <full> times
    And the hold reaper has otherwise asked for holds without a call for 3000 ms

    Examples:
      | circumstances      | full |
      | with a log         | 1    |
      | during log outage  | 30   |

  Scenario: holds of an incarnation that no longer runs are requested by its name
    Given a hold reaper that observes an engine alone
    When "vm2/i0" no longer runs and the hold reaper runs for a minute with a log
    Then the hold reaper has asked for the holds of "vm2/i0" 59 times
    And the hold reaper has asked for all holds 1 times

  Scenario: each engine has one observer among the members
    Then hold reapers of 8 VMs observe each of 100 engines exactly once

  Scenario: a scan at the design size takes no longer than the processor time for control in a second
    Then a hold reaper of 390 VMs selects its part of 1000 engines again within 23 ms

  Scenario: a peer is told which attempts are unknown on this VM
    Given a hold reaper that observes an engine alone
    Then the hold reaper answers a peer that attempt "lost" is unknown
