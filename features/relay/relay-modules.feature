Feature: Decisions of the relay

  Scenario: the route with the longest prefix is chosen
    Given relay routes for "/", "/a/", "/a/b/" and "/c/" of one host
    Then the relay routes resolve as follows
      | path     | route |
      | /a/b/x   | /a/b/ |
      | /a/bx    | /a/   |
      | /a/b     | /a/   |
      | /c/      | /c/   |
      | /d?x=/c/ | /     |

  Scenario: retries of a fleet stay within the budget in every window
    Given 6 relay VMs that share 52 retries plus 0.2 per request in 10 s
    When every relay VM tries to retry each of its 20 requests a second for 30 s
    Then no relay window of 10 s holds more retries than allowed, and at least half of the allowed ones are used

  Scenario Outline: a team at several times its rate, counted by several VMs (pattern: hot team)
    Given <vms> relay VMs with a team of 29000 tokens a second, and digests every 120 ms
    When the team sends <factor> times its rate for 30 s through all relay VMs
    Then the relay admits at most what the tolerance allows in every 8 s
    And the relay admits at least 90 percent of the rate

    Examples:
      | vms | factor |
      | 6   | 7.5    |
      | 8   | 3      |
      | 2   | 7.5    |

  Scenario: a team inside its rate is not refused while every VM can be reached
    Given 6 relay VMs with a team of 29000 tokens a second, and digests every 120 ms
    When the team sends 0.6 times its rate for 30 s through all relay VMs
    Then the relay refuses none of its requests

  Scenario: small requests are not starved by the large ones of their team (pattern: hot team)
    Given 6 relay VMs with a team of 29000 tokens a second, and digests every 120 ms
    When the team sends 3 times its rate for 30 s through all relay VMs, and 40 small requests a second
    Then the relay refuses none of its small requests
    And the relay admits at most what the tolerance allows in every 8 s

  Scenario: a partitioned fleet does not spend the rate twice (pattern: partition)
    Given 6 relay VMs with a team of 29000 tokens a second, and digests every 120 ms
    And relay VMs 1 and 2 are partitioned from the others from 10 s to 22 s
    When the team sends 7.5 times its rate for 30 s through all relay VMs
    Then the relay admits at most what the tolerance allows in every 8 s

  Scenario: an entry that expired in an outage of the store is kept until servers can have announced themselves again
    Given a relay catalog with server "a" that started at 1
    When the relay store recovers at 1000 ms and the entry of "a" is removed at 1100 ms
    Then relay server "a" is usable at 2900 ms and not at 3000 ms

  Scenario: an entry that is removed while the store is available is dropped at once
    Given a relay catalog with server "a" that started at 1
    When the entry of relay server "a" is removed at 1100 ms
    Then relay server "a" is not usable at 1100 ms

  # Guards servers that say so only in their answers: forgotten, they would get requests again.
  Scenario: servers with an entry stay known to leave, however many leave
    Given 120 relay servers that are known to leave, and 120 that have left
    Then none of the relay servers that leave is usable
    And a digest names at most 40 of the relay servers that leave

  Scenario: a server reported as leaving is reactivated by a restart, not by an older entry
    Given a relay catalog with server "a" that started at 1
    When another VM reports that relay server "a" that started at 1 is leaving
    Then relay server "a" is not usable at 100 ms
    When relay server "a" announces itself again with start 1
    Then relay server "a" is not usable at 200 ms
    When relay server "a" announces itself again with start 2
    Then relay server "a" is usable at 300 ms

  Scenario: a stream is forwarded in complete events, and its last id is known
    When the relay splits "id: 1\ndata: a\n\nid: 2\nda" and "ta: b\n\nid: 3\nda"
    Then the relay forwards "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And the relay would resume after "2"

  Scenario Outline: the split between prefill and decode engines follows the cost of requests
    Then of <engines> relay engines <now> prefill ones become <wanted> at <prefillMs> ms prefill, <decodeMs> ms decode and <places> places

    Examples:
      | engines | now | prefillMs | decodeMs | places | wanted |
      | 8       | 3   | 104       | 2828     | 9      | 2      |
      | 8       | 2   | 104       | 2828     | 9      | 2      |
      | 8       | 2   | 400       | 1000     | 9      | 6      |
      | 8       | 0   | 1         | 9000     | 9      | 1      |
      | 1       | 0   | 100       | 100      | 9      | 0      |

  # Guards against an engine that is made a prefill engine although decode engines are short: the streams
  # that end first are the short ones, so that decoding seems to take little time.
  Scenario: the cost of streams is not taken from those that end first (pattern: start of traffic)
    When relay streams of 1000 to 5000 ms start 25 times a second for 20 s
    Then the relay's average decode time is never below 80 percent of the real one
    And the relay knows it after 8 s

  Scenario: an unreachable server is avoided for a pause, which a good answer ends early
    When relay server "a" is recorded as unreachable at 0 ms
    Then relay server "a" is avoided at 100 ms
    And relay server "a" is not avoided at 500 ms
    When relay server "a" is recorded as unreachable at 500 ms
    Then relay server "a" is avoided at 1200 ms
    When relay server "a" is recorded as answered at 1200 ms
    Then relay server "a" is not avoided at 1201 ms

  # Guards requests that may run only once: the first one on each lost connection has an unknown outcome.
  Scenario: connections opened before any VM lost one to the server are not trusted
    When relay server "a" is recorded as broken at 100 ms
    Then connections to relay server "a" are trusted from 100 ms on
    When another VM avoids relay server "a" at 2000 ms
    And another VM avoids relay server "a" at 2200 ms
    Then connections to relay server "a" are trusted from 2000 ms on
    When relay server "a" is recorded as failed at 3000 ms
    Then connections to relay server "a" are trusted from 2000 ms on

  Scenario: a VM that sends no digests first counts as unreachable, then is no longer counted
    Given a relay peer table with digests of "b" and "c" received at 0 ms
    When the relay peer table receives a digest of "b" at 2000 ms
    Then the relay peer table can reach "b" at 2100 ms and counts 3 VMs
    And the relay peer table counts 2 VMs at 13000 ms

  Scenario: an older digest of the same incarnation changes nothing
    Given a relay peer table with digests of "b" and "c" received at 0 ms
    Then the relay peer table refuses digest 0 of "b"

  Scenario Outline: decode slots in a burst of twice the capacity with a team at seven times its share (pattern: burst, hot team)
    When <policy> serves the relay burst with seed <seed>
    Then the relay queue serves as many on time and the worst team no worse than <policy>

    Examples:
      | policy            | seed |
      | first come        | 1    |
      | least slack       | 1    |
      | fair by team only | 1    |
      | first come        | 2    |
      | least slack       | 2    |
      | fair by team only | 2    |

  Scenario: late requests leave the decode slots to requests of other VMs that can meet their target (pattern: burst at all VMs)
    Given a relay queue with a request that is late already
    Then the relay queue serves it only while no other VM has a request that can still meet its target

  Scenario: a request that cannot be served in time is rejected on arrival
    Given a relay queue with 200 waiting requests and 10 starts a second
    When a relay request arrives whose caller gives up after 3600 ms
    Then it is refused at once, to be retried after 10 to 30 s

  # Guards against callers that are held to the end because each VM sees only its own short queue.
  Scenario Outline: requests at <vms> VMs that will not be served are refused while they can come back (pattern: burst at all VMs)
    When <vms> relay VMs with news <newsMs> ms old queue for the slots of one pool, with seed <seed>
    Then VMs that know all queues serve more relay requests than VMs that know their own
    And they hold fewer relay requests to the end, and at most 2 percent fewer start on time

    Examples:
      | vms | newsMs | seed |
      | 64  | 500    | 1    |
      | 64  | 500    | 2    |
      | 195 | 1000   | 1    |
      | 195 | 1000   | 2    |
      | 390 | 1000   | 1    |

  Scenario: a full pipe drops log lines and never waits
    Given a relay log whose reader has stopped
    When the relay log gets 20000 lines of 100 bytes
    Then the relay log took less than 1000 ms, holds at most 300000 bytes and counts the rest as dropped

  # Guards against VMs that all choose the same server because their load data is stale.
  Scenario Outline: <vms> VMs with load data <newsMs> ms old do not overload one plain server (pattern: old news)
    When relay VMs run the plain load 0.7 with <vms> VMs, load data <newsMs> ms old and seed <seed>
    Then no more requests of the relay are rejected by full servers than with "least loaded", and as many are answered on time

    Examples:
      | vms | newsMs | seed |
      | 64  | 400    | 1    |
      | 64  | 400    | 2    |
      | 6   | 120    | 1    |

  # Guards against queues at the servers that make every request late.
  Scenario Outline: a plain pool at <load> times its capacity answers most on time (pattern: plain burst)
    When relay VMs run the plain load <load> with <vms> VMs, load data <newsMs> ms old and seed <seed>
    Then the relay answers at least <times> times as many on time as "relay without refusals"

    Examples:
      | load | vms | newsMs | seed | times |
      | 1.3  | 64  | 400    | 1    | 2     |
      | 1.3  | 64  | 400    | 2    | 2     |
      | 1.3  | 6   | 120    | 1    | 2     |
      | 2.0  | 64  | 400    | 1    | 2     |
      | 2.0  | 6   | 120    | 1    | 2     |

  # Guards against sending the whole load of a pool to the only server that does not fail.
  Scenario Outline: <failing> of 3 plain servers fail half of their requests (pattern: grey servers)
    When relay VMs run the plain load <load> with <vms> VMs and <failing> failing servers, load data 100 ms old and seed <seed>
    Then the relay answers at least <times> times as many on time as "relay without failing servers"
    And the relay fails no more plain requests than "random"

    Examples:
      | failing | load | vms | seed | times |
      | 2       | 0.5  | 8   | 1    | 1.2   |
      | 2       | 0.5  | 8   | 2    | 1.2   |
      | 2       | 0.7  | 8   | 3    | 1.2   |
      | 1       | 0.7  | 8   | 4    | 1     |

  # Guards against preemption, and prompts prefilled again, because answers exceed their reserved memory.
  Scenario Outline: answers far longer than their callers estimated (pattern: short memory)
    When a decode engine runs requests with estimated answer lengths, with seed <seed>
    Then it recomputes at most 2 percent of the prompt tokens
    And it completes at least 1.05 times as many requests as with memory reserved for the longest answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: a plain pool that can answer all refuses none (pattern: plain burst)
    When relay VMs run the plain load 0.7 with 64 VMs, load data 400 ms old and seed 1
    Then the relay refuses no plain request

  # Guards against reserving the memory of an engine many times over between two updates of the load data.
  Scenario Outline: VMs with the same <news> load data do not all choose the same engine (pattern: old news)
    When 64 relay VMs choose among 20 decode engines from the same <news> load data
    Then at most <most> of the relay VMs choose the same engine

    Examples:
      | news  | most |
      | old   | 16   |
      | fresh | 64   |
