Feature: Properties of the membership algorithms

  Scenario: a fence is complete only after the lease that it ends
    Then in 4000 arbitrary lease schedules no member has a live lease after its fence

  Scenario: the member list depends only on the records
    Then 500 arbitrary member streams give the same state when applied in parts of any size

  Scenario: a snapshot replaces the records before it
    Then 500 arbitrary member streams give the same state when applied from a snapshot

  Scenario: a removal changes only the witness sets of the removed member
    Then the witnesses of 1000 arbitrary fleets depend on no member that was not chosen
