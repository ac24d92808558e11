Feature: Requests to plain services

  # Guards against requests that are sent long after their debit, in a rate window in which the debited
  # tokens do not count.
  Scenario Outline: a debit that is too old to send is given back and made again when requests <may> be repeated
    Given a routed service whose requests <may> be repeated
    When the routed service gets a request
    Then the routed service was sent 1 request, paid by debit 2 only

    Examples:
      | may     |
      | may     |
      | may not |

  # Guards against a refusal of requests inside their team's rate on a VM whose event loop lags: three
  # debits in a row became too old to send, and the request was refused.
  Scenario Outline: a debit that becomes too old 8 times is renewed when requests <may> be repeated
    Given a routed service whose requests <may> be repeated and whose debit becomes too old 8 times
    When the routed service gets a request
    Then the routed service was sent 1 request, paid by debit 9 only

    Examples:
      | may     |
      | may     |
      | may not |
