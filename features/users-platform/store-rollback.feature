Feature: The users' store comes back from an older copy

  # Guards against records that a reader misses because the store has given out their offsets again.
  Scenario Outline: a position from before the rollback is refused, with <records> records written since
    Given a platform log with 5 records of servers
    When a client reads the platform log to its end
    And the platform log goes back by 3 records
    And <records> records of servers are written to the platform log
    Then the next read of the platform log fails as "rolled-back"
    And a new read of the platform log has the servers of <all> records

    Examples:
      | records | all |
      | 0       | 2   |
      | 1       | 3   |
      | 6       | 8   |

  Scenario: a log that names no era is in the first one
    Given a platform log with 5 records of servers
    When a client reads the platform log to its end
    And 1 records of servers are written to the platform log
    Then the next read of the platform log has 1 change

  # Guards against orders with the number of a claim that is lost, and against a commander that cannot claim
  # because the log no longer has the first claim or ends elsewhere than it knows.
  Scenario: claims of a command keep their order over a rollback
    Given a platform log with 5 records of servers
    When two clients claim the command in turn 3 times each
    And the platform log goes back to before the claims
    And two clients claim the command in turn 2 times each
    Then each claim has a higher fencing number than the one before it

  # Guards against a withdrawn key that works again with the configuration of the copy.
  Scenario: a withdrawn key stays withdrawn when the store comes back from an older copy
    Given a platform with a store, 0 prefill engines, 0 decode engines and 1 plain server
    And a router on the platform
    When a copy of the platform's store is taken
    And the platform's only key is withdrawn
    Then an order with the withdrawn key is refused with 401 within 2000 ms
    When the platform's store comes back from its copy
    Then an order with the withdrawn key is refused with 401 for 2000 ms

  # Guards against an evacuation that is not read from the operator's records, or not taken back.
  Scenario: evacuations are read with the configuration, whole and as changes
    Given a platform log with 5 records of servers
    When the operator evacuates the zone "sando" in the platform log
    Then a client of the platform log knows that "sando" is evacuated
    When the operator takes back the evacuation of "sando" in the platform log
    Then the client of the platform log reads that "sando" is in use

  # Guards against one lost answer that fails a sound read too: the store counts as failing, and a change that the
  # read would have brought is late.
  Scenario: a read that waits does not fail with another call
    Given a platform log with 5 records of servers
    When a client reads the platform log to its end
    Then a read of the platform log that waits is repeated within 300 ms when another call gets no answer

  Scenario: a read that begins after a lost answer outlasts the connections before it
    Given a platform log with 5 records of servers
    When a client reads the platform log to its end
    Then a call to the platform log is completed 3500 ms after another one has got no answer
