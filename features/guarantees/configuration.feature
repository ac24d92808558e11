Feature: An accepted configuration is in force everywhere within 4 s and never reverts (P10)

  Each daemon is a separate process. What each one reports is polled throughout the scenario.

  Scenario Outline: A preset switched with <fault>
    Given a configured fleet of <daemons> daemons
    When the configured preset is switched with "<fault>"
    Then the configured change is accepted and shown by every daemon within 4 s
    And the configured fleet agrees and no daemon ever reverted to an older version

    Examples:
      | fault                                                | daemons |
      | nothing else                                         | 3 |
      | a stale edit before it                               | 3 |
      | malformed records in the log                         | 3 |
      | the answer of the append lost                        | 3 |
      | the log out before and at the start                  | 3 |
      | the log silent during the append                     | 3 |
      | the log out for all but one daemon                   | 3 |
      | the log out from the answer on                       | 3 |
      | two daemons cut from the log and from the one asked  | 4 |
      | one daemon reading a replica with an older end       | 3 |
      | the daemon asked reading a replica with an older end | 3 |
      | a daemon starting on a replica with an older end     | 3 |
      | a daemon started in an outage of the log             | 3 |
      | a daemon frozen over it and resumed                  | 3 |
      | a daemon frozen past its fencing and resumed         | 3 |
      | every daemon cut from the log and healed             | 3 |

  Scenario: A preset switched with the early records dropped
    Given a configured fleet of 3 daemons with short retention
    When the configured preset is switched with "a daemon restarted after retention dropped the early records"
    Then the configured change is accepted and shown by every daemon within 4 s
    And the configured fleet agrees and no daemon ever reverted to an older version

  Scenario: Two operators race on one base
    Given a configured fleet of 3 daemons
    When two operators race 5 times on each configured subject
      | the preset in force             |
      | the rate of a team              |
      | a new route                     |
      | draining and returning a server |
    Then the configured change is accepted and shown by every daemon within 4 s
    And the configured fleet agrees and no daemon ever reverted to an older version

  Scenario: Callers of every daemon meet the preset in force
    Given a configured fleet of 3 daemons
    When the configured preset is switched to "maintenance" by cuminsparctl
    Then the configured fleet answers callers by the preset "maintenance"
    When the configured preset is switched to "ordinary" by cuminsparctl
    Then the configured fleet answers callers by the preset "ordinary"
    And the configured fleet agrees and no daemon ever reverted to an older version

  Scenario: A change that the log never took is not in force later
    Given a configured fleet of 3 daemons
    When the configured preset is switched to "peak" in an outage of the log longer than the verdict takes
    Then the configured change is unknown, and the log and all daemons stay without it
    And the configured fleet agrees and no daemon ever reverted to an older version

  Scenario: cuminsparctl ends with the code of its outcome
    Given a configured fleet of 3 daemons
    When the configured fleet is brought to the state "a change just accepted"
    Then each configured command at daemon 1 ends with its code
      | command                           | code | prints   |
      | wait NEWEST --timeout 4000        | 0    | true     |
      | wait NEXT --timeout 300           | 6    | vm-1     |
      | wait latest                       | 2    |          |
      | preset switch quiet --base STALE  | 3    | stale    |
      | preset switch missing             | 4    | invalid  |
      | preset switch quiet --base NEWEST | 0    | accepted |
    And the configured fleet agrees and no daemon ever reverted to an older version

  Scenario Outline: cuminsparctl <command> ends with <code> when <state>
    Given a configured fleet of 3 daemons
    When the configured fleet is brought to the state "<state>"
    Then each configured command at daemon 1 ends with its code
      | command   | code   | prints   |
      | <command> | <code> | <prints> |

    Examples:
      | command                    | state                   | code | prints  |
      | wait NEWEST --timeout 1000 | daemon 3 frozen over it | 6    | vm-3    |
      | preset switch quiet        | the log out             | 1    | unknown |
      | wait NEWEST                | daemon 1 killed         | 5    |         |
