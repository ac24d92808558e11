Feature: Properties of admission

  Scenario: no interleaving sends more tokens than burst + rate × window
    Then admission schedules keep every window within the rate in 5000 runs

  Scenario Outline: the schedule check detects a broken rule
    Then admission schedules with the defect "<defect>" exceed a window within 6000 runs

    Examples:
      | defect                                |
      | displaced homes are not asked         |
      | a gained share starts full            |
      | an old debit is sent                  |
      | a repeated call is refunded twice     |
      | a refund ignores what the burst lost  |

  Scenario: a backlogged team gets its weighted share up to one request
    Then admission queues serve backlogged teams by weight in 1000 runs

  Scenario: a full queue refuses the newest request of the longest team
    Then an admission queue bounded at 3 with the requests "a1, b1, a2, a3" refuses "a3"

  Scenario: a request that is admitted again keeps its place within the team
    Then an admission queue with the targets "late 20, again 10" serves "again, late"

  # Guards against a team beyond its rate whose long outputs take the slots of teams within their
  # rates.
  Scenario Outline: a <kind> request of <output> tokens leaves <slots> slots free
    Then an admission reserve of 80 slots and mean output 100 leaves <slots> slots free for a <kind> request of <output> tokens

    Examples:
      | kind   | output | slots |
      | late   | 100    | 9.6   |
      | late   | 50     | 2.4   |
      | late   | 300    | 20    |
      | late   | 0      | 9.6   |
      | excess | 100    | 4     |
      | excess | 50     | 0.5   |
      | excess | 300    | 20    |

  # Guards teams within their rates while the pool is full: requests are then refused for lack of
  # capacity and take no tokens, so token balances do not show which team is beyond its rate.
  Scenario Outline: requests at <times> ms <which> of rate 1000 and burst 2000
    Then admission demand at rate 1000 and burst 2000 finds "<beyond>" of the requests of 900 tokens at "<times>" ms beyond the rate

    Examples:
      | times               | which           | beyond     |
      | 0, 0, 0, 100, 1700  | exceed a bucket | 0, 100     |
      | 0, 900, 1800, 2700  | stay in a bucket |           |
      | 0, 0, 20000, 20000  | stay in a bucket |           |

  Scenario: only a fingerprint that was the single suspect of a second death is quarantined
    Then admission quarantine never affects an innocent fingerprint in 2000 runs

  Scenario: homes are spread over zones and few of them move when a VM joins
    Then admission homes of 1000 teams on 9 VMs in 3 zones use distinct zones and move little on a join

  Scenario Outline: the usable burst and rate keep to burst + rate × window for any team
    Then an admission team with rate <rate> and burst <burst> may grant <usableRate> a second and <usableBurst> at once

    Examples:
      | rate | burst | usableRate | usableBurst |
      | 1000 | 1000  | 1000       | 750         |
      | 1000 | 500   | 1000       | 250         |
      | 1000 | 200   | 400        | 100         |
      | 10   | 1000  | 10         | 997.5       |
