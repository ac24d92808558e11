Feature: Stand-ins for the platform and for plain services

  Scenario Outline: <name> with the fault <kind>
    Given the stand-in "<name>" runs with "<options>"
    And the stand-in has the fault '{"kind":"<kind>","delayMs":150,"count":1}'
    When the stand-in is called with "<call>"
    Then the stand-in call ended as "<result>" after <least> ms or more
    And the stand-in has recorded <effects> effects
    When the stand-in is called with "<call>"
    Then the stand-in call ended as "200" after 0 ms or more

    Examples:
      | name          | options               | kind        | call                           | result  | least | effects |
      | plain-service |                       | unavailable | POST /orders                   | 503     | 0     | 0       |
      | plain-service |                       | delay       | POST /orders                   | 200     | 150   | 1       |
      | plain-service |                       | silent      | POST /orders                   | silent  | 300   | 0       |
      | plain-service |                       | reset       | POST /orders                   | broken  | 0     | 0       |
      | plain-service |                       | lost-answer | POST /orders                   | broken  | 0     | 1       |
      | log-service   |                       | unavailable | POST /v1/streams/s/records     | 503     | 0     | 0       |
      | log-service   |                       | delay       | POST /v1/streams/s/records     | 200     | 150   | 1       |
      | log-service   |                       | silent      | POST /v1/streams/s/records     | silent  | 300   | 0       |
      | log-service   |                       | reset       | POST /v1/streams/s/records     | broken  | 0     | 0       |
      | log-service   |                       | lost-answer | POST /v1/streams/s/records     | broken  | 0     | 1       |
      | vm-list       |                       | unavailable | GET /v1/vms                    | 503     | 0     | 0       |
      | vm-list       |                       | silent      | GET /v1/vms                    | silent  | 300   | 0       |
      | weight-store  | --weights m/1=1000    | unavailable | GET /v1/weights/m/1            | 503     | 0     | 0       |
      | weight-store  | --weights m/1=1000    | lost-answer | GET /v1/weights/m/1            | broken  | 0     | 0       |
      | model-engine  |                       | reset       | GET /v1/load                   | broken  | 0     | 0       |
      | model-engine  |                       | delay       | GET /v1/load                   | 200     | 150   | 0       |

  Scenario Outline: a fault <behaviour>
    Given the stand-in "plain-service" runs with ""
    And the stand-in has the fault '<fault>'
    When the stand-in is called with "POST <path>"
    Then the stand-in call ended as "<first>" after 0 ms or more
    When the stand-in waits 200 ms
    And the stand-in is called with "POST <path>"
    Then the stand-in call ended as "<second>" after 0 ms or more

    Examples:
      | behaviour                   | fault                                  | path    | first | second |
      | ends after its count        | {"kind":"unavailable","count":1}       | /a      | 503   | 200    |
      | ends after its time         | {"kind":"unavailable","forMs":150}     | /a      | 503   | 200    |
      | without either never ends   | {"kind":"unavailable"}                 | /a      | 503   | 503    |
      | does not match other paths  | {"kind":"unavailable","path":"/other"} | /a      | 200   | 200    |
      | matches paths below its own | {"kind":"unavailable","path":"/a"}     | /a/b    | 503   | 503    |

  Scenario: all faults can be removed
    Given the stand-in "plain-service" runs with ""
    And the stand-in has the fault '{"kind":"unavailable"}'
    When the stand-in faults are removed
    And the stand-in is called with "POST /a"
    Then the stand-in call ended as "200" after 0 ms or more

  Scenario: a malformed fault is refused
    Given the stand-in "plain-service" runs with ""
    Then the stand-in refuses the fault '{"kind":"nonsense"}'
    And the stand-in refuses the fault '{"kind":"crash-on"}'

  Scenario: a plain service records effects with their ids and headers
    Given the stand-in "plain-service" runs with "--service-ms 60"
    When the stand-in is called with "PUT /orders/7" for the attempt "a1"
    Then the stand-in call ended as "200" after 50 ms or more
    And the stand-in recorded the effect "a1 PUT /orders/7"
    And the stand-in has received the header "x-attempt-id" with "a1"

  Scenario: a draining plain service reports it in a header
    Given the stand-in "plain-service" runs with ""
    When the stand-in gets the state '{"draining":true}'
    And the stand-in is called with "GET /a"
    Then the stand-in answer has the header "x-draining" with "1"

  Scenario: the VM list serves a change after its lag
    Given the stand-in "vm-list" runs with "--lag-ms 300"
    When the stand-in gets the state '{"vms":[{"name":"vm-1"}]}'
    And the stand-in is called with "GET /v1/vms"
    Then the stand-in answer is '{"vms":[],"servers":[]}'
    When the stand-in waits 400 ms
    And the stand-in is called with "GET /v1/vms"
    Then the stand-in answer is '{"vms":[{"name":"vm-1"}],"servers":[]}'

  Scenario: the weight store limits its rate and its concurrent downloads
    Given the stand-in "weight-store" runs with "--weights m/1=200000 --bytes-per-second 1000000 --concurrent 1"
    When the stand-in is called with "GET /v1/weights/m/1" twice at once
    Then the stand-in calls ended as "200, 429"
    And the stand-in call ended as "200" after 150 ms or more

  Scenario: the weight store rejects an unknown version
    Given the stand-in "weight-store" runs with "--weights m/1=10"
    When the stand-in is called with "GET /v1/weights/m/2"
    Then the stand-in call ended as "404" after 0 ms or more

  Scenario: offsets increase by one and one call can append several records
    Given the stand-in "log-service" runs with ""
    When the stand-in log gets the records "a, b"
    And the stand-in log gets the records "c"
    Then the stand-in answer is '{"firstOffset":3}'
    And the stand-in log shows from 2 the records "2 b, 3 c", the end 3 and the earliest 1
    And the stand-in has recorded 2 effects

  Scenario: appends above the rate limit are refused without effect
    Given the stand-in "log-service" runs with "--appends-per-second 2"
    When the stand-in log gets the records "a"
    And the stand-in log gets the records "b"
    And the stand-in log gets the records "c"
    Then the stand-in call ended as "429" after 0 ms or more
    And the stand-in log shows from 1 the records "1 a, 2 b", the end 2 and the earliest 1
    When the stand-in waits 1100 ms
    And the stand-in log gets the records "d"
    Then the stand-in answer is '{"firstOffset":3}'

  Scenario: records are dropped after the retention period and offsets continue
    Given the stand-in "log-service" runs with "--retention-ms 100"
    When the stand-in log gets the records "a, b"
    And the stand-in waits 200 ms
    Then the stand-in log shows from 1 the records "", the end 2 and the earliest 3
    When the stand-in log gets the records "c"
    Then the stand-in answer is '{"firstOffset":3}'

  Scenario: a record above the size limit is refused
    Given the stand-in "log-service" runs with ""
    When the stand-in log gets one record of 262145 bytes
    Then the stand-in call ended as "400" after 0 ms or more

  Scenario: a replica shows an earlier end of the stream
    Given the stand-in "log-service" runs with "--replica-lag-ms 300"
    When the stand-in log gets the records "a"
    Then the stand-in log replica shows the end 0
    When the stand-in waits 400 ms
    Then the stand-in log replica shows the end 1

  Scenario: a read with a wait returns as soon as a record arrives
    Given the stand-in "log-service" runs with ""
    When the stand-in log is read with a wait of 2000 ms and gets "a" after 150 ms
    Then the stand-in call ended as "200" after 100 ms or more
    And the stand-in call took less than 1000 ms
