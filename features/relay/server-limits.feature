Feature: Servers that name a limit for the requests of all VMs together

  # Guards against servers that get more requests than they take, because each VM counts only its own.
  Scenario Outline: <vms> VMs before <kind> servers (pattern: slow servers that take a few requests a second)
    Given a simulated fleet of <vms> VMs
    When servers of kind <kind> that name limits get four times as many requests through the simulated fleet, with seed <seed>
    Then no server gets more requests than its limit allows in any window
    And the servers with limits get at least 50% of what they take
    And all VMs of the simulated fleet use the servers without limits within 5000 ms of their end

    Examples:
      | vms | kind   | seed |
      | 1   | plain  | 1    |
      | 2   | engine | 2    |
      | 8   | plain  | 3    |
      | 8   | engine | 4    |
      | 40  | plain  | 5    |
      | 40  | engine | 6    |
      | 195 | plain  | 7    |
      | 195 | engine | 8    |

  # Guards against a VM that knows neither the limits nor the others when it starts.
  Scenario Outline: a VM joins <vms> VMs before <kind> servers (pattern: a VM is added while servers are slow)
    Given a simulated fleet of <vms> VMs
    When servers of kind <kind> that name limits get four times as many requests through the simulated fleet while a VM joins it, with seed <seed>
    Then no server gets more requests than its limit allows in any window

    Examples:
      | vms | kind   | seed |
      | 2   | plain  | 11   |
      | 8   | engine | 12   |
      | 40  | plain  | 13   |

  # Guards against sums that hold only when all VMs know at once what the others have sent.
  Scenario Outline: <vms> VMs whose digests take <delay> ms (pattern: late digests while servers are slow)
    Given a simulated fleet of <vms> VMs
    And datagrams of the simulated fleet that take <delay> ms
    When servers of kind <kind> that name limits get four times as many requests through the simulated fleet while a VM joins it, with seed <seed>
    Then no server gets more requests than its limit allows in any window

    Examples:
      | vms | kind   | delay | seed |
      | 8   | plain  | 400   | 21   |
      | 40  | engine | 500   | 22   |

  # Guards against requests that wait, or are lost, at a VM whose servers have named limits.
  Scenario: requests beyond the limits of all plain servers are refused at once as not run
    Given a relay with 3 plain servers that do "answer"
    And the relay's all servers have named a limit of 1 requests a second
    When 60 relay requests of kind "once" with 1 attempts arrive at once
    Then no server of the relay gets more than 11 sends and 11 prompts
    And the relay refuses the others of 60 callers within 500 ms, to retry after at most 4000 ms

  Scenario: requests go to the plain servers that have named no limit
    Given a relay with 3 plain servers that do "answer"
    And the relay's s0 server has named a limit of 0 requests a second
    When 20 relay requests of kind "once" with 1 attempts arrive at once
    Then each of the relay's 20 callers gets 200
    And the relay's server "s0" gets at most 5 sends

  Scenario: streams go to the engines that have named no limit
    Given a relay with 1 prefill engine and 4 decode engines that do "answer"
    And the relay's e0, e1 servers have named a limit of 0 requests a second
    When 12 relay requests of kind "stream" with 1 attempts arrive at once
    Then each of the relay's 12 callers gets 200
    And the relay's server "e1" gets at most 5 sends
    And no server of the relay gets more than 12 sends and 5 prompts

  Scenario: streams beyond the limits of all engines are refused at once as not run
    Given a relay with 1 prefill engine and 1 decode engines that do "answer"
    And the relay's all servers have named a limit of 1 requests a second
    When 20 relay requests of kind "stream" with 1 attempts arrive at once
    Then no server of the relay gets more than 11 sends and 11 prompts
    And the relay refuses the others of 20 callers within 1000 ms, to retry after at most 4000 ms

  # Guards against reservations that use up the limit of an engine although no request follows.
  Scenario: requests that could not be sent are not charged to the limit
    Given a relay with 1 prefill engine and 1 decode engines that do "unsent, unsent, unsent, answer"
    And the relay's all servers have named a limit of 0 requests a second
    When 3 relay requests of kind "stream" with 1 attempts arrive at once
    Then the relay's limits still let 1 more request through to "e1"

  # Guards against limits that outlast what the server says, and those that end too early.
  Scenario Outline: a server that <change> <is> limited
    Given a relay with 1 plain server that do "answer"
    And the relay's s0 server has named a limit of 0 requests a second
    When the relay's s0 server <change>
    Then the relay's server "s0" <is> limited

    Examples:
      | change                                     | is     |
      | answers without a limit                    | is not |
      | has been started again                     | is not |
      | answered another VM without a limit later  | is not |
      | answered another VM without a limit before | is     |
      | answered another VM with a limit before    | is     |
