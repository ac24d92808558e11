Feature: Soak of the programs on the users' platform

  # Guards the promises to callers and servers while VMs, store and connections fail one after another:
  # nothing runs twice, a refused request has not run, answers that look complete belong to their own
  # request and are byte for byte what the server sent, also without length or chunks when the server
  # resets its connection, keys do not leave the router, leaving servers get no new work, and service
  # resumes within 12 s.
  Scenario: a seeded soak of 4 VMs keeps all promises
    When the platform soak runs for 10 s with 4 VMs and the seed 7
    Then the platform soak has broken no promise and has served most requests

  # Guards against routes that are refused later than 2 s after they were added: the store resets, loses answers,
  # turns some VMs away and comes back older, and half of the VMs pause, end or are cut off from it.
  Scenario: a seeded soak of 6 VMs with faults of the store keeps all promises
    When the platform soak runs for 20 s with 6 VMs, faults of the store and the seed 100
    Then the platform soak has broken no promise and has served most requests

  # Guards against answers that look complete in the middle after a kill of their router (review/8): three
  # routers are killed while streams without a length are in progress.
  Scenario: a seeded soak of 4 VMs with kills in the middle of streams keeps all promises
    When the platform soak runs for 10 s with 4 VMs and the seed 4702
    Then the platform soak has broken no promise and has served most requests
