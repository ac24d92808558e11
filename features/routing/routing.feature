Feature: Choice of servers

  Scenario: arbitrary loads never lead to a draining or excluded server
    Then routing choices respect their rules over 3000 fleets

  Scenario: arbitrary reports and own work never give a negative load
    Then routing load estimates stay within bounds over 3000 histories

  Scenario: the prefix index follows stored and evicted blocks across gaps
    Then the routing prefix index never claims more than a model of it over 2000 histories

  Scenario Outline: a subset of <servers> servers has <size>, at most <own> in the own zone
    Then the routing subset of <servers> servers in 3 zones has <size> with <own> in the own zone

    Examples:
      | servers | size | own |
      | 3       | 3    | 1   |
      | 16      | 16   | 6   |
      | 1000    | 16   | 12  |

  Scenario: subsets spread the VMs over the servers
    Then routing subsets of 390 VMs load each of 100 servers with at most 2 times the mean

  Scenario: a server that fails repeatedly is avoided for longer each time, until its failures expire
    Then routing avoids a server for 250, 500, 1000 ms after failures in a row

  Scenario Outline: a server that is draining by <cause> gets no new work
    Given routing over the engines "e1 e2"
    When routing learns that "e1" is draining by <cause>
    Then routing decodes and prefills only on "e2"

    Examples:
      | cause         |
      | configuration |
      | load report   |
      | vm list       |

  Scenario: a plain server that asked for no more work gets none until its entry changes
    Given routing over the plain servers "y1 y2"
    When routing learns that plain "y1" is draining
    Then routing sends plain requests only to "y2"
    When routing learns that the entry of "y1" changed
    Then routing sends plain requests only to "y1 y2"

  Scenario: a failed server is avoided but chosen when there is no other
    Given routing over the engines "e1 e2"
    When routing learns that "e1" failed
    Then routing decodes and prefills only on "e2"
    When routing learns that "e2" failed
    Then routing decodes and prefills only on "e1 e2"

  Scenario: own work lowers the headroom until a report includes it
    Given routing over the engines "e1"
    Then routing has headroom 20 for "planner"
    When routing assigns 3 decodes to "e1"
    Then routing has headroom 17 for "planner"
    When routing observes 100 ms later that "e1" has 17 slots
    Then routing has headroom 17 for "planner"
    When routing ends a decode on "e1"
    Then routing has headroom 18 for "planner"
    And routing told admission that capacity changed

  Scenario: two suspects do not run on the same server
    Given routing over the engines "e1"
    When routing assigns a suspect to "e1"
    Then routing finds no server for another suspect but one for others

  Scenario: a cached prefix is preferred until its server is much more loaded
    Given routing over the engines "e1 e2"
    When routing prefills a long prompt on one engine
    Then routing prefills the same prompt there again
    When routing observes that this engine has 4000 more queued tokens
    Then routing prefills the same prompt there again
    When routing observes that this engine has 5000 more queued tokens
    Then routing prefills the same prompt elsewhere

  Scenario: the prefill wait follows measured throughput and queue length
    Given routing over the engines "e1"
    Then routing expects a prefill wait of 0 ms
    When routing measures a prefill of 1000 tokens in 100 ms on "e1"
    And routing observes that "e1" has 5000 queued tokens
    Then routing expects a prefill wait of 500 ms

  Scenario: only engines without a recent report are polled
    Given routing over the engines "e1 e2"
    When routing starts and observes loads of "e1" but none of "e2" for three seconds
    Then routing polled the load of "e2" more often than that of "e1"
    And routing polled cache events of both engines

  # Guards against spending the polls on engines that do not answer, and against processor time that
  # an idle VM spends on loads which no request needs.
  Scenario Outline: a VM <requests> requests polls <least> to <most> times in two seconds
    Given routing over the engines "e1 e2 e3"
    When no answer comes from "e1 e2" for two seconds <requests> requests
    Then routing polled the load of "e3" <least> to <most> times, and of the others at most twice

    Examples:
      | requests | least | most |
      | with     | 15    | 40   |
      | without  | 1     | 8    |
