Feature: Requests to plain services

  # Guards against tokens that are sent long after their debit, in a window that they do not count in.
  Scenario Outline: a debit that is too old to send is given back and made again when requests <may> be repeated
    Given a routed service whose requests <may> be repeated
    When the routed service gets a request
    Then the routed service was sent 1 request, which only the second debit paid

    Examples:
      | may     |
      | may     |
      | may not |
