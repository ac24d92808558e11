Feature: Membership under faults

  Scenario: joined members hold leases and agree on the members
    Given a member fleet of 6 VMs
    Then all members agree on 6 members
    And the members "0,1,2,3,4,5" keep their leases for 5 s

  Scenario Outline: a member that <fault> cannot spend once it is removed
    Given a member fleet of 6 VMs
    When member 2 <fault>
    Then the log removes the first incarnation of member 2 as "fenced" within 30 s
    And the members "0,1,3,4,5" keep their leases for 2 s
    When member 2 <recovery>
    Then member 2 is a member again within 20 s <as>

    Examples:
      | fault                       | recovery                    | as                        |
      | dies                        | starts again                | with another incarnation  |
      | is paused                   | wakes without a lease       | with another incarnation  |
      | is suspended with its clock | wakes without a lease       | with another incarnation  |
      | is cut off from the rest    | is connected again          | with another incarnation  |

  Scenario: a partitioned member loses its lease before the others remove it
    Given a member fleet of 6 VMs
    When member 1 is cut off from the rest
    Then member 1 loses its lease within 5 s
    And the log removes the first incarnation of member 1 as "fenced" within 30 s

  Scenario: leases are kept and nobody is removed while the log is out
    Given a member fleet of 6 VMs
    When the membership log becomes unavailable
    Then the members "0,1,2,3,4,5" keep their leases for 10 s
    When member 4 dies
    Then members know that the first incarnation of member 4 has ended within 30 s
    And the log does not remove member 4
    When the membership log is available again
    Then the log removes the first incarnation of member 4 as "fenced" within 30 s

  Scenario: a daemon that starts in a log outage lists the members but does not join
    Given a member fleet of 5 VMs
    When the membership log becomes unavailable
    And member 5 starts
    Then member 5 lists 5 members within 10 s and is not one of them
    When the membership log is available again
    Then all members agree on 6 members

  Scenario Outline: a member that <event> is removed at once as <evidence>
    Given a member fleet of 5 VMs
    When member 3 <event>
    Then the log removes the first incarnation of member 3 as "<evidence>" within <time> s
    And members know that the first incarnation of member 3 has ended within 5 s

    Examples:
      | event                            | evidence | time |
      | leaves                           | left     | 1    |
      | restarts with a new incarnation  | replaced | 3    |

  Scenario: without a majority of witnesses a dead member is removed when its VM is not listed
    Given a member fleet of 2 VMs
    When member 1 dies
    And the VM list no longer contains member 1
    Then the log removes the first incarnation of member 1 as "unlisted" within 40 s
    And the members "0" keep their leases for 2 s

  Scenario: a log replica with an older end removes no member
    Given a member fleet of 5 VMs
    When the membership log reports an end that is 3 records older
    Then the members "0,1,2,3,4" keep their leases for 5 s
    And all members agree on 5 members

  Scenario: no member is lost when the log drops old records
    Given a member fleet of 4 VMs that writes snapshots every 2 s
    When the membership log has a snapshot within 20 s and drops the records before it
    And member 4 starts
    Then all members agree on 5 members

  # Guards against a list without the older members, in which a new member would be its own only witness.
  # A snapshot appended after another one of the same state does not cover all records that were dropped.
  Scenario: a member that finds no usable snapshot fetches it from a peer
    Given a member fleet of 4 VMs that writes snapshots every 2 s
    When the membership log has a snapshot within 20 s and drops the records before it
    And two snapshots of the same state are appended to the log, which drops all records before the second
    And member 4 starts
    Then all members agree on 5 members

  Scenario: heartbeats carry offsets and withdrawn keys
    Given a member fleet of 4 VMs
    When member 0 applies configuration 7 and withdraws the key "key-a"
    Then all members know configuration 7 of member 0 and the withdrawn key "key-a" within 5 s

  Scenario: a draining member reports that it is draining
    Given a member fleet of 4 VMs
    When member 0 drains
    Then the other members see that member 0 is draining within 5 s
