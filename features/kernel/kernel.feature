Feature: Services of the kernel

  Scenario: services start in the order of registration and stop in reverse
    Given a kernel with the services "logs, metrics, traces"
    When the kernel starts and stops
    Then the calls to the services are "start logs, start metrics, start traces, stop traces, stop metrics, stop logs"

  Scenario: looking up a service that is not registered is a broken invariant
    Given a kernel with the services "logs"
    Then looking up "metrics" breaks an invariant

  Scenario: values pushed into a channel before the first subscription are delivered in order
    When the values "1, 2" are pushed into a channel before a subscription, and "3" after it
    Then the subscriber receives "1, 2, 3"
