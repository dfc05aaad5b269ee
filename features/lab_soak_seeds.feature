Feature: seeds of the fault soak that have failed

  Scenario Outline: a seed that has failed breaks no promise any more
    Seed 401: a process got the signal to stop while it loaded its modules, and
    ended as if it had crashed. Seed 409: a process got the signal to read its
    settings again at that time, and ended as well; its engine got no new
    weights. Seed 8133: two faults restarted one upstream at the same time, and
    the second start ended the run.

    Given a soak of seed <seed> with faults for 10 s on the default size
    Then every promise was kept, and results, calls and orders were checked

    Examples:
      | seed |
      | 401  |
      | 409  |
      | 8133 |
