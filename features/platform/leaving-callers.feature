Feature: Callers that leave

  # Guards against work for callers that have gone, and against a request that its caller cut and that is passed on.
  Scenario Outline: the work for a caller that <way> ends within 500 ms
    Given leaving callers of a router whose server answers for 2 s without a length
    When 100 leaving callers each leave when it <way>
    Then every server's work for the leaving callers has ended within 500 ms
    And no server got part of a leaving caller's body

    Examples:
      | way                            |
      | resets after its request       |
      | resets within its body         |
      | resets within its answer       |
      | closes after its request       |
      | closes within its answer       |
      | half-closes after its request  |
      | half-closes within its body    |
      | half-closes within its answer  |

  # Guards against part of an answer that looks complete: to a caller that sends nothing more, and to one
  # that sends bytes that are no request, whose refusal was sent in the middle of the answer.
  Scenario Outline: a caller that <does> in a pause of its answer gets no part that looks complete
    Given leaving callers of a router whose server answers for 2 s without a length
    When 100 leaving callers each leave when it <does> in a pause of its answer
    Then no leaving caller got part of an answer with an ordinary end

    Examples:
      | does          |
      | half-closes   |
      | sends no HTTP |

  Scenario Outline: a caller that sends part of a <next> gets no part of an answer that looks complete when it times out
    Given leaving callers of a router whose server answers for 8 s without a length
    When 20 leaving callers each leave when it sends part of a <next> in a pause of its answer
    Then no leaving caller got part of an answer with an ordinary end

    Examples:
      | next    |
      | head    |
      | request |
