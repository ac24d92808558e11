Feature: Operators control the fleet with cuminsparctl

  Background:
    Given operator daemons "a, b"

  Scenario Outline: a command ends with the exit code of its outcome
    When the operator runs "<command>"
    Then the operator command exits with <code>
    And the operator output contains "<output>"

    Examples:
      | command                                      | code | output                      |
      | team put oval-crew --rate 100 --burst 400    | 0    | accepted                    |
      | team put oval-crew --rate 100 --burst 400 --base 7 | 3 | stale                    |
      | team put oval-crew --rate -1 --burst 400     | 4    | team.rate                   |
      | key give nobody                              | 4    | team nobody is unknown      |
      | preset switch peak                           | 4    | preset peak is unknown      |
      | rate set nobody --rate 1                     | 4    | the team is unknown         |
      | server drain yard-9                          | 4    | server yard-9 is unknown    |
      | preset show                                  | 0    | ordinary                    |
      | preset list                                  | 0    | inForce                     |
      | team list                                    | 0    | (none)                      |
      | status                                       | 0    | ordinary                    |
      | wait 0                                       | 0    | true                        |
      | wait 99 --timeout 300                        | 6    | a,b                         |
      | explain request-1                            | 0    | admission                   |
      | explain request-2                            | 1    | (none)                      |
      | settings check examples/nicovale/settings.json | 0  | faults                      |
      | settings check examples/nicovale/configuration.json | 4 | (file)                  |
      | settings check examples/nicovale/configuration.json | 4 | examples/nicovale/configuration.json |
      | apply examples/nicovale/configuration.json --check  | 0 | changes                 |
      | apply examples/nicovale/settings.json --check       | 4 | "put-team"              |
      | teem list                                    | 2    | teem                        |
      | team put oval-crew                           | 2    | rate                        |
      | apply examples/nicovale/configuration.json --base 3 | 2 | --base goes with a file of one change |
      | preset create peak --rate-factor 0.5         | 0    | accepted                    |
      | team list --daemon nowhere                   | 2    | host:port                   |
      | team list --daemon 127.0.0.1:1               | 5    | cannot be reached           |
      | --help                                       | 0    | not in force on every member |

  Scenario Outline: a call without the operators' token is refused
    When the operator runs "status" with the token "<token>"
    Then the operator command exits with 1
    And the operator output contains "the operator token is missing or wrong"

    Examples:
      | token |
      | wrong |
      |       |

  Scenario Outline: the example configurations are accepted as a whole
    When the operator runs "apply examples/<example>/configuration.json"
    Then the operator command exits with 0
    When the operator runs "<list>"
    Then the operator output contains "<output>"

    Examples:
      | example         | list        | output                          |
      | savannah-stripe | server list | decode: draft-marking-plans     |
      | nicovale        | route list  | /services/registru/reservations |

  Scenario: a key works on every daemon until it is withdrawn
    Given the operator runs "team put oval-crew --rate 100 --burst 400"
    When the operator gives the team "oval-crew" a key
    Then the operator's key is answered with "oval-crew" by the daemons "a, b"
    When the operator withdraws that key
    Then the operator command exits with 0
    And the operator output contains ""logged":true"
    And the operator's key is answered with "key_withdrawn" by the daemons "a, b"

  Scenario: a withdrawal in an outage reaches the members and is not yet logged
    Given the operator runs "team put oval-crew --rate 100 --burst 400"
    And the operator gives the team "oval-crew" a key
    When the operator daemons lose the log
    And the operator withdraws that key
    Then the operator command exits with 0
    And the operator output contains ""logged":false"
    And the operator's key is answered with "key_withdrawn" by the daemons "a, b"

  # Guards against a withdrawal in a file of changes that takes effect only once the log stores it.
  Scenario: a withdrawal in a file reaches the members in an outage
    Given the operator runs "team put oval-crew --rate 100 --burst 400"
    And the operator gives the team "oval-crew" a key
    When the operator daemons lose the log
    And the operator applies a file that withdraws that key
    Then the operator's key is answered with "key_withdrawn" by the daemons "a, b"

  Scenario: a withdrawal names the members that could not be reached
    Given the operator daemon "b" stops answering its peers
    When the operator runs "key withdraw k001"
    Then the operator command exits with 6

  Scenario: the status of a member that does not answer says so
    Given the operator daemon "b" stops answering operators
    When the operator runs "status --json"
    Then the operator command exits with 0
    And the operator output contains ""vm":"b","zone":"sando","reachable":false"
