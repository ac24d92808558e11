Feature: Memory budget of a VM

  # Guards against many large bodies that stop short of their end and leave no room for anything else.
  Scenario: large holdings leave a part to ordinary ones
    Given a memory budget of 4000000 bytes and 10 connections
    When memory budget connection "a" reserves 2900000 bytes at 0 ms
    And memory budget connection "b" reserves 300000 bytes at 100 ms
    And memory budget connection "c" reserves 60000 bytes at 100 ms
    Then the memory budget has refused "b"
    And the memory budget has closed ""
    And the memory budget holds 2960000 bytes

  # Guards against stalled clients that are kept while new ones are refused.
  Scenario: the connection that has stalled longest is closed
    Given a memory budget of 4000000 bytes and 10 connections
    When memory budget connection "a" reserves 1400000 bytes at 0 ms
    And memory budget connection "b" reserves 1400000 bytes at 10 ms
    And memory budget connection "a" makes progress at 800 ms
    And memory budget connection "c" reserves 1400000 bytes at 900 ms
    Then the memory budget has refused ""
    And the memory budget has closed "b"

  # Guards against a refusal that says "not run" for a request that a server runs.
  Scenario: a connection whose request runs is not closed
    Given a memory budget of 4000000 bytes and 10 connections
    When memory budget connection "a" reserves 2900000 bytes at 0 ms
    And memory budget connection "a" runs a request
    And memory budget connection "b" reserves 2900000 bytes at 900 ms
    Then the memory budget has refused "b"
    And the memory budget has closed ""

  # Guards against answers that nobody reads, whose memory is in use before it can be refused.
  Scenario: memory in use beyond the budget closes the slowest
    Given a memory budget of 1000000 bytes and 10 connections
    When memory budget connection "a" uses 500000 bytes at 0 ms
    And memory budget connection "b" uses 500000 bytes at 1 ms
    And memory budget connection "c" uses 500000 bytes at 2 ms
    Then the memory budget has closed "a"
    And the memory budget holds 1000000 bytes

  # Guards against more connections than the machine has descriptors.
  Scenario: a connection beyond the limit closes the one that has been silent longest
    Given a memory budget of 1000000 bytes and 2 connections
    When memory budget connection "a" reserves 10 bytes at 0 ms
    And memory budget connection "b" reserves 10 bytes at 1 ms
    And memory budget connection "a" makes progress at 2 ms
    And memory budget connection "c" reserves 10 bytes at 3 ms
    Then the memory budget has closed "b"
    And the memory budget holds 20 bytes

  # Guards against connections that are closed without a trace in logs and metrics.
  Scenario: a connection without room is closed, and the guard tells why
    Given a guarded server whose memory budget has room for one idle connection
    When a client sends the guarded server 4000 bytes of an incomplete head
    Then the guarded server closes the connection, and tells "memory"

  # Guards against heads of answered requests that stay in memory while their connection is open (review/7).
  Scenario: the head of an answered request is not kept while its connection stays open
    Given a guarded server that answers each request
    When 20 clients send the guarded server a request with 500 header lines and keep their connections open
    Then the guarded server keeps none of the answered requests
