Feature: Configuration of a daemon during faults of the log

  Scenario: an accepted change is in force on every daemon
    Given configuration daemons "a, b"
    When the team "oval" is put through configuration daemon "a"
    Then the configuration verdict is "accepted"
    And the configuration daemons "a, b" know the team "oval"

  Scenario Outline: a change is made during a fault of the log
    Given configuration daemons "a"
    When the configuration log has the fault "<fault>"
    And the team "oval" is put through configuration daemon "a"
    Then the configuration verdict is "<verdict>"
    And the configuration log holds <records> records

    Examples:
      | fault                | verdict  | records |
      | answer lost          | accepted | 1       |
      | answer lost, lagging | accepted | 2       |
      | outage for 600 ms    | accepted | 1       |
      | outage               | unknown  | 0       |
      | malformed record     | accepted | 2       |

  Scenario: of two edits on one base through two daemons one is stale
    Given configuration daemons "a, b"
    When the team "oval" is put on base 0 through the configuration daemons "a, b" at once
    Then the configuration verdicts are "accepted, stale"

  Scenario: an older end of the log is ignored
    Given configuration daemons "a"
    And the team "oval" is put through configuration daemon "a"
    And the team "crew" is put through configuration daemon "a"
    When the configuration log shows only 1 record to readers
    Then configuration daemon "a" stays at version 2 for 400 ms

  Scenario: a daemon that starts on a lagging replica takes the newer records from a peer
    Given configuration daemons "a"
    And the team "oval" is put through configuration daemon "a"
    And the team "crew" is put through configuration daemon "a"
    When the configuration log shows only 1 record to readers
    And configuration daemon "b" starts
    Then the configuration daemons "b" know the team "crew"

  Scenario: a daemon starts from the newest snapshot when early records were dropped
    Given configuration daemons "a" with a snapshot every 200 ms
    And the team "oval" is put through configuration daemon "a"
    And the configuration log holds a snapshot
    And the team "crew" is put through configuration daemon "a"
    When the configuration log drops the records before the newest snapshot
    And every configuration daemon is unreachable
    And configuration daemon "b" starts
    Then the configuration daemons "b" know the team "oval"
    And the configuration daemons "b" know the team "crew"

  Scenario Outline: a daemon starts during an outage with a snapshot from a peer
    Given configuration daemons "a"
    And the team "oval" is put through configuration daemon "a"
    When the configuration log has the fault "outage"
    And the configuration members are <members>
    And configuration daemon "b" starts
    Then the configuration daemons "b" know the team "oval"

    Examples:
      | members                 |
      | known                   |
      | known from the VM list  |

  Scenario: a daemon that starts alone in an outage has no configuration until the log is back
    Given configuration daemons ""
    When the configuration log has the fault "outage"
    And configuration daemon "a" starts
    Then configuration daemon "a" has no configuration after 400 ms
    When the configuration log is back
    Then configuration daemon "a" is at version 0

  Scenario: a daemon that cannot read newer records fetches them from a peer with a newer offset
    Given configuration daemons "a, b"
    When the configuration log shows only 0 record to readers
    And the configuration log gets a team record "oval" that only daemon "a" has read
    And configuration daemon "b" observes the offset of "a"
    Then the configuration daemons "b" know the team "oval"

  Scenario: a withdrawal in an outage is effective at once, reaches the peers, and is logged later
    Given configuration daemons "a, b, c"
    And the configuration key "k001" of the team "oval"
    When the configuration log has the fault "outage"
    And the key "k001" is withdrawn through configuration daemon "a"
    Then configuration daemon "a" refuses the key "k001" at once with "key_withdrawn"
    And the configuration daemons "b, c" refuse the key "k001" with "key_withdrawn"
    When the configuration log is back
    Then the configuration log holds the withdrawal of "k001"

  Scenario: a daemon that starts in an outage knows the withdrawals that are not logged yet
    Given configuration daemons "a"
    And the configuration key "k001" of the team "oval"
    When the configuration log has the fault "outage"
    And the key "k001" is withdrawn through configuration daemon "a"
    And configuration daemon "b" starts
    Then the configuration daemons "b" know the team "oval"
    And configuration daemon "b" refuses the key "k001" at once with "key_withdrawn"

  Scenario: a withdrawal that a peer missed is sent again when its digest differs
    Given configuration daemons "a, b"
    And the configuration key "k001" of the team "oval"
    When the configuration log has the fault "outage"
    And every configuration daemon is unreachable
    And the key "k001" is withdrawn through configuration daemon "a"
    And 1500 ms pass in which configuration daemons give up sending
    And every configuration daemon is reachable
    And configuration daemon "a" observes the digest of "b"
    Then the configuration daemons "b" refuse the key "k001" with "key_withdrawn"

  Scenario Outline: authentication does not reveal why an unknown key fails
    Given configuration daemons "a"
    And the configuration key "k001" of the team "oval"
    Then configuration daemon "a" answers the credential "<credential>" with "<answer>"

    Examples:
      | credential             | answer      |
      | Bearer ck_k001_s3cret  | oval        |
      | bearer ck_k001_s3cret  | oval        |
      | Bearer ck_k001_other   | key_unknown |
      | Bearer ck_k002_s3cret  | key_unknown |
      | Bearer nonsense        | key_unknown |
      | Basic abc              | key_missing |
      |                        | key_missing |
