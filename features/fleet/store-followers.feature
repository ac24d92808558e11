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
