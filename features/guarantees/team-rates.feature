Feature: Team rates over the whole fleet

  # Guards P4: the tokens recorded by the engines stay within burst + rate x window for all pairs of
  # start times. The last column guards against a fleet that keeps the bound by running too little.
  Scenario Outline: a team keeps to its rate while <event>
    Given a rate-guarded fleet of <daemons> daemons
    When rate-guarded callers flood the fleet while "<event>"
    Then the rate-guarded tokens at the engines stay within burst + rate x window in every window
    And the rate-guarded load used at least <least> percent of what was allowed

    Examples:
      | event                                     | daemons | least |
      | nothing happens                           | 4       | 60    |
      | the traffic moves from daemon to daemon   | 4       | 60    |
      | a home is killed                          | 4       | 40    |
      | a home is frozen for less than its lease  | 4       | 40    |
      | a home is frozen until it is removed      | 4       | 40    |
      | two daemons are added                     | 3       | 40    |
      | homes shut down one after another         | 7       | 40    |
      | a home restarts                           | 4       | 20    |
      | all homes restart                         | 4       | 20    |
      | the homes are cut from each other         | 4       | 40    |
      | a home is cut off until it is removed     | 4       | 40    |
      | the log is cut off                        | 4       | 60    |
      | a home is killed while the log is cut off | 4       | 30    |
      | the rate is lowered                       | 4       | 20    |
      | attempts break off and run again          | 4       | 30    |
      | engines restart                           | 4       | 40    |

  # Guards the converse of P4: a team within its rate is not refused. A connection that breaks because
  # its daemon dies is not a refusal and is counted separately.
  Scenario Outline: a team at 60% of its rate is served while <event>
    Given an inside-rate fleet of 4 daemons
    When inside-rate callers follow the entry addresses while "<event>"
    Then inside-rate callers are refused in less than 0.1 percent of their requests

    Examples:
      | event               |
      | nothing happens     |
      | a home dies         |
      | another daemon dies |
