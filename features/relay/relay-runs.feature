Feature: Runs of the relay

  # Guards against capacities that are learned from nothing: each VM must pass on what it observes.
  Scenario: a relay reports the answers and refusals of its servers
    Given a relay with 3 plain servers that do "not-run, answer, answer"
    When a relay request of kind "once" with 1 attempt arrives
    And a relay request of kind "once" with 1 attempt arrives
    Then the relay reports for its servers 2 light answers and 1 refusals

  Scenario Outline: a request that may run only once is sent again only when it has certainly not run
    Given a relay with 3 plain servers that do "<steps>"
    When a relay request of kind "<kind>" with <attempts> attempts arrives
    Then the relay sends it <sends> times and the caller gets <status>

    Examples:
      | kind       | attempts | steps                          | sends | status |
      | once       | 1        | answer                         | 1     | 200    |
      | once       | 3        | broken, answer                 | 1     | 502    |
      | once       | 3        | silent, answer                 | 1     | 502    |
      | once       | 3        | failure status, answer         | 1     | 500    |
      | once       | 1        | not-run, answer                | 2     | 200    |
      | once       | 1        | unsent, answer                 | 2     | 200    |
      | once       | 1        | gone, answer                   | 2     | 200    |
      | once       | 1        | not-run, broken, answer        | 2     | 502    |
      | once       | 1        | not-run                        | 3     | 503    |
      | idempotent | 2        | broken, answer                 | 2     | 200    |
      | idempotent | 2        | failure status, answer         | 2     | 200    |
      | idempotent | 2        | failure status, failure status | 2     | 500    |
      | idempotent | 2        | broken, broken, answer         | 2     | 502    |
      | idempotent | 1        | broken, answer                 | 1     | 502    |

  Scenario Outline: a stream is sent again only when it has certainly not run, or when it is resumable
    Given a relay with 1 prefill engine and 3 decode engines that do "<steps>"
    When a relay request of kind "<kind>" with <attempts> attempts arrives
    Then the relay sends it <sends> times and the caller gets <status>
    And the relay's caller has the events "<events>" and the answer is <end>

    Examples:
      | kind      | attempts | steps                 | sends | status | events | end   |
      | stream    | 1        | answer                | 1     | 200    | 1,2    | whole |
      | stream    | 1        | not-run, answer       | 2     | 200    | 1,2    | whole |
      | stream    | 1        | broken, answer        | 1     | 502    |        | whole |
      | stream    | 2        | stream breaks, answer | 1     | 200    | 1      | cut   |
      | resumable | 2        | stream breaks, answer | 2     | 200    | 1,2,3  | whole |
      | resumable | 1        | stream breaks, answer | 1     | 200    | 1      | cut   |
      | stream | 1 | stream ends inside an event | 1 | 200 | 1 | cut |
      | resumable | 2 | stream ends inside an event, answer | 2 | 200 | 1,2,3 | whole |

  # Guards against a stream without engines that its server breaks off inside an event and that looks complete.
  Scenario Outline: a stream without engines that does "<step>" is <end>
    Given a relay with 3 plain servers that do "<step>"
    When a relay request of kind "<kind>" with 1 attempts arrives
    Then the relay sends it 1 times and the caller gets <status>
    And the relay's caller has the events "<events>" and the answer is <end>

    Examples:
      | kind   | step                                         | status | events | end   |
      | stream | answer                                       | 200    | 1,2    | whole |
      | stream | stream ends inside an event                  | 502    |        | whole |
      | stream | stream ends inside an event after a long one | 200    | 1,2,3  | cut   |
      | stream | an event without end                         | 200    | 1      | cut   |
      | stream | text of another type                         | 200    |        | whole |
      | stream | failure status                               | 500    |        | whole |
      | once   | stream ends inside an event                  | 200    | 1,2    | whole |

  # Guards against the text of an error in the middle of a stream, and against an end that looks complete.
  Scenario Outline: a stream that broke off and is refused by the next server ends as cut
    Given a relay with 1 prefill engine and 3 decode engines that do "stream breaks, <step>"
    When a relay request of kind "resumable" with 2 attempts arrives
    Then the relay sends it 2 times and the caller gets 200
    And the relay's caller has the events "1" and the answer is cut
    And the relay's caller has no text of an error

    Examples:
      | step           |
      | failure status |
      | broken         |

  # Guards against logs that cannot tell whether an answer was passed on as it came from the server.
  Scenario Outline: the log says how much of an answer to a request of kind "<kind>" was passed on
    Given a relay with 1 plain server that do "<step>"
    When a relay request of kind "<kind>" with 1 attempt arrives
    Then the last decision about the relay's request names <bytes> bytes of a body with a marked end

    Examples:
      | kind       | step           | bytes |
      | once       | answer         | 30    |
      | idempotent | failure status | 29    |

  # Progress is an event that carries data: bytes alone prove nothing about the server's work.
  # Guards against a sound engine that pauses, as it does to make room, and whose stream is cut while its
  # caller still waits.
  Scenario Outline: a stream of kind "<kind>" whose events pause for 3.3 s is whole
    Given a relay with 1 prefill engine and 3 decode engines that do "a long pause"
    When a relay request of kind "<kind>" with <attempts> attempts arrives
    Then the relay sends it 1 times and the caller gets 200
    And the relay's caller has the events "1,2" and the answer is whole

    Examples:
      | kind                | attempts |
      | stream              | 1        |
      | patiently resumable | 1        |

  Scenario: a stream that pauses for 3.3 s goes on at another engine where it may be resumed
    Given a relay with 1 prefill engine and 3 decode engines that do "a long pause, answer"
    When a relay request of kind "patiently resumable" with 2 attempts arrives
    Then the relay sends it 2 times and the caller gets 200
    And the relay's caller has the events "1,2,3" and the answer is whole

  Scenario Outline: a stream with <step> ends when it makes no progress while its caller waits
    Given a relay with 1 prefill engine and 3 decode engines that do "<step>"
    When a relay request of kind "stream" with 1 attempts arrives
    Then the relay sends it 1 times and the caller gets 200
    And the relay's caller has the events "<events>" and the answer is <end>
    And the relay took between <least> and <most> ms

    Examples:
      | step                   | events      | end   | least | most |
      | slow events            | 1,2,2,2,2,2 | whole | 3500  | 4900 |
      | comments for ever      | 1           | cut   | 2900  | 4900 |
      | half an event for ever | 1           | cut   | 2900  | 4900 |
      | an event without end   | 1           | cut   | 0     | 3000 |

  Scenario: a stalled stream that may be resumed goes on at another engine
    Given a relay with 1 prefill engine and 3 decode engines that do "comments for ever, answer"
    When a relay request of kind "resumable" with 2 attempts arrives
    Then the relay sends it 2 times and the caller gets 200
    And the relay's caller has the events "1,2,3" and the answer is whole

  Scenario: a stream that breaks after its target resumes at another engine (pattern: servers dark in mid-stream)
    Given a relay with 1 prefill engine and 3 decode engines that do "stream breaks late, answer"
    When a relay request of kind "resumable" with 2 attempts arrives
    Then the relay sends it 2 times and the caller gets 200
    And the relay's caller has the events "1,2,3" and the answer is whole

  Scenario: a request ends at once and releases its reservations when its caller disconnects
    Given a relay with 1 prefill engine and 3 decode engines that do "hangs"
    When a relay request of kind "stream" with 1 attempts arrives and its caller disconnects after 50 ms
    Then the relay has ended the send within 100 ms and released its reservation and its prefill result

  Scenario: the deadline sent to a server shrinks by the time already spent
    Given a relay with 3 plain servers that do "not-run, answer"
    When a relay request of kind "once" with 1 attempts arrives that is 1000 ms old
    Then every relay send has at most 4000 ms left

  # Guards against requests that a stopping VM passes on just before it ends, and then cuts.
  Scenario Outline: a stopping relay refuses a <kind> request that may last longer than the relay, and serves the others
    Given a relay with <servers> that do "answer"
    When the relay stops in 2000 ms
    And a relay request of kind "<kind>" with 2 attempts arrives
    Then the relay sends it 0 times and the caller gets 503
    When a relay request of kind "<kind>" with 2 attempts arrives that is <age> ms old
    Then the relay sends it 1 times and the caller gets 200

    Examples:
      | kind       | servers                               | age  |
      | once       | 3 plain servers                       | 4000 |
      | idempotent | 3 plain servers                       | 4000 |
      | stream     | 3 plain servers                       | 4000 |
      | stream     | 1 prefill engine and 3 decode engines | 3200 |

  # Guards against requests whose connections just end with the process, also those that have not run.
  Scenario Outline: at the end of a stop, a <kind> request that <state> is answered <status>
    Given a relay with <servers> that do "hangs"
    When a relay request of kind "<kind>" with 1 attempts arrives and the relay ends all requests after 300 ms
    Then the relay's caller gets <status>
    And the relay took between 250 and 600 ms

    Examples:
      | kind   | state                     | servers                               | status |
      | once   | a server runs             | 3 plain servers                       | 502    |
      | stream | a server runs             | 1 prefill engine and 3 decode engines | 502    |
      | stream | waits for a decode engine | 1 prefill engine and 0 decode engines | 503    |

  # Guards against deadlines that a garbage collection removes, so that callers get no answer.
  Scenario Outline: a <kind> request that waits for a server during garbage collections ends at its deadline
    Given a relay with <servers> that do "hangs"
    And the relay has served 5000 requests of kind "<kind>" with 1 attempts
    When a relay request of kind "<kind>" with 1 attempts arrives that is 4000 ms old, with garbage collections until it ends
    Then the relay's caller gets 504
    And the relay took between 900 and 1500 ms

    Examples:
      | kind       | servers                                |
      | once       | 3 plain servers                        |
      | idempotent | 3 plain servers                        |

  # Guards a request that may run once: on a kept connection, a copy of the earlier refusal with the
  # same id would be taken for the answer to the second send.
  Scenario: a request that a server refused is sent to it again on a new connection only
    Given a relay with 1 prefill engine and 1 decode engines that do "not-run, answer"
    When a relay request of kind "stream" with 1 attempts arrives
    Then the relay sends it 2 times and the caller gets 200
    And the second send uses no connection that was open at the first

  # Guards against answers that nobody reads any more and that keep their servers at work (review/10 of 39b5b15).
  Scenario Outline: a <kind> request whose servers do "<steps>" leaves no answer open
    Given a relay with <servers> that do "<steps>"
    When a relay request of kind "<kind>" with <attempts> attempts arrives
    Then the relay sends it <attempts> times and the caller gets <status>
    And the relay has left no answer of a server open

    Examples:
      | kind       | servers                               | attempts | steps                                                          | status |
      | idempotent | 3 plain servers                       | 2        | failure status without end, answer                             | 200    |
      | idempotent | 3 plain servers                       | 3        | failure status without end, failure status without end, answer | 200    |
      | idempotent | 3 plain servers                       | 2        | failure status without end, failure status                     | 500    |
      | resumable  | 1 prefill engine and 3 decode engines | 2        | stream breaks, failure status without end                      | 200    |

  # Guards against a request that reaches a server long after it began to leave, because it waited for its prompt.
  Scenario Outline: a slot whose server <change> <ms> ms before the prompt is read is <use>
    Given a relay with 1 prefill engine and 2 decode engines that do "answer"
    And the relay's reserved engine <change> while a prompt is read, which takes <ms> ms
    When a relay request of kind "stream" with 1 attempt arrives
    Then the relay sends it 1 times and the caller gets 200
    And the relay's first reserved slot is <use>

    Examples:
      | change          | ms   | use      |
      | leaves          | 200  | used     |
      | leaves          | 1700 | given up |
      | loses its entry | 1700 | given up |
