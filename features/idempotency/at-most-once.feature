Feature: Requests that may not be repeated

  Scenario: no schedule of daemons, log faults and pauses sends a request twice
    # Guards against dispatching an attempt although another attempt with the same key came first.
    Given an idempotency model with 3 daemons that share one log
    When the idempotency model runs 3000 schedules
    Then in every schedule each idempotency key was sent at most once
    And in every schedule an attempt that was refused as not run was not sent
    And in every schedule all answers to one idempotency key are equal

  Scenario Outline: an idempotency key is refused before anything is written
    # Guards against accepting keys whose earlier use may have been evicted.
    When the idempotency key is "<key>" at an age of <age> ms and a window of 60000 ms
    Then the idempotency check says "<result>"

    Examples:
      | key      | age     | result                         |
      | none     | 0       | idempotency_key_missing        |
      | text     | 0       | idempotency_key_invalid        |
      | uuid v4  | 0       | idempotency_key_invalid        |
      | uuid v7  | 0       | accepted                       |
      | uuid v7  | 59999   | accepted                       |
      | uuid v7  | 60001   | idempotency_key_expired        |
      | uuid v7  | -59000  | accepted                       |
      | uuid v7  | -61000  | idempotency_key_invalid        |

  Scenario Outline: a repeated request is decided by the records of the first attempt
    # Guards against rerunning a request whose first attempt may have run.
    Given an idempotency ledger that holds "<first>" of the first attempt
    When a second attempt with <body> body is read
    Then the idempotency ledger decides "<decision>" for the second attempt

    Examples:
      | first               | body      | decision |
      | intent              | the same  | wait     |
      | intent, abandoned   | the same  | dispatch |
      | intent, unknown     | the same  | unknown  |
      | intent, outcome     | the same  | replay   |
      | intent              | another   | reused   |
      | intent, outcome     | another   | reused   |
      | intent, abandoned   | another   | dispatch |
      | outcome             | the same  | dispatch |
      | intent, outcome, abandoned | the same | replay |
