Feature: Statuses of answers

  # Guards against an answer of a server in trouble whose status is none of HTTP's and that is taken for an answer.
  Scenario Outline: the <reader> takes no answer with the status <status>
    When the <reader> is sent an answer with the status <status> and the body <body>
    Then the answer with an odd status is not taken for one

    Examples:
      | reader                               | status | body                                            |
      | server that gets a request           | 000    | ok                                              |
      | server that gets a request           | 099    | ok                                              |
      | server that gets a request           | 600    | ok                                              |
      | server that gets a request           | 999    | ok                                              |
      | server asked for a reservation       | 000    | {"hold":"h1"}                                   |
      | server asked for a reservation       | 099    | {"hold":"h1"}                                   |
      | server asked for a reservation       | 600    | {"hold":"h1"}                                   |
      | server asked to prefill              | 000    | {"kvHandleId":"k1","tokens":1}                  |
      | server asked to prefill              | 600    | {"kvHandleId":"k1","tokens":1}                  |
      | server that gets an order            | 000    | {}                                              |
      | server that gets an order            | 099    | {}                                              |
      | plain server of the own interface    | 000    | ok                                              |
      | plain server of the own interface    | 099    | ok                                              |
      | plain server of the own interface    | 600    | ok                                              |
      | plain server of the own interface    | 999    | ok                                              |
      | log service                          | 000    | {"records":[],"endOffset":0,"earliestOffset":0} |
      | log service that gets records        | 000    | {"firstOffset":1}                               |
      | weight store                         | 000    | {}                                              |
      | platform store                       | 000    | {"items":[],"more":false,"end":0}               |
      | platform store                       | 600    | {"items":[],"more":false,"end":0}               |
      | platform store that gets records     | 000    | {"offset":1,"end":2}                            |
      | peer state                           | 000    | {"settlingMs":0}                                |

  # Guards against a server that answers at once while a long request is still being written, and resets the
  # connection: what has arrived of an answer without a length is not the whole answer.
  Scenario Outline: an answer to the <reader> that is reset during a long upload is not taken for whole
    When the <reader> uploads 4 MB and gets a 200 without a length that is reset after <delay> ms
    Then the answer with an odd status is not taken for one

    Examples:
      | reader                            | delay |
      | server that gets a request        | 0     |
      | server that gets a request        | 20    |
      | server that gets a request        | 100   |
      | server asked to prefill           | 0     |
      | server asked to prefill           | 20    |
      | plain server of the own interface | 0     |
      | plain server of the own interface | 20    |
      | plain server of the own interface | 100   |
