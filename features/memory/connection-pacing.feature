Feature: Processor time of connections

  # Guards against clients whose data takes much processor time and that keep the requests of others waiting.
  Scenario: busy connections get one part in each turn of the event loop
    Given 20 paced connections whose parts take 3 ms
    And a paced connection whose parts take 0 ms
    When each paced connection receives 60000 bytes
    Then the last paced connection has passed on 60000 bytes
    And the paced connections have passed on at most 2 parts each
    When the event loop turns 10 times
    Then 10 further parts have been passed on

  # Guards against requests that a wait for the processor takes apart, repeats or loses.
  Scenario: paced connections pass on all that they receive, once and in order
    Then a paced connection passes on what it receives, however its parts cost and its user pauses it

  # Guards against a server that reads on while it waits for a client that does not take its answers.
  Scenario: a connection that its user has paused gets no turn
    Given 1 paced connections whose parts take 3 ms
    When each paced connection receives 60000 bytes
    And the user of the first paced connection pauses it
    Then no further parts are passed on while the event loop turns 10 times
    When the user of the first paced connection resumes it
    And the event loop turns 10 times
    Then 10 further parts have been passed on

  # Guards against memory of waiting connections that is counted twice or never given back.
  Scenario: a connection that waits is accounted until it has had its turn
    Given 1 paced connections whose parts take 3 ms
    When each paced connection receives 60000 bytes
    Then the paced connections account for what they have received and may receive
    When the event loop turns 40 times
    Then the paced connections account for nothing

  # Guards against the same at a real server, whose parser listens for data itself.
  Scenario: an ordinary request is answered before 20 clients are read that send in chunks of one byte
    Given a paced HTTP server whose parts take 3 ms
    When 20 clients send it 2000000 bytes of chunks of one byte each
    Then an ordinary request is answered before it has read 400000 bytes of the clients
