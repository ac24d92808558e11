Feature: Numbers from outside

  # Guards against a number without end that makes sums infinite or NaN for good: machines that then send
  # digests nobody can read, take command at once or refuse all streams (review/6).
  Scenario Outline: a request with the header <header> is answered with <status>, and streams are served on
    Given a platform with a store, 1 prefill engine, 2 decode engines and 1 plain server
    And a router on the platform
    When requests with the header "<header>" are sent to all routes of the router
    Then all of them are answered with <status>
    And 5 streams in a row are served afterwards

    Examples:
      | header                         | status |
      | Token-Count: 900,40            | 200    |
      | Token-Count: 900,many          | 200    |
      | Token-Count: 9{400},40         | 400    |
      | Token-Count: 900,9{400}        | 400    |
      | Token-Count: 10000001,40       | 400    |
      | Length-Hint: 40                | 200    |
      | Length-Hint: 9{400}            | 400    |
      | Length-Hint: 1e400             | 400    |
      | Deadline-Ms: 9{400}            | 400    |
      | Prompt-Prefix: ab:10,cd:20     | 200    |
      | Prompt-Prefix: ab:10,cd:9{400} | 400    |

  Scenario: texts are read as numbers within their range or not at all
    Then 5000 texts are read as numbers within their range or not at all

  # Guards against one entry that cannot be read and removes its sender from the fleet.
  Scenario: a digest with any value at any place of its work is read, without the entries concerned
    Then 2000 digests with a foreign value in their work are read, and lose no other entry

  # Guards against parts of the fleet's work that disappear without a trace.
  Scenario Outline: a message with <fault> is told in logs and metrics
    When 40 messages with <fault> are read within 9 s, and 1 later
    Then they are counted as "<metric>", and 2 log lines name "<entries>" and count 41 messages

    Examples:
      | fault                             | metric           | entries   |
      | a load without end                | fleet.partial    | loads.1   |
      | a number of requests that is text | fleet.partial    | waiting   |
      | spending below all ranges         | fleet.partial    | spent.t1  |
      | a VM without a name               | fleet.unreadable |           |
      | half of its bytes                 | fleet.unreadable |           |

  Scenario: loads that are added and removed in any order leave none
    Then 500 series of loads within the ranges leave no load
