@whole-answers
Feature: Each caller gets the whole answer to its own request, once (P2, P5, P6)

  Scenario Outline: engines answer <path> with <faults>
    Given the whole answers of a fleet with 1 daemon
    When the whole answers to 24 completions are asked for while engines answer "<path>" with "<faults>"
    Then the whole answers are 24, each to its own request

    Examples:
      | path             | faults                         |
      | /v1/decode       | late, crossed, duplicate, gap  |
      | /v1/decode       | cut, stall                     |
      | /v1/decode       | reset, lost-answer             |
      | /v1/prefill      | reset, lost-answer             |
      | /v1/transfers    | reset, lost-answer             |
      | /v1/reservations | reset, lost-answer             |

  Scenario: time-outs race with the answers of engines
    Given the whole answers of a fleet with 1 daemon
    When the whole answers to 24 completions are asked for while engines answer around their time-out
    Then the whole answers are 24, each to its own request

  Scenario Outline: the connection to an engine is cut <place>
    Given the whole answers of a fleet with 1 daemon
    When the whole answers to 24 completions are asked for while connections are cut <place>
    Then the whole answers are 24, each to its own request

    Examples:
      | place                         |
      | before the request body       |
      | in the request body           |
      | after the request body        |
      | in the headers of the answer  |
      | in mid-stream                 |
      | before the end of the answer  |

  Scenario: many more requests come than there are decode slots
    Given the whole answers of a fleet with 1 daemon and 2 decode slots
    When the whole answers to 80 completions are asked for
    Then the whole answers are fewer than 80, and the others are refused correctly
    And the whole answers hold no memory afterwards

  Scenario Outline: the connection to a yard server is cut <place>
    Given the whole answers of a fleet with 2 daemons
    When the whole answers to 8 lookups and 8 orders are asked for while connections are cut <place>
    Then the whole answers to lookups are those that the yard gave
    And the whole answers to orders have at most one effect each, also when they are sent again

    Examples:
      | place                         |
      | before the request body       |
      | in the request body           |
      | after the request body        |
      | in the headers of the answer  |
      | before the end of the answer  |

  Scenario: time-outs race with the answers of a yard server
    Given the whole answers of a fleet with 2 daemons
    When the whole answers to 12 orders are asked for while the yard answers around its time-out
    Then the whole answers to orders have at most one effect each, also when they are sent again
