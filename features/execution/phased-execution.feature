Feature: Model requests in phases

  Scenario Outline: an answer is complete despite <fault> on <path>
    Given phased execution over 2 engines
    And phased execution meets the faults "<fault>" on "<path>"
    When phased execution runs a request
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution leaves no holds and settles each grant once
    And phased execution counted <wasted> wasted prompt tokens

    Examples:
      | path         | fault               | wasted |
      | none         | none                | 0      |
      | reservations | busy                | 0      |
      | reservations | reset               | 0      |
      | reservations | lost                | 0      |
      | reservations | silent              | 0      |
      | reservations | headers-only        | 0      |
      | reservations | half-body           | 0      |
      | prefill      | busy                | 0      |
      | prefill      | reset               | 0      |
      | prefill      | lost                | 0      |
      | prefill      | silent              | 0      |
      | prefill      | headers-only        | 0      |
      | prefill      | half-body           | 0      |
      | prefill      | crossed             | 0      |
      | transfers    | expired             | 10     |
      | transfers    | reset               | 10     |
      | transfers    | silent              | 10     |
      | transfers    | crossed             | 10     |
      | decode       | reset               | 0      |
      | decode       | silent              | 0      |
      | decode       | cut                 | 0      |
      | decode       | no-end              | 0      |
      | decode       | stall               | 0      |
      | decode       | gap                 | 0      |
      | decode       | late                | 0      |
      | decode       | crossed             | 0      |
      | decode       | duplicate           | 0      |
      | decode       | cut, cut            | 0      |
      | decode       | expired             | 0      |
      | decode       | reset, reset, reset | 0      |

  Scenario: an answer that cannot be resumed ends with an error event
    Given phased execution over 2 engines
    And phased execution meets the faults "cut, reset, reset" on "decode"
    When phased execution runs a request
    Then phased execution ends with the error "server_failed" and run "unknown"
    And phased execution leaves no holds and settles each grant once

  Scenario: a failure before decode is reported as not run
    Given phased execution over 1 engines
    And phased execution meets the faults "reset" on "prefill"
    When phased execution runs a request on engines that then refuse
    Then phased execution ends with the error "server_failed" and run "not run"

  Scenario: a debit that is too old to send is given back and made again
    Given phased execution over 2 engines
    And phased execution gets 2 grants that cannot be sent
    When phased execution runs a request
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution was admitted 3 times with the same arrival time
    And phased execution leaves no holds and settles each grant once

  # Guards against requests that lose their queue position and decode reservation on a VM whose event
  # loop lags: each time the debit became too old during the reservation, they started over at the end.
  Scenario: a debit that became too old during the reservation is renewed and the reservation kept
    Given phased execution over 2 engines
    And phased execution gets a grant that can be sent after 1 renewal
    When phased execution runs a request
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution was admitted 1 time and made 1 reservation

  Scenario: a request whose first token cannot arrive before its deadline is refused before the prefill
    Given phased execution over 2 engines
    When phased execution runs a request that arrived 2000 ms ago
    Then phased execution ends with the error "overloaded" and run "not run"
    And phased execution sent no prefill
    And phased execution leaves no holds and settles each grant once

  Scenario Outline: tokens beyond the estimate are debited, <debit>
    Given phased execution over 2 engines
    And phased execution has tokens to extend a grant: "<tokens>"
    When phased execution runs a request
    Then phased execution extended its grant by 2 and settled <used> tokens
    And phased execution leaves no holds and settles each grant once

    Examples:
      | debit       | tokens | used |
      | granted     | yes    | 14   |
      | not granted | no     | 10   |

  Scenario Outline: <event> during the answer releases everything
    Given phased execution over 2 engines
    And phased execution meets the faults "stall, stall, stall" on "decode"
    When phased execution runs a request and "<event>" occurs during the answer
    Then phased execution ends with the error "<code>" and run "unknown"
    And phased execution leaves no holds and settles each grant once

    Examples:
      | event          | code          |
      | client abort   | cancelled     |
      | key withdrawal | key_withdrawn |
      | reincarnation  | isolated      |

  Scenario Outline: a lost cancel call is repeated after <fault>
    Given phased execution over 2 engines
    And phased execution meets the faults "<fault>" on "cancel"
    And phased execution meets the faults "lost" on "prefill"
    When phased execution runs a request
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution leaves no holds and settles each grant once

    Examples:
      | fault         |
      | reset, reset  |
      | silent, reset |
      | lost          |

  Scenario: a call that takes effect after its cancel call is cancelled again
    Given phased execution over 1 engines
    And phased execution meets the faults "late-effect" on "reservations"
    When phased execution runs a request that is aborted during its reservation
    Then phased execution ends with the error "cancelled" and run "not run"
    And phased execution held memory after its first cancel call
    And phased execution leaves no holds and settles each grant once

  Scenario: the death of an engine counts once against the request that runs there
    Given phased execution over 2 engines
    And phased execution meets the faults "stall" on "decode"
    When phased execution runs a request and "engine death" occurs during the answer
    Then phased execution ends with the error "server_failed" and run "unknown"
    And phased execution reported 1 death with the fingerprint

  Scenario Outline: a request that crashes an engine on <path> is admitted again after the report
    Given phased execution over 3 engines
    And phased execution meets the faults "crash" on "<path>"
    When phased execution runs a request
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution reported 1 death with the fingerprint
    And phased execution knew of "0, 1" deaths at its admissions
    And phased execution leaves no holds and settles each grant once

    Examples:
      | path      |
      | prefill   |
      | transfers |
      | decode    |

  Scenario: stopping waits for the requests in progress
    Given phased execution over 2 engines
    And phased execution meets the faults "silent" on "prefill"
    When phased execution runs a request while it stops
    Then phased execution answers "t0 t1 t2 t3"
    And phased execution has stopped with 0 requests in progress

  Scenario Outline: the watch reports <deaths> deaths when a lost engine then is <state>
    Given a death watch with the requests "one, two" at the engine
    When the death watch loses 2 connections and finds the engine "<state>"
    Then the death watch reported "<reported>"

    Examples:
      | state     | deaths | reported |
      | refusing  | 1      | one two  |
      | restarted | 1      | one two  |
      | alive     | 0      |          |
      | silent    | 0      |          |
