Feature: Requests that crash servers and connections that go silent
  A request that crashes its server crashes one server after another if its caller repeats it, and
  requests on a silent connection that never closes may wait forever.

  # In a pool of one engine, the engine dies again within the period in which reports are merged into
  # one death, so only its incarnation distinguishes the two deaths.
  Scenario Outline: a request that crashes each server at <path>, <engines> in each pool, is refused after two deaths
    Given a crash-prone fleet of <engines> engines in each pool that crash at <path>
    And crash-prone bystanders that run on the engines
    When the crash-prone request is sent again and again through all daemons
    Then it is refused as quarantined after at most 2 crash-prone engine deaths
    And every crash-prone bystander is answered whole, at the latest when it is sent again

    Examples:
      | path        | engines |
      | /v1/prefill | 3       |
      | /v1/decode  | 3       |
      | /v1/prefill | 1       |
      | /v1/decode  | 1       |

  Scenario Outline: open connections to <target> that go silent for good hold up no later request
    Given a silence-prone fleet with connections in use
    When the silence-prone connections to <target> go silent for good
    Then every silence-prone request ends within 8 s
    And every silence-prone daemon answers all kinds of requests within 3 s
    And no silence-prone member is removed

    Examples:
      | target         |
      | engines        |
      | plain services |
      | the log        |
      | peers          |

  Scenario Outline: callers that go silent for good, <state>, free their connections
    Given a silent-client daemon with room for 4 connections of callers
    When silent-client callers take all connections, <state>
    Then the silent-client daemon answers new callers within 4 s

    Examples:
      | state                    |
      | nothing sent             |
      | part of the headers sent |
      | part of the body sent    |
      | answers not read         |

  Scenario: operators that go silent for good free their connections
    Given a silent-client daemon with room for 4 connections of callers
    When silent-client operators take all connections
    Then the silent-client daemon answers new operators within 12 s

  # Without its own deadline the command would wait for as long as its connection is open.
  Scenario Outline: <command> ends when its connection goes silent for good
    Given a silent-client daemon with room for 4 connections of callers
    When the silent-client operator runs "<command>" on a connection that goes silent
    Then the silent-client command ends with <code> and "<text>" within 14 s

    Examples:
      | command                | code | text              |
      | status                 | 5    | cannot be reached |
      | wait 1 --timeout 1000  | 5    | cannot be reached |
      | preset switch ordinary | 1    | unknown           |
      | key withdraw k001      | 1    | unknown           |
