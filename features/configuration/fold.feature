Feature: Fold of the configuration stream

  Scenario Outline: the verdict on a record depends on the records before it
    Given a configuration fold of the records "<records>"
    Then the last configuration verdict is "<verdict>" because "<reason>"

    Examples:
      | records                                      | verdict  | reason                                        |
      | team oval 0                                  | accepted |                                               |
      | team oval 0; team oval 0                     | stale    | team/oval is at version 1                     |
      | team oval 0; team oval 1                     | accepted |                                               |
      | team oval 5                                  | stale    | team/oval is at version 0                     |
      | key k001 oval 0                              | invalid  | team oval is unknown                          |
      | team oval 0; key k001 oval 0                 | accepted |                                               |
      | team oval 0; withdraw k001 0; key k001 oval 2 | invalid  | key k001 was withdrawn                        |
      | team oval 0; key k001 oval 0; withdraw k001 0 | accepted |                                               |
      | switch peak 0                                | invalid  | preset peak is unknown                        |
      | preset peak 0; switch peak 0                 | accepted |                                               |
      | preset peak 0; switch peak 0; switch ordinary 0 | stale | preset-in-force is at version 2               |
      | drain yard-1 0                               | invalid  | server yard-1 is unknown                      |
      | server yard-1 0; drain yard-1 1              | accepted |                                               |
      | server yard-1 0; remove-server yard-1 1; drain yard-1 2 | invalid | server yard-1 is unknown            |
      | remove-team oval 0                           | invalid  | team oval is unknown                          |
      | engine planner-1 draft 0                     | invalid  | model draft is unknown                        |
      | negative-rate oval 0                         | invalid  | change.team.rate: found -1                    |

  Scenario Outline: a malformed record is skipped in the same way on every daemon
    Given a configuration fold of the records "team oval 0; <malformed>; team crew 0"
    Then the configuration fold is at version 3 with the teams "oval, crew"

    Examples:
      | malformed     |
      | raw not json  |
      | raw null      |
      | raw {}        |
      | raw {"format":2,"changeId":"x"} |
      | raw {"format":1,"snapshot":{"id":"s"}} |

  Scenario: a change that was appended twice keeps its first verdict
    Given a configuration fold of the records "team oval 0 id=a; team oval 0 id=a"
    Then the configuration verdict of change "a" is "accepted"

  Scenario: the first preset is in force from the start
    Given a configuration fold of the records ""
    Then the configuration preset "ordinary" is in force

  Scenario: the keys of a removed team stay withdrawn when the name is used again
    Given a configuration fold of the records "team oval 0; key k001 oval 0; remove-team oval 1; team oval 3"
    Then the configuration fold refuses the key "k001" with "key_withdrawn"

  Scenario: a snapshot that does not fit into one record is split over several
    Given a configuration fold of 3000 teams
    Then the configuration snapshot has several records of at most 262144 bytes
    And the configuration fold is the same after reading the snapshot back
    But without one of its records the configuration snapshot is not used

  Scenario: a change at the design size does not block a daemon
    Given a configuration fold of 37000 teams
    Then a change of one team takes at most 23 ms of the configuration fold

  Scenario Outline: properties of the fold over arbitrary records
    Then over arbitrary configuration records <property>

    Examples:
      | property                                                   |
      | two folds of the same records agree                        |
      | a fold from a snapshot plus the rest equals the full fold  |
      | exactly one preset is in force after every record          |
      | the version never goes back                                |
      | a withdrawn key never authenticates again                  |
      | of two racing edits on one base exactly one is accepted    |
      | copies of a map that share content do not see each other's modifications |

  # Guards P10, a configuration never reverts. Daemons only request records after their version, so
  # older records reach the fold through a fault only.
  Scenario Outline: a fold is not taken back by <given>
    Given a fold task that has taken three records
    When the fold task is given <given>
    Then the fold task is unchanged

    Examples:
      | given               |
      | older records       |
      | an older snapshot   |
      | records after a gap |
