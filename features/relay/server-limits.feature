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

  # Guards against shares that lie idle at VMs without demand while the requests of another VM wait.
  Scenario Outline: one of <vms> VMs gets all requests to <kind> servers (pattern: requests come at few VMs)
    Given a simulated fleet of <vms> VMs
    When servers of kind <kind> that name limits get four times as many requests through one VM of the simulated fleet, with seed <seed>
    Then no server gets more requests than its limit allows in any window
    And the servers with limits get at least 50% of what they take

    Examples:
      | vms | kind   | seed |
      | 8   | plain  | 31   |
      | 40  | engine | 32   |

  # Guards against cold servers that get more than they take: from VMs that each count only their own requests,
  # that have just started, are cut off, have been frozen, or know of the cold later than others.
  Scenario Outline: <vms> VMs before cold <kind> servers that take <rate>, with <failure>
    Given a simulated fleet of <vms> VMs
    When cold servers of kind <kind> that take <rate> requests a second get many through the simulated fleet with <failure>, with seed <seed>
    Then no cold server gets more requests than it tolerates in any second
    And the cold servers get at least <use>% of what they take

    Examples:
      | vms | kind   | rate | failure                     | use | seed |
      | 1   | plain  | 10   | nothing                     | 90  | 41   |
      | 2   | engine | 5    | nothing                     | 90  | 42   |
      | 8   | plain  | 1    | nothing                     | 90  | 43   |
      | 8   | engine | 33   | restart of all VMs          | 50  | 44   |
      | 8   | plain  | 10   | partition                   | 50  | 45   |
      | 8   | plain  | 10   | partition and its end       | 50  | 46   |
      | 8   | engine | 10   | a VM that freezes and wakes | 50  | 47   |
      | 40  | plain  | 5    | a VM that joins             | 90  | 48   |
      | 40  | engine | 33   | lost datagrams              | 50  | 49   |
      | 40  | plain  | 20   | a long partition            | 50  | 50   |
      | 40  | plain  | 20   | restart of all VMs          | 50  | 51   |
      | 40  | plain  | 20   | demand at one VM            | 50  | 52   |
      | 195 | engine | 33   | nothing                     | 50  | 53   |
      | 195 | plain  | 1    | a VM that joins             | 50  | 54   |

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

  # Guards against requests to a server that has turned one away and asked for quiet.
  Scenario: plain servers that ask for quiet get nothing until it has passed
    Given a relay with 2 plain servers that do "answer"
    When the limits of the relay learn that s0 asks for quiet
    And 12 relay requests of kind "once" with 1 attempts arrive at once
    Then each of the relay's 12 callers gets 200
    And the relay's server "s0" gets at most 0 sends
    And the limits of the relay are as before after 1500 ms

  Scenario: a server that starts again does not want quiet any more
    Given a relay with 1 plain server that do "answer"
    When the limits of the relay learn that s0 asks for quiet
    Then the limits of the relay let 0 of 5 requests through to s0
    When the limits of the relay learn that s0 starts again
    Then the limits of the relay let 5 of 5 requests through to s0

  # Guards against servers that get more than they take just after they have become cold.
  Scenario: a server that turns cold has got requests before
    Given a relay with 1 plain server that do "answer"
    And the limits of the relay's servers are those of cold ones, 10 requests a second
    Then the limits of the relay let 7 of 7 requests through to s0
    When the limits of the relay learn that s0 turns cold
    Then the limits of the relay let 2 of 5 requests through to s0
    And the limits of the relay are as before after 1500 ms

  # Guards against requests that were on their way to an engine when it asked for quiet or became cold.
  Scenario Outline: an engine <notice> while the prompt of a request is read
    Given a relay with 1 prefill engine and 1 decode engines that do "answer"
    And the limits of the relay's servers are those of cold ones, <rate> requests a second
    And the limits of the relay will learn while a prompt is read that e1 <notice>
    When a relay request of kind "stream" with 1 attempt arrives
    Then the relay's caller gets 503
    And the relay's server "e1" gets at most 0 sends

    Examples:
      | notice         | rate |
      | asks for quiet | 100  |
      | turns cold     | 1    |
