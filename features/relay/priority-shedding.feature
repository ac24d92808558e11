Feature: Refusals of an overloaded plain pool by priority

  # Guards against urgent requests that are refused while others of the same pool are served (pattern: urgent
  # requests beside others), and against routes of low priority that get no answer at all.
  Scenario Outline: <overall> of the requests to a pool are refused, <mix>
    Given a shedding pool that gets <arrivals> in a second
    When the shedding pool has to refuse <overall> of its requests
    Then the shedding pool refuses <refused>
    And the shedding pool refuses <overall> of all requests

    Examples:
      | mix                                 | arrivals          | overall | refused                |
      | of one priority                     | 0:50              | 0.3     | 0:0.3                  |
      | the low priority has enough         | 0:50 2:50         | 0.2     | 0:0 2:0.4              |
      | the low priority keeps its part     | 0:50 2:50         | 0.6     | 0:0.36 2:0.84          |
      | urgent requests are most            | 0:90 2:10         | 0.3     | 0:0.253 2:0.72         |
      | three priorities                    | 0:20 1:30 2:50    | 0.4     | 0:0 1:0.067 2:0.76     |
      | nothing has to be refused           | 0:50 2:50         | 0       | 0:0 2:0                |
      | everything has to be refused        | 0:50 2:50         | 1       | 0:1 2:1                |

  Scenario: priorities that have sent nothing lately have no part
    Given a shedding pool that gets 0:50 2:50 in a second
    When the shedding pool gets 0:50 in the 60 s afterwards
    And the shedding pool has to refuse 0.3 of its requests
    Then the shedding pool refuses 0:0.3
