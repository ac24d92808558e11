Feature: Few VMs read the store, the others hear its news from them

  # Guards against calls to the store that grow with the number of VMs instead of with changes.
  Scenario: a fleet of 80 VMs calls the store no more often than 20 times a second
    Given 80 store followers that hear each other
    When 60000 ms pass for the store followers
    Then the store has got at most 1200 calls

  Scenario: a change in the store is known to every VM
    Given 80 store followers that hear each other
    When 3000 ms pass for the store followers
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    Then every store follower has configuration 8 and knows that the server is leaving

  # Guards against a fleet that goes blind when the store turns away the VMs that follow it.
  Scenario: others follow the store when it turns the followers away
    Given 20 store followers that hear each other
    When 3000 ms pass for the store followers
    And the store turns the VMs away that follow it
    And 3000 ms pass for the store followers
    And the store gets configuration 8 and a server that is leaving
    And 2000 ms pass for the store followers
    Then every store follower has configuration 8 and knows that the server is leaving

  # Guards against VMs that fail readiness because the store has forgotten what they read last.
  Scenario: a VM stays ready when the store has forgotten its history
    Given 6 store followers that hear each other
    When 3000 ms pass for the store followers
    And the store forgets its history and is out
    Then every store follower stays ready for 5000 ms

  # Guards against a server that stays in use because VMs hand on an entry that has gone missing after
  # an outage, or the time for which it may come back. Servers may be sent work for 3 s after they leave.
  Scenario: a server that is removed soon after an outage is gone on every VM
    Given 20 store followers that hear each other
    When the store gets a second server
    And 3000 ms pass for the store followers
    And the store is out for the followers
    And 2400 ms pass for the store followers
    And the store is back for the followers
    And 700 ms pass for the store followers
    And the store gets the news that the second server is gone
    And 1000 ms pass for the store followers
    And the store gets a third server
    And 1900 ms pass for the store followers
    Then no store follower uses the second server
