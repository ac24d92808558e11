Feature: Answers without end

  # A server in trouble may send bytes without end, in a head or a body, until the other side closes the
  # connection. Nothing of it may be kept beyond the reader's limit, and the call must fail in time.
  Scenario Outline: <bytes> without end, <pace>, from the <reader>
    Given an endless server that sends <bytes> without end, <pace>
    When the endless "<reader>" is read
    Then reading from the endless server has failed within 4500 ms
    And the endless server could send at most <megabytes> MB
    And the endless server has no open connection

    Examples:
      | reader                         | bytes                  | pace | megabytes |
      | log service                    | a chunked body         | fast | 17        |
      | log service                    | a chunked body         | slow | 17        |
      | log service                    | a body until the close | fast | 17        |
      | log service                    | a header line          | fast | 17        |
      | log service                    | a header line          | slow | 17        |
      | log service                    | header lines           | fast | 17        |
      | log service                    | interim answers        | fast | 17        |
      | log service                    | a chunk extension      | fast | 17        |
      | log service                    | trailers               | fast | 17        |
      | log service                    | trailers               | slow | 17        |
      | VM list                        | a chunked body         | fast | 3        |
      | VM list                        | a chunked body         | slow | 3        |
      | VM list                        | a body until the close | fast | 3        |
      | VM list                        | a header line          | fast | 3        |
      | VM list                        | a header line          | slow | 3        |
      | VM list                        | header lines           | fast | 3        |
      | VM list                        | interim answers        | fast | 3        |
      | VM list                        | a chunk extension      | fast | 3        |
      | VM list                        | trailers               | fast | 3        |
      | VM list                        | trailers               | slow | 3        |
      | weight store                   | a chunked body         | fast | 1        |
      | weight store                   | a chunked body         | slow | 1        |
      | weight store                   | a body until the close | fast | 1        |
      | weight store                   | a header line          | fast | 1        |
      | weight store                   | a header line          | slow | 1        |
      | weight store                   | header lines           | fast | 1        |
      | weight store                   | interim answers        | fast | 1        |
      | weight store                   | a chunk extension      | fast | 1        |
      | weight store                   | trailers               | fast | 1        |
      | weight store                   | trailers               | slow | 1        |
      | platform store                 | a chunked body         | fast | 9        |
      | platform store                 | a chunked body         | slow | 9        |
      | platform store                 | a body until the close | fast | 9        |
      | platform store                 | a header line          | fast | 9        |
      | platform store                 | a header line          | slow | 9        |
      | platform store                 | header lines           | fast | 9        |
      | platform store                 | interim answers        | fast | 9        |
      | platform store                 | a chunk extension      | fast | 9        |
      | platform store                 | trailers               | fast | 9        |
      | platform store                 | trailers               | slow | 9        |
      | peer state                     | a chunked body         | fast | 33        |
      | peer state                     | a chunked body         | slow | 33        |
      | peer state                     | a body until the close | fast | 33        |
      | peer state                     | a header line          | fast | 33        |
      | peer state                     | a header line          | slow | 33        |
      | peer state                     | header lines           | fast | 33        |
      | peer state                     | interim answers        | fast | 33        |
      | peer state                     | a chunk extension      | fast | 33        |
      | peer state                     | trailers               | fast | 33        |
      | peer state                     | trailers               | slow | 33        |
      | server asked for a reservation | a chunked body         | fast | 1         |
      | server asked for a reservation | a chunked body         | slow | 1         |
      | server asked for a reservation | a body until the close | fast | 1         |
      | server asked for a reservation | a header line          | fast | 64        |
      | server asked for a reservation | a header line          | slow | 64        |
      | server asked for a reservation | header lines           | fast | 64        |
      | server asked for a reservation | interim answers        | fast | 64        |
      | server asked for a reservation | a chunk extension      | fast | 64        |
      | server asked for a reservation | trailers               | fast | 64        |
      | server asked for a reservation | trailers               | slow | 64        |
      | server asked to prefill        | a chunked body         | fast | 1         |
      | server asked to prefill        | a chunked body         | slow | 1         |
      | server asked to prefill        | a body until the close | fast | 1         |
      | server asked to prefill        | a header line          | fast | 64        |
      | server asked to prefill        | a header line          | slow | 64        |
      | server asked to prefill        | header lines           | fast | 64        |
      | server asked to prefill        | interim answers        | fast | 64        |
      | server asked to prefill        | a chunk extension      | fast | 64        |
      | server asked to prefill        | trailers               | fast | 64        |
      | server asked to prefill        | trailers               | slow | 64        |

  Scenario Outline: a refusal with <bytes> without end, <pace>
    Given an endless server that refuses requests and sends <bytes> without end, <pace>
    When the endless "server that refuses a request" is read
    Then reading from the endless server has failed within 4500 ms
    And the endless server could send at most <megabytes> MB

    Examples:
      | bytes                  | pace | megabytes |
      | a chunked body         | fast | 1 |
      | a body until the close | fast | 1 |
      | a chunk extension      | fast | 64 |
      | trailers               | fast | 64 |
      | a chunked body         | slow | 1 |

  # The answer is complete at its length; what follows belongs to no request.
  Scenario Outline: a body that goes on after its length, from the <reader>
    Given an endless server that sends more than its length without end, fast
    When the endless "<reader>" is read
    Then the endless server could send at most 1 MB
    And the endless server has no open connection

    Examples:
      | reader                         |
      | log service                    |
      | VM list                        |
      | platform store                 |
      | server asked for a reservation |
