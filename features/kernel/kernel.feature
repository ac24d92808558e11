Feature: Services of the kernel

  Scenario: services start in the order of registration and stop in reverse
    Given a kernel with the services "logs, metrics, traces"
    When the kernel starts and stops
    Then the services did "start logs, start metrics, start traces, stop traces, stop metrics, stop logs"

  Scenario: a service that was never registered is a broken invariant
    Given a kernel with the services "logs"
    Then looking up "metrics" breaks an invariant

  Scenario: values sent before the first subscriber reach it in order
    When a channel gets the values "1, 2", is subscribed, and gets "3"
    Then the subscriber saw "1, 2, 3"
