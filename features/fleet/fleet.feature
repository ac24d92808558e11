Feature: VMs of a fleet exchange their state

  # Guards against fleet state that is late, or whose cost grows with the fleet. Callers connect 12 s after
  # the VMs start, so the fleet must be complete by then.
  Scenario Outline: every VM of a fleet of <vms> knows the work of all others
    Given a simulated fleet of <vms> VMs
    When 10000 ms pass in the simulated fleet
    Then each VM of the simulated fleet reaches all others
    When each VM of the simulated fleet takes 2 requests to the server "s"
    And <ms> ms pass in the simulated fleet
    Then each VM of the simulated fleet counts 2 requests of each at the server "s"
    And the simulated fleet stays in this state for 10000 ms

    Examples:
      | vms | ms   |
      | 6   | 300  |
      | 16  | 300  |
      | 17  | 1000 |
      | 80  | 1000 |
      | 300 | 1000 |

  # 11 KB a second is the design limit for control traffic; 12 KB is the limit without framing.
  Scenario Outline: the traffic of a VM that is no hub does not grow with the fleet
    Given a simulated fleet of <vms> VMs
    When 10000 ms pass in the simulated fleet
    And each VM of the simulated fleet takes 2 requests to the server "s"
    Then half of the VMs of the simulated fleet carry at most 11000 bytes a second

    Examples:
      | vms |
      | 80  |
      | 300 |

  Scenario Outline: hubs that die are replaced (pattern: <dead> of 80 VMs killed at once)
    Given a simulated fleet of 80 VMs
    When 10000 ms pass in the simulated fleet
    And each VM of the simulated fleet takes 2 requests to the server "s"
    And the first <dead> VMs of the simulated fleet die
    And 4000 ms pass in the simulated fleet
    Then each VM of the simulated fleet reaches all others
    And each VM of the simulated fleet counts 2 requests of each at the server "s"

    Examples:
      | dead |
      | 1    |
      | 3    |
      | 8    |
      | 40   |

  # Guards against a fleet in which the commander of the engines' roles runs too few streams itself to know
  # what they cost, and therefore never changes a role.
  Scenario Outline: every VM of a fleet of <vms> knows the cost of streams of which each VM runs few
    Given a simulated fleet of <vms> VMs
    When 10000 ms pass in the simulated fleet
    And each VM of the simulated fleet ends a stream of 100 ms prefill, 3000 ms decode and 8000 tokens each second for 8 s
    Then each VM of the simulated fleet knows this cost of a stream

    Examples:
      | vms |
      | 8   |
      | 80  |
      | 195 |

  # Guards against spending that is counted twice or lost when its route through the hubs changes. A VM
  # whose hub dies gets no updates for at most 1.5 s, which is 15 percent of the time here.
  Scenario: what teams spend is counted once by every VM while hubs die
    Given a simulated fleet of 40 VMs
    When 10000 ms pass in the simulated fleet
    And each VM of the simulated fleet spends 1000 tokens a second for 10 s while the first 2 VMs die
    Then each VM of the simulated fleet has counted 85 to 105 percent of what was spent

  # Guards against VMs that each spend the whole rate until they have discovered each other, which takes 2 s
  # in a fleet of 64 VMs.
  Scenario Outline: a team does not exceed its rate while a fleet restarts (pattern: all of <vms> VMs at once)
    Given a simulated fleet of <vms> VMs that restart at once
    When a team sends 4 times its rate through all VMs of the simulated fleet for 4000 ms
    Then the simulated fleet has admitted at most burst + rate × time of the team
    And the simulated fleet has admitted at least half of rate × time of the team

    Examples:
      | vms |
      | 8   |
      | 64  |

  Scenario: a VM that stops is excluded at once
    Given a simulated fleet of 80 VMs
    When 10000 ms pass in the simulated fleet
    And VM 50 of the simulated fleet begins to stop
    And 1000 ms pass in the simulated fleet
    Then each other VM of the simulated fleet knows that VM 50 stops

  Scenario: all VMs soon know that a server is leaving
    Given a simulated fleet of 80 VMs
    When 10000 ms pass in the simulated fleet
    And VM 60 of the simulated fleet observes that the server "s" is leaving
    And 1000 ms pass in the simulated fleet
    Then each VM of the simulated fleet knows that the server "s" is leaving
