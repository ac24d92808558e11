Feature: All invariants hold through a random schedule of faults

  Scenario: A seeded soak run of 20 s breaks no invariant
    When a soak run of 20 s is made with the seed 7
    Then the soak run breaks no invariant and had traffic of each kind
