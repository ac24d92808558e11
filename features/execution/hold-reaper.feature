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

  Scenario: each engine has one observer among the members
    Then hold reapers of 8 VMs observe each of 100 engines exactly once

  Scenario: a peer learns which of its attempts are unknown here
    Given a hold reaper that observes an engine alone
    Then the hold reaper answers a peer that attempt "lost" is unknown
