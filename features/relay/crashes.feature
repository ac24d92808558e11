Feature: Requests that crash the servers that run them

  # Guards against one request, sent again with new ids, that takes down one server after the other.
  Scenario Outline: a <kind> request that crashes servers <point> is refused after two or three crashes (pattern: one deadly request sent again)
    Given a relay with <servers> that do "answer"
    And servers of the relay crash <point>
    When a relay request of kind "<kind>" with <attempts> attempts that crashes servers arrives 8 times, with 40 sound ones after each
    Then at most 3 relay servers have crashed
    And the crashing relay request is refused as not run, with a time to retry
    And every sound relay request was answered

    Examples:
      | kind       | attempts | servers                                 | point                 |
      | idempotent | 2        | 12 plain servers                        | before the head       |
      | idempotent | 3        | 12 plain servers                        | before the head       |
      | once       | 1        | 12 plain servers                        | before the head       |
      | stream     | 1        | 2 prefill engines and 12 decode engines | before the head       |
      | resumable  | 3        | 2 prefill engines and 12 decode engines | before the head       |
      | idempotent | 2        | 12 plain servers                        | after the head        |
      | once       | 1        | 12 plain servers                        | after the head        |
      | stream     | 1        | 2 prefill engines and 12 decode engines | after the head        |
      | resumable  | 3        | 2 prefill engines and 12 decode engines | after the head        |
      | stream     | 1        | 12 plain servers                        | after the first event |
      | stream     | 1        | 2 prefill engines and 12 decode engines | after the first event |
      | resumable  | 3        | 2 prefill engines and 12 decode engines | after the first event |

  Scenario Outline: <vms> VMs learn of a request that crashed servers on two of them
    Given a simulated fleet of <vms> VMs
    When request "deadly" is on two servers of the simulated fleet that crash
    Then all VMs of the simulated fleet refuse "deadly" within <ms> ms
    And no VM of the simulated fleet refuses "sound"
    When a VM of the simulated fleet is replaced
    Then all VMs of the simulated fleet refuse "deadly" within 3000 ms

    Examples:
      | vms | ms   |
      | 2   | 500  |
      | 8   | 500  |
      | 40  | 2000 |
      | 80  | 2000 |

  Scenario: a request that a server has answered since is no cause of the crashes (pattern: several servers crash at once)
    Given a simulated fleet of 8 VMs
    When request "bystander" is on two servers of the simulated fleet that crash
    Then all VMs of the simulated fleet refuse "bystander" within 500 ms
    When a server answers "bystander" at a VM of the simulated fleet
    Then no VM of the simulated fleet refuses "bystander" after 500 ms

  # Guards the digests, which all VMs reject when a value in them is too long.
  Scenario: prompt parts with long ids are reported like others
    Given a simulated fleet of 8 VMs
    When a prompt with 200 parts that have ids of 300 digits is on three servers of the simulated fleet that crash
    Then all VMs of the simulated fleet refuse the prompt with long ids within 500 ms
    And no VM of the simulated fleet has lost contact

  Scenario: the quarantine grows with the crashes, and ends
    Given a simulated fleet of 2 VMs
    When request "deadly" is on two servers of the simulated fleet that crash
    Then all VMs of the simulated fleet refuse "deadly" within 500 ms
    And all VMs of the simulated fleet refuse "deadly" after 14000 ms
    And no VM of the simulated fleet refuses "deadly" after 15600 ms
    When request "deadly" is on one more server of the simulated fleet that crashes
    Then all VMs of the simulated fleet refuse "deadly" within 500 ms
    And all VMs of the simulated fleet refuse "deadly" after 59000 ms
    And no VM of the simulated fleet refuses "deadly" after 60600 ms

  # Guards against a crash of one server by each VM when a quarantine ends on all of them at once.
  Scenario: the VMs of a fleet end a quarantine one after the other
    Given a simulated fleet of 40 VMs
    When request "deadly" is on two servers of the simulated fleet that crash
    Then all VMs of the simulated fleet refuse "deadly" within 2000 ms
    And at most a fifth of the VMs of the simulated fleet end the quarantine of "deadly" in any 1000 ms

  # Servers that reset single connections, and stay, have not crashed.
  Scenario: a request whose connections break while the servers stay is not quarantined
    Given a relay with 12 plain servers that do "broken"
    When 6 relay requests of kind "idempotent" with 2 attempts arrive at once
    And a relay request of kind "idempotent" with 2 attempts arrives
    Then the relay sends it 14 times and the caller gets 502

  # Guards against prompts that are all different and have one part in common that crashes servers.
  Scenario Outline: <kind> prompts with the parts "<deadly>" crash five servers at most, and those with "<sound>" are served (pattern: a prompt part that crashes servers)
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash after the head
    When 10 relay prompts of kind "<kind>" with the parts "<deadly>" crash servers, with 60 sound ones with the parts "<sound>" after each
    Then at most 5 relay servers have crashed
    And the crashing relay request is refused as not run, with a time to retry
    And every sound relay request was answered

    Examples:
      | kind      | deadly             | sound              |
      | stream    | system, bad        | system, good       |
      | stream    | system, topic, bad | system, topic      |
      | stream    | system, bad, topic | system, topic      |
      | stream    | bad                | system             |
      | resumable | system, topic, bad | system, topic      |
      | resumable | system, bad, topic | system, topic, own |

  # Guards against a part whose servers crash after the first event: an answer that has begun proves nothing.
  Scenario Outline: <kind> prompts with a part that crashes servers <point> are refused, and sound ones served
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash <point>
    When 10 relay prompts of kind "<kind>" with the parts "system, topic, bad" crash servers, with 60 sound ones with the parts "system, topic" after each
    Then at most 5 relay servers have crashed
    And the crashing relay request is refused as not run, with a time to retry
    And every sound relay request was answered

    Examples:
      | kind      | point                 |
      | stream    | after the head        |
      | resumable | after the head        |
      | stream    | after the first event |
      | resumable | after the first event |

  # Guards sound prompts: while no answer is complete yet, their parts are on the crashed servers too.
  Scenario: parts that servers have answered before are no cause of crashes (pattern: the servers of a zone crash at once)
    Given a simulated fleet of 8 VMs
    When servers answer the parts "system" at all VMs of the simulated fleet
    And the parts "system, topic" are on 3 servers of the simulated fleet that crash
    Then no VM of the simulated fleet refuses the part "system" after 500 ms
    And all VMs of the simulated fleet refuse the part "topic"

  # Here no sound prompt has cleared the other parts before the crashes are known.
  Scenario: prompts that share all parts but one with those that crashed servers are served
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash after the head
    When 10 relay prompts of kind "stream" with the parts "system, topic, bad" crash servers, with 60 sound ones with the parts "system" after each
    And 1 relay prompts of kind "stream" with the parts "system, topic, bad" crash servers, with 60 sound ones with the parts "system, topic" after each
    Then at most 5 relay servers have crashed
    And every sound relay request was answered

  # Guards sound prompts that share a part with those that crashed servers, when nobody had sent the shared part for
  # some time: no answer clears it, and both parts explain the crashes (review/10).
  Scenario: prompts with a part that all crashes have in common with another part are served again soon
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash after the head
    When 6 relay prompts of kind "stream" with the parts "system, bad" crash servers at once
    Then at most 1 of 200 relay prompts with the parts "system" in 2000 ms is refused after the first that is served
    And the crashing relay prompts with the parts "system, bad" are still refused
    And at most 6 relay servers have crashed

  # Guards against many trials of a part that does crash servers, with other parts than before.
  Scenario: a part that crashes servers with any other part is tried by few requests
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash after the head
    When 6 relay prompts of kind "stream" with the parts "system, topic" crash servers at once
    And 40 relay prompts with the parts "system" crash servers in 4000 ms
    Then at most 8 relay servers have crashed

  # Guards against trials by all VMs at once, and by none.
  Scenario Outline: the VMs of a fleet of <vms> make trials one after the other
    Given a simulated fleet of <vms> VMs
    When the VMs of the simulated fleet have a request for a trial each 100 ms for 6000 ms
    Then the VMs of the simulated fleet have made 3 trials, at most 1 in any 1900 ms

    Examples:
      | vms |
      | 1   |
      | 3   |
      | 40  |

  # Guards against sound prompts that stay refused the longer, the more VMs there are and the less often they come,
  # because a VM sends one only in its own turn.
  Scenario Outline: sound prompts with <parts> shared parts are served soon at <rate> a second in a fleet of <vms> VMs (pattern: a part that all crashes have in common with another part)
    Given a simulated fleet of <vms> VMs
    When prompts with <parts> shared parts and a bad one are on 6 servers of the simulated fleet that crash
    And sound prompts with these <parts> parts come to the simulated fleet <rate> times a second for <s> s
    Then the first of these prompts is served, and all that come 3000 ms or more after it

    Examples:
      | vms | rate | s  | parts |
      | 3   | 0.2  | 60 | 1     |
      | 3   | 1    | 20 | 1     |
      | 3   | 4    | 20 | 1     |
      | 3   | 20   | 20 | 1     |
      | 3   | 4    | 20 | 40    |
      | 8   | 1    | 20 | 1     |
      | 64  | 0.2  | 60 | 1     |
      | 64  | 1    | 20 | 1     |
      | 64  | 4    | 20 | 1     |
      | 64  | 20   | 20 | 1     |
      | 64  | 4    | 20 | 12    |
      | 195 | 1    | 20 | 1     |
      | 195 | 20   | 10 | 1     |

  # Guards against a trial by each VM when the part does crash servers: three may reach them.
  Scenario Outline: of prompts with a part that crashes servers few reach them at <rate> a second in a fleet of <vms> VMs
    Given a simulated fleet of <vms> VMs
    When prompts with 1 shared parts and a bad one are on 6 servers of the simulated fleet that crash
    And bad prompts with the shared part alone come to the simulated fleet <rate> times a second for 10 s
    Then at most 3 of these prompts have reached servers

    Examples:
      | vms | rate |
      | 3   | 1    |
      | 3   | 20   |
      | 64  | 4    |
      | 64  | 20   |
      | 195 | 20   |

  # Guards against a request that makes its servers fall silent and is never stopped (review/9 of 879eb37).
  Scenario Outline: a <kind> request whose servers fall silent and start again is refused after <crashes> of them
    Given a relay with <servers> that do "hangs"
    When the same relay request of kind "<kind>" arrives 5 times, its caller leaves after 900 ms, and its server starts again
    Then <crashes> sends to relay servers have been silent
    And the crashing relay request is refused as not run, with a time to retry

    Examples:
      | kind   | servers                               | crashes |
      | once   | 12 plain servers                      | 2       |
      | stream | 1 prefill engine and 12 decode engines | 2       |

  Scenario: a request whose servers are silent and go on is not quarantined
    Given a relay with 12 plain servers that do "hangs"
    When the same relay request of kind "once" arrives 5 times, its caller leaves after 900 ms, and its server goes on
    Then 5 sends to relay servers have been silent


  # Guards against a blind spot by position, where a part is never a suspect (review/9 of 9001eab).
  Scenario: the 100th part of prompts is found when it crashes servers
    Given a relay with 2 prefill engines and 24 decode engines that do "answer"
    And servers of the relay crash after the head
    When 10 relay prompts of kind "stream" with 98 sound parts and the part "bad" crash servers, with 20 sound ones after each
    Then at most 5 relay servers have crashed
    And the crashing relay request is refused as not run, with a time to retry
    And every sound relay request was answered
