Feature: Streams of heartbeats

  # Guards against a lease renewal by the answer to a different heartbeat.
  Scenario Outline: of three heartbeats, a witness that <behaviour> renews those numbered "<renewed>"
    Given a heartbeat stream to a witness that <behaviour>
    Then the heartbeats "<renewed>" of three are renewed

    Examples:
      | behaviour                                  | renewed |
      | answers each                               | 1,2,3   |
      | answers the third by the number of another | 1,2     |
      | answers the first one twice                | 1,2,3   |
      | loses the answer to the third              | 1,2     |
      | promises a fence after the first           | 1       |
      | ends the stream after the second           | 1,2     |

  # Guards against a lease that is counted from the arrival of the answer instead of the send time.
  Scenario: answers that arrive after the lease has expired renew nothing
    Given a member fleet of 5 VMs
    When member 2 gets its answers 3500 ms late
    Then member 2 loses its lease within 6 s
    And member 2 has no lease for 1 s

  Scenario: silent streams are replaced without loss of a lease
    Given a member fleet of 5 VMs
    When the open streams of member 2 go silent
    Then the members "0,1,2,3,4" keep their leases for 4 s
    And member 2 has replaced its silent streams
    And nobody has another incarnation

  # Guards against a witness that promises a fence before a silent connection is replaced. This fleet runs
  # in real time, but the steps count the time of fast clocks, so the leases are checked for 5 s of real time.
  Scenario: silent connections to a witness cause no loss of a lease
    Given a member fleet of 5 VMs in real time behind relays
    When the open connections to member 1 go silent
    Then the members "0,1,2,3,4" keep their leases for 20 s
    And nobody has another incarnation

  Scenario: the old stream of a paused member renews nothing
    Given a member fleet of 5 VMs
    And a stream of heartbeats of the first incarnation of member 2 to member 1
    When member 2 is paused
    Then the log removes the first incarnation of member 2 as "fenced" within 30 s
    And all members but 2 agree on 4 members
    And the stream renews nothing
    When member 2 wakes without a lease
    Then member 2 is a member again within 20 s with another incarnation
    And the stream renews nothing
    And the members "0,1,2,3,4" keep their leases for 2 s

  Scenario: a member that stops closes its streams
    Given a member fleet of 4 VMs
    When member 3 stops
    Then member 3 has no open streams
