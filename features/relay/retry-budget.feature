Feature: The retry budget of the fleet, counted as servers see arrivals

  # A further round of a stream is two arrivals: the prompt is read again and the request runs again.
  Scenario Outline: <kind> requests that fail again and again stay within the budget
    Given a relay with 4 prefill engines and 60 decode engines that do "<steps>"
    When 40 relay requests of kind "<kind>" with 4 attempts arrive at once
    Then the relay's servers see at most 58 retries, and all are charged

    Examples:
      | kind      | steps                 |
      | stream    | not-run               |
      | resumable | broken                |
      | resumable | stream breaks, broken |

  Scenario: a request that its caller's VM could not send is not charged
    Given a relay with 3 plain servers that do "unsent"
    When 40 relay requests of kind "once" with 3 attempts arrive at once
    Then the retry budget of the relay is unused

  Scenario Outline: <vms> VMs (pattern: resets of many servers at the start of a burst)
    Given a simulated fleet of <vms> VMs
    When all servers reset the runs of the simulated fleet in two bursts, with seed <seed>
    Then the servers see no more retries than allowed in any window
    And the servers see at least half of the retries that are allowed in a window

    Examples:
      | vms | seed |
      | 2   | 1    |
      | 6   | 2    |
      | 16  | 3    |
      | 40  | 4    |
      | 80  | 5    |

  # A VM that has just started does not know what its previous process spent.
  Scenario Outline: <vms> VMs restart (pattern: resets of many servers while VMs restart in turn)
    Given a simulated fleet of <vms> VMs
    When all servers reset the runs of the simulated fleet in two bursts while its VMs restart in turn, with seed <seed>
    Then the servers see no more retries than allowed in any window

    Examples:
      | vms | seed |
      | 2   | 1    |
      | 6   | 2    |
      | 16  | 3    |
      | 40  | 4    |
      | 80  | 5    |

  Scenario Outline: <vms> VMs are split (pattern: partition while servers reset their runs)
    Given a simulated fleet of <vms> VMs
    When all servers reset the runs of the simulated fleet in two bursts while half of its VMs are cut off from the others, with seed <seed>
    Then the servers see no more retries than allowed in any window

    Examples:
      | vms | seed |
      | 2   | 1    |
      | 2   | 111  |
      | 2   | 411  |
      | 6   | 112  |
      | 6   | 2    |
      | 16  | 3    |
      | 40  | 4    |
      | 80  | 5    |

  # With an equal part for each VM, 80 VMs could retry less than once each in 10 s.
  Scenario: a few VMs use what the others leave (pattern: failures that concern the requests of a few VMs)
    Given a simulated fleet of 80 VMs
    When servers reset the runs of the first 4 VMs of the simulated fleet for 2000 ms, with seed 1
    Then the servers see no more retries than allowed in any window
    And at most 2 requests of the simulated fleet are cut
