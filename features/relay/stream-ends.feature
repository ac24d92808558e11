Feature: Ends of streams without a length

  # Guards against a stream whose connection is reset right after a complete event and that is taken for
  # whole.
  Scenario Outline: a stream from servers <engines> engines whose connection <end> after a <event> event is broken off
    Given stream servers <engines> engines, whose connection <end> after a <event> event
    When a stream is requested that may not be resumed
    Then the stream's caller gets <seen>
    And the stream was sent 1 time

    Examples:
      | engines | event | end              | seen             |
      | with    | short | is reset at once | a reset          |
      | with    | short | is reset later   | a reset          |
      | with    | long  | is reset later   | a reset          |
      | without | short | is reset at once | the status 502   |
      | without | short | is reset later   | the status 502   |
      | without | long  | is reset later   | a reset          |

  Scenario Outline: a stream from servers <engines> engines that is closed after a <event> event is whole
    Given stream servers <engines> engines, whose connection is closed after a <event> event
    When a stream is requested that may not be resumed
    Then the stream's caller gets the events "1", whole
    And the stream was sent 1 time

    Examples:
      | engines | event |
      | with    | short |
      | with    | long  |
      | without | short |
      | without | long  |

  Scenario Outline: a stream whose connection <end> after an event goes on at another engine
    Given stream servers with engines, whose connection <end> after a short event
    When a stream is requested that may be resumed
    Then the stream's caller gets the events "1,2,3", whole
    And the stream was sent 2 times

    Examples:
      | end              |
      | is reset at once |
      | is reset later   |
