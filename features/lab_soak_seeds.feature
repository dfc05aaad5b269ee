Feature: seeds of the fault soak that have failed

  Scenario Outline: a seed that has failed breaks no promise any more
    Seed 401: a process was asked to stop while it loaded its modules, and
    ended as by a crash. Seed 409: one was told of changed settings then, and
    ended as well; its engine stayed at its weights.

    Given a soak of seed <seed> with faults for 10 s on the usual size
    Then every promise was kept, and results, calls and orders were checked

    Examples:
      | seed |
      | 401  |
      | 409  |
