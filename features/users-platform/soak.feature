Feature: Soak of the programs on the users' platform

  # Guards the promises to callers and servers while VMs, store and connections fail in series: nothing
  # runs twice, a refusal is true, answers are whole and of their own request, keys stay here, leaving
  # servers get nothing new, and service returns within 12 s.
  Scenario: a seeded soak of 4 VMs keeps all promises
    When the platform soak runs for 10 s with 4 VMs and the seed 7
    Then the platform soak has broken no promise and has served most requests
