Feature: Servers and daemons that leave
  Guards P8 and P9: work sent to a server after it was told to leave is lost when the server goes, and
  a shutdown that breaks requests off turns every deployment into an outage.

  Scenario Outline: servers that leave by <word> get no new work and are used again later
    Given a leaving-server fleet
    And leaving-server requests that go on through both daemons
    And leaving-server streams of 120 tokens that run on the servers
    When the leaving-server group leaves by <word>
    Then no leaving-server request reaches the group after 4 s
    And every leaving-server request so far is answered whole
    When the leaving-server group returns by <word>
    Then leaving-server requests reach the group again within 5 s

    Examples:
      | word         |
      | the operator |
      | the VM list  |
      | its own word |

  Scenario Outline: a graceful shutdown of one of <daemons> daemons cuts no <load>
    Given a shutting-down fleet of <daemons> daemons
    And shutting-down load of <load>
    When the shutting-down daemon gets SIGTERM
    Then no shutting-down entry answer names it after 4 s
    And every shutting-down request is answered whole
    And the shutting-down daemon exits with code 0
    And the shutting-down membership stream shows that it left

    Examples:
      | daemons | load                  |
      | 3       | streams               |
      | 3       | orders                |
      | 3       | orders in an outage   |
      | 3       | keep-alive callers    |
      | 8       | keep-alive callers    |

  Scenario: a second signal ends a shutdown at once
    Given a shutting-down fleet of 2 daemons
    And shutting-down load of streams
    When the shutting-down daemon gets SIGTERM
    And the shutting-down daemon gets SIGTERM again
    Then the shutting-down daemon exits with code 1 within 1 s
