Feature: Keys and teams

  # Guards P3: a request without a valid key runs on no server.
  Scenario Outline: requests with <key> are refused by every daemon
    Given a key-refusing fleet
    When key-refusing daemons get requests with "<key>" on all keyed routes
    Then key-refusing daemons answer 401 "<code>", not run
    And key-refusing fleet has run nothing, and runs the same requests with a good key

    Examples:
      | key                                  | code          |
      | no key                               | key_missing   |
      | an empty header                      | key_missing   |
      | the secret of another key            | key_unknown   |
      | a secret that is one character short | key_unknown   |
      | an unknown key id                    | key_unknown   |
      | a text that is no key                | key_unknown   |
      | a key without a secret               | key_unknown   |
      | a key in another scheme              | key_missing   |
      | two keys in one header               | key_missing   |
      | a key with a trailing word           | key_missing   |
      | a withdrawn key                      | key_withdrawn |
      | a key of a removed team              | key_withdrawn |

  # Guards P3: a withdrawal also ends requests in progress, whichever part of the fleet has failed.
  Scenario Outline: a withdrawn key stops working while <condition>
    Given a key-withdrawing fleet of 4 daemons with two keys of one team
    And key-withdrawing callers read a stream with each key through every daemon
    When the key-withdrawing operator withdraws one key while "<condition>"
    Then the key-withdrawing streams of that key end with an error event in time
    And key-withdrawing daemons refuse that key in time with "key_withdrawn", the last one with "key_withdrawn"
    And the key-withdrawing streams of the other key go on through 4 daemons

    Examples:
      | condition                                                         |
      | nothing is wrong                                                  |
      | the log is out                                                    |
      | the log never answers                                             |
      | the log loses its answers to appends                              |
      | one daemon cannot reach the one that was told                     |
      | one daemon cannot reach the log nor the one that was told         |
      | the log is out, and one daemon cannot reach the one that was told |

  # Guards P3: a daemon that cannot learn of a withdrawal must stop serving the keys that it knows.
  Scenario: a daemon that is cut off stops serving keys
    Given a key-withdrawing fleet of 4 daemons with two keys of one team
    And key-withdrawing callers read a stream with each key through every daemon
    When the key-withdrawing operator withdraws one key while "one daemon is cut off"
    Then the key-withdrawing streams of that key end with an error event in time
    And key-withdrawing daemons refuse that key in time with "key_withdrawn", the last one with "isolated"
    And the key-withdrawing daemon that is cut off is not ready and still serves open routes
    And the key-withdrawing streams of the other key go on through 3 daemons
    And the key-withdrawing daemon refuses that key as withdrawn when it is connected again

  # Guards P3: a daemon must not learn of a key without also learning of its withdrawal.
  Scenario Outline: a daemon that starts after a withdrawal does not run the key, <condition>
    Given a key-withdrawing fleet of 3 daemons with two keys of one team
    When the key-withdrawing operator withdraws one key while "<condition>"
    And a key-withdrawing daemon is added
    Then the key-withdrawing daemon that was added never runs that key

    Examples:
      | condition        |
      | nothing is wrong |
      | the log is out   |

  # Guards P3: the team of a request is determined by its key and by nothing else in the request.
  Scenario: a key of one team never runs for another
    Given a team-separating fleet of 2 daemons
    When team-separating callers of two teams send 5 rounds at once and claim the other team
    Then every team-separating attempt and effect ran for the team of its key

  # Guards P3: the text of a key is known only to the caller and to the daemon that it calls.
  Scenario: a key is written nowhere and sent to nobody
    Given a confidential fleet of 3 daemons that log everything and send metrics
    When confidential keys are used in a mixture of requests at every daemon
    And a confidential key is withdrawn by its id, and its text is given to an operator by mistake
    Then no confidential key is in any record, log line, trace, datagram, stream or message
