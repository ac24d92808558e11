Feature: Servers in evacuated availability zones get nothing new

  # Guards against requests that wait for servers which may not get them.
  Scenario Outline: a request is refused at once when all <stage> servers are in evacuated zones
    Given a relay with <servers>
    And the zone of the "<stage>" servers of the relay is evacuated
    When a relay request of kind "<kind>" with 2 attempts arrives
    Then the relay sends it 0 times and the caller gets 503
    And the relay has refused it within 300 ms

    Examples:
      | stage  | kind       | servers                                                   |
      | plain  | idempotent | 2 plain servers that do "answer"                          |
      | decode | resumable  | 1 prefill engine and 2 decode engines that do "answer"    |

  # Guards against a run that begins on a reservation from before the evacuation.
  Scenario: a reservation in a zone that has been evacuated since is not used
    Given a relay with 1 prefill engine and 2 decode engines that do "answer"
    And the relay's reserved engine is in a zone that is evacuated while the prompt is read
    When a relay request of kind "resumable" with 2 attempts arrives
    Then the relay sends it 1 times and the caller gets 200
    And the relay has sent nothing to the evacuated engine and released its reservation
