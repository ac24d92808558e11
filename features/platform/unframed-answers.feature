Feature: Answers without a length

  # Guards against an answer whose end is its connection's and that is taken for whole when the
  # connection is reset. Its body is whole, so that only the end of the connection tells.
  Scenario Outline: an answer from the <reader> whose connection <end> <is> taken for whole
    Given an unframed answer with the body <body>
    When the unframed answer is read by the "<reader>" and its connection <end>
    Then the unframed answer <is> taken for whole

    Examples:
      | reader | end | is | body |
      | log service | is closed | is | {"records":[],"endOffset":0,"earliestOffset":0} |
      | log service that gets records | is closed | is | {"firstOffset":1} |
      | VM list | is closed | is | {"vms":[]} |
      | platform store | is closed | is | {"items":[],"more":false,"end":0} |
      | platform store that gets records | is closed | is | {"offset":1,"end":2} |
      | peer state | is closed | is | {"settlingMs":0} |
      | server asked for a reservation | is closed | is | {"hold":"h1"} |
      | server asked to prefill | is closed | is | {"kvHandleId":"k1","tokens":1} |
      | log service | is reset at once | is not | {"records":[],"endOffset":0,"earliestOffset":0} |
      | log service that gets records | is reset at once | is not | {"firstOffset":1} |
      | VM list | is reset at once | is not | {"vms":[]} |
      | platform store | is reset at once | is not | {"items":[],"more":false,"end":0} |
      | platform store that gets records | is reset at once | is not | {"offset":1,"end":2} |
      | peer state | is reset at once | is not | {"settlingMs":0} |
      | server asked for a reservation | is reset at once | is not | {"hold":"h1"} |
      | server asked to prefill | is reset at once | is not | {"kvHandleId":"k1","tokens":1} |
      | log service | is reset later | is not | {"records":[],"endOffset":0,"earliestOffset":0} |
      | log service that gets records | is reset later | is not | {"firstOffset":1} |
      | VM list | is reset later | is not | {"vms":[]} |
      | platform store | is reset later | is not | {"items":[],"more":false,"end":0} |
      | platform store that gets records | is reset later | is not | {"offset":1,"end":2} |
      | peer state | is reset later | is not | {"settlingMs":0} |
      | server asked for a reservation | is reset later | is not | {"hold":"h1"} |
      | server asked to prefill | is reset later | is not | {"kvHandleId":"k1","tokens":1} |

  # A page is read on from its last record, so one that is short but closed in the ordinary way loses nothing.
  Scenario Outline: a page from the <reader> whose connection <end> <is> taken for whole
    Given an unframed answer with a page of 3 records that ends after 2 of them
    When the unframed answer is read by the "<reader>" and its connection <end>
    Then the unframed answer <is> taken for whole

    Examples:
      | reader | end | is |
      | platform store that waits for records | is closed | is |
      | platform store that sends records | is closed | is |
      | platform store that waits for records | is reset at once | is not |
      | platform store that sends records | is reset at once | is not |
      | platform store that waits for records | is reset later | is not |
      | platform store that sends records | is reset later | is not |
