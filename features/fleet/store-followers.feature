Feature: Few VMs read the store, the others get its changes from them

  # Guards against calls to the store that grow with the number of VMs instead of with changes.
  Scenario: a fleet of 80 VMs calls the store at most 20 times a second
    Given 80 store followers that exchange digests
    When 60000 ms pass for the store followers
    Then the store has got at most 1200 calls

  # Three readers make 8.5 calls a second; the rest must not grow with the fleet.
  Scenario Outline: a running fleet of <vms> VMs calls the store at most 12 times a second
    Given <vms> store followers that exchange digests
    When 5000 ms pass for the store followers
    And the calls to the store are counted from now on
    And 60000 ms pass for the store followers
    Then the store has got at most 720 calls

    Examples:
      | vms |
      | 20  |
      | 80  |
      | 195 |

  Scenario: a change in the store is known to every VM
    Given 80 store followers that exchange digests
    When 3000 ms pass for the store followers
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    Then every store follower has configuration 8 and knows that the server is leaving

  # Guards against a fleet that gets no changes any more when the store refuses the VMs that read it.
  Scenario: other VMs read the store when it refuses its readers
    Given 20 store followers that exchange digests
    When 3000 ms pass for the store followers
    And the store refuses the VMs that read it
    And 3000 ms pass for the store followers
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    Then every store follower has configuration 8 and knows that the server is leaving

  # Guards against a route that is refused later than 2 s after it was added (rule CONFIG): VMs that learn of it from
  # store readers alone learn of nothing until these are known to have ended.
  Scenario Outline: a change is in force within 2 s when <which> of <vms> are killed <ms> ms before it
    Given <vms> store followers that exchange digests
    When 3000 ms pass for the store followers
    And <which> are killed
    And <ms> ms pass for the store followers
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    Then every store follower has configuration 8 and knows that the server is leaving

    Examples:
      | which                   | vms | ms   |
      | three store readers     | 6   | 0    |
      | three store readers     | 6   | 300  |
      | three store readers     | 6   | 900  |
      | three store readers     | 8   | 0    |
      | three store readers     | 16  | 0    |
      | three store readers     | 16  | 600  |
      | three store readers     | 40  | 0    |
      | three store readers     | 80  | 0    |
      | three store readers     | 80  | 600  |
      | three store readers     | 195 | 0    |
      | every second follower   | 6   | 0    |
      | every second follower   | 16  | 0    |
      | every second follower   | 80  | 0    |
      | all followers of a zone | 6   | 0    |
      | all followers of a zone | 80  | 0    |

  # Guards against VMs that fail readiness because the store has compacted the changes that they read last.
  Scenario: a VM stays ready when the store has compacted its history
    Given 6 store followers that exchange digests
    When 3000 ms pass for the store followers
    And the store compacts its history and is unavailable
    Then every store follower stays ready for 5000 ms

  # Guards against a server that stays in use because VMs pass on an entry that went missing after an
  # outage, or the time for which it may return. Servers may be sent work for 3 s after they leave.
  Scenario: a server that is removed soon after an outage is removed on every VM
    Given 20 store followers that exchange digests
    When the store gets a second server
    And 3000 ms pass for the store followers
    And the store is unavailable for the followers
    And 2400 ms pass for the store followers
    And the store is available for the followers
    And 700 ms pass for the store followers
    And the second server is removed from the store
    And 1000 ms pass for the store followers
    And the store gets a third server
    And 1900 ms pass for the store followers
    Then no store follower uses the second server

  # Guards against a withdrawn key or an old route that comes back with an older configuration.
  Scenario: a configuration does not revert when the store comes back from an older copy
    Given 6 store followers that exchange digests
    When 3000 ms pass for the store followers
    And a copy of the followed store is taken
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    And the followed store comes back from its copy
    And 6000 ms pass for the store followers
    Then every store follower has configuration 8 and does not use the leaving server

  # Guards against a reader that goes on at its old offset, which the store does not have any more or has
  # given out again.
  Scenario Outline: changes at offsets that are given out again are read, <heartbeats> of them before the next read
    Given 6 store followers that exchange digests
    When 3000 ms pass for the store followers
    And a copy of the followed store is taken
    And 4000 ms pass for the store followers
    And the followed store comes back from its copy
    And the store gets a second server
    And the followed store gets <heartbeats> heartbeats
    And 2000 ms pass for the store followers
    Then every store follower uses the second server

    Examples:
      | heartbeats |
      | 0          |
      | 60         |

  # Guards against VMs that nobody finds after a restart of the fleet.
  Scenario: every VM registers again when the store comes back from an older copy
    Given 6 store followers that exchange digests
    When a copy of the followed store is taken
    And 3000 ms pass for the store followers
    And the followed store comes back from its copy
    And 4000 ms pass for the store followers
    Then the followed store has the registration of every follower

  # Guards against refusals for want of servers whose entries the copy does not have yet.
  Scenario: a server whose entry is lost stays in use until it announces itself again
    Given 6 store followers that exchange digests
    When a copy of the followed store is taken
    And the store gets a second server
    And 3000 ms pass for the store followers
    And the followed store comes back from its copy
    Then every store follower uses the second server for 1500 ms
    When the store gets a second server
    Then every store follower uses the second server for 4000 ms

  # Guards against requests to a server that had been removed and is on its way out.
  Scenario: a server that had been removed is not used because the copy still has it
    Given 6 store followers that exchange digests
    When the store gets a second server
    And 3000 ms pass for the store followers
    And a copy of the followed store is taken
    And the second server is removed from the store
    And 3000 ms pass for the store followers
    And the followed store comes back from its copy
    Then no store follower uses the second server for 4000 ms

  # Guards against engines that take orders of two commanders, or none of the new one.
  Scenario: the fencing number of a commander rises when the store gives out offsets again
    Then a store claim at era 1 and offset 12 has a higher fencing number than one at era 0 and offset 41
    And a store claim at era 0 and offset 42 has a higher fencing number than one at era 0 and offset 41

  # Guards against requests to servers whose power is about to be switched off.
  Scenario: an evacuation holds on every VM over a rollback of the store until it is taken back
    Given 6 store followers that exchange digests
    When 3000 ms pass for the store followers
    And a copy of the followed store is taken
    And the store gets the evacuation of the followers' zone
    And 2000 ms pass for the store followers
    Then no store follower has usable servers
    When the followed store comes back from its copy
    And 6000 ms pass for the store followers
    Then no store follower has usable servers
    When the evacuation of the followers' zone is removed from the store
    And 2000 ms pass for the store followers
    Then every store follower has usable servers

  # Guards against VMs that start when the store is out and learn of an evacuation from nobody, or believe
  # old news of other VMs.
  Scenario Outline: of two views of an evacuation the newest holds: <case>
    Given a view of evacuations up to <era> and <offset> with the record <record>
    When the view is merged with one up to <other era> and <other offset> with the record <other record>
    Then the zone is <state> in the merged view

    Examples:
      | case                            | era | offset | record      | other era | other offset | other record | state     |
      | a VM that knows nothing         | 0   | -1     | none        | 0         | 9            | set at 0/5   | evacuated |
      | removed later                   | 0   | 6      | set at 0/5  | 0         | 9            | removed 0/8  | in use    |
      | removed, and its record is gone | 0   | 6      | set at 0/5  | 0         | 9            | none         | in use    |
      | old news                        | 0   | 9      | removed 0/8 | 0         | 6            | set at 0/5   | in use    |
      | old news, record is gone        | 0   | 9      | none        | 0         | 6            | set at 0/5   | in use    |
      | lost by a rollback              | 0   | 6      | set at 0/5  | 1         | 4            | none         | evacuated |
      | removed after a rollback        | 0   | 9      | set at 0/8  | 1         | 6            | removed 1/5  | in use    |
