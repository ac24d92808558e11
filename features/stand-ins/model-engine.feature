@engine-stand-in
Feature: Model engine stand-in

  Background:
    Given the prefill engine runs with "--role prefill"
    And the decode engine runs with "--role decode --token-ms 5 --slots 2 --blocks 4 --reservation-ms 400"

  Scenario: an attempt decodes the answer to its own prompt and leaves no holds
    When the engine attempt "a1" decodes 12 tokens of "hello there"
    Then the engine answer of "a1" is complete and belongs to "hello there" with 12 tokens
    And the decode engine holds nothing
    And the prefill engine holds nothing
    And the decode engine records that "a1" ended as "complete" with 12 tokens
    And the prefill engine records that "a1" ended as "exported" with 0 tokens
    And the engines wasted 0 prefill tokens

  Scenario: an engine with both roles transfers no bytes
    Given the decode engine runs with "--role both --token-ms 5"
    When the engine attempt "a1" decodes 4 tokens of "hello" on the decode engine only
    Then the engine answer of "a1" is complete and belongs to "hello" with 4 tokens
    And the engine transfer of "a1" moved 0 bytes

  Scenario: a prompt can set the length of its answer
    When the engine attempt "a1" decodes 50 tokens of "stop-after=5"
    Then the engine answer of "a1" is complete and belongs to "stop-after=5" with 5 tokens
    And the engine answer of "a1" ends with "stop"

  Scenario: the load header reflects the holds
    When the engine attempt "a1" reserves 3 blocks
    Then the engine call was answered 200
    And the engine load header shows 1 slots and 1 blocks at level 3

  Scenario: a repeated reservation call returns the same reservation
    When the engine attempt "a1" reserves 1 blocks
    And the engine attempt "a1" reserves 1 blocks
    Then the engine call was answered 200
    And the decode engine has 1 holds

  Scenario Outline: a reservation is refused when there is no room for <reason>
    When the engine attempt "a1" reserves <first> blocks
    And the engine attempt "a2" reserves <second> blocks
    And the engine attempt "a3" reserves <third> blocks
    Then the engine call was answered <status>

    Examples:
      | reason         | first | second | third | status |
      | slots          | 1     | 1      | 1     | 429    |
      | blocks         | 2     | 3      | 3     | 429    |
      | the one too big | 5     | 5      | 4     | 200    |

  Scenario: an unused reservation expires
    When the engine attempt "a1" reserves 1 blocks
    Then the decode engine has 1 holds
    And the decode engine holds nothing
    And the decode engine records that "a1" ended as "expired" with 0 tokens

  Scenario: a prefill result that is transferred too late has expired and counts as wasted
    Given the prefill engine runs with "--role prefill --prefill-result-ms 50"
    When the engine attempt "a1" prefills "12345678" and transfers it too late
    Then the engine call was answered 409
    And the prefill engine holds nothing
    And the engines wasted 2 prefill tokens

  Scenario: the hold of a client that disconnects remains until it cancels
    When the engine attempt "a1" decodes 400 tokens of "hello" and disconnects after 3
    Then the decode engine has 1 holds
    When the engine attempt "a1" is cancelled
    Then the decode engine holds nothing
    And the decode engine records that "a1" was cancelled

  Scenario: the hold of a client that disconnects without cancelling remains until the generation ends
    When the engine attempt "a1" decodes 60 tokens of "hello" and disconnects after 3
    Then the decode engine has 1 holds
    And the decode engine holds nothing
    And the decode engine records that "a1" ended as "complete" with 60 tokens

  Scenario: the idle filter of holds excludes attempts with an open call
    When the engine attempt "a1" decodes 60 tokens of "hello" and disconnects after 3
    Then the decode engine lists holds by filter:
      | filter                        | holds |
      |                               | 1     |
      | idleMs=1                      | 1     |
      | idleMs=60000                  | 0     |
      | idleMs=60000&gone=OWNER       | 1     |
      | idleMs=60000&gone=vm9/another | 0     |
    And during a decode of 200 tokens the decode engine lists holds by filter:
      | filter                        | holds |
      |                               | 1     |
      | idleMs=1                      | 0     |
      | idleMs=1&gone=OWNER           | 1     |

  Scenario: a broken stream is resumed where it stopped
    When the engine attempt "a1" decodes 30 tokens of "hello" and disconnects after 3
    And the engine attempt "a1" resumes 30 tokens from index 3
    Then the engine answer of "a1" is complete and belongs to "hello" with 30 tokens

  Scenario Outline: a cancelled attempt stays cancelled for a later <call>
    When the engine attempt "a1" is cancelled
    And the engine attempt "a1" sends a later <call>
    Then the engine call was answered 410
    And the decode engine holds nothing
    And the prefill engine holds nothing

    Examples:
      | call        |
      | reservation |
      | prefill     |
      | transfer    |
      | decode      |

  Scenario: a cancel ends a prefill that is running
    Given the prefill engine runs with "--role prefill --prefill-tokens-per-second 10"
    When the engine attempt "a1" is cancelled while it prefills 100 tokens
    Then the engine call was answered 410
    And the prefill engine holds nothing

  Scenario: a prefill of high priority overtakes a waiting one
    Given the prefill engine runs with "--role prefill --prefill-tokens-per-second 100"
    When the engine prefills 10 tokens each with the priorities "0, 2, 1"
    Then the engine prefills ended in the order "0, 1, 2"

  Scenario: a cached prompt prefix is not computed again
    Given the prefill engine runs with "--role prefill --block-tokens 2 --cache-blocks 3 --cache-event-delay-ms 0"
    When the engine attempt "a1" prefills "aaaaaaaabbbbbbbb"
    And the engine attempt "a2" prefills "aaaaaaaacccccccc"
    Then the engine prefill counted 4 tokens, 2 of them cached
    And the engine cache events are "stored, stored, stored"

  Scenario: the prefix cache evicts the least recently used prefix and omits events
    Given the prefill engine runs with "--role prefill --block-tokens 2 --cache-blocks 1 --cache-event-delay-ms 0 --cache-event-gap-every 2"
    When the engine attempt "a1" prefills "aaaaaaaa"
    And the engine attempt "a2" prefills "bbbbbbbb"
    And the engine attempt "a3" prefills "aaaaaaaa"
    Then the engine prefill counted 2 tokens, 0 of them cached
    And the engine cache events are "stored, evicted, evicted"

  Scenario: a transfer is limited by the rate of the link
    Given the prefill engine runs with "--role prefill --kv-bytes-per-token 100000 --link-bytes-per-second 1000000"
    When the engine attempt "a1" decodes 1 tokens of "12345678"
    Then the engine transfer of "a1" moved 200000 bytes in 150 to 1500 ms

  Scenario: the reported load lags behind
    Given the decode engine runs with "--role decode --load-lag-ms 300"
    When the engine attempt "a1" reserves 3 blocks
    Then the engine load header shows 20 slots and 400 blocks at level 0
    And the decode engine reports 19 free slots later

  Scenario Outline: an engine that <behaviour> fencing numbers answers an old order with <status>
    Given the decode engine runs with "<options>"
    When the engine is ordered to load "m2" with the fencing number 5
    And the engine is ordered to load "m3" with the fencing number 4
    Then the engine call was answered <status>

    Examples:
      | behaviour | options             | status |
      | checks    | --checks-fencing    | 409    |
      | ignores   | --no-checks-fencing | 200    |

  Scenario: a restart discards holds and changes the incarnation
    When the engine attempt "a1" reserves 1 blocks
    And the decode engine is restarted by its state
    Then the decode engine holds nothing
    And the decode engine has a new incarnation

  Scenario: draining is reported
    When the decode engine gets the state '{"draining":true}'
    And the engine attempt "a1" reserves 1 blocks
    Then the engine load header says draining

  Scenario Outline: a decode stream with the fault <kind>
    Given the decode engine has the fault '{"kind":"<kind>","path":"/v1/decode","count":1}'
    When the engine attempt "a1" decodes 6 tokens of "hello"
    Then the engine stream had the own indexes "<indexes>" and <foreign> foreign events
    And the engine stream <end>

    Examples:
      | kind      | indexes             | foreign | end                             |
      | cut       | 0, 1, 2             | 0       | broke off without an end marker |
      | stall     | 0, 1, 2             | 0       | broke off without an end marker |
      | late      | 0, 1, 2, 3, 4, 5    | 1       | had its end marker              |
      | crossed   | 0, 1, 2, 3, 4, 5    | 1       | had its end marker              |
      | duplicate | 0, 1, 2, 3, 3, 4, 5 | 0       | had its end marker              |
      | gap       | 0, 1, 2, 4, 5       | 0       | had its end marker              |

  Scenario Outline: the text of crash-on ends the <engine> engine
    Given the <engine> engine has the fault '{"kind":"crash-on","text":"boom"}'
    When the engine attempt "a1" decodes 2 tokens of "a boom inside" and the engine crashes
    Then the <engine> engine process has ended by "SIGKILL"

    Examples:
      | engine  |
      | prefill |
      | decode  |
