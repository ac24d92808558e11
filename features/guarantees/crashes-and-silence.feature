Feature: Requests that crash servers and connections that go silent
  One request may end server after server when its caller sends it again, and a connection that
  never closes may hold requests for ever.

  # The engine of a pool of one dies again within the time in which reports are merged into one
  # death, so only its incarnation tells the two deaths apart.
  Scenario Outline: a request that crashes each server at <path>, <engines> in each pool, is refused after two deaths
    Given a crash-prone fleet of <engines> engines in each pool that end at <path>
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
