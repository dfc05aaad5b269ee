Feature: when results are listed

  Scenario: a group that is whole just before the target waits for it
    A trainer waits for ten groups. Nine are listed, the tenth is whole, and
    the eleventh, which it needs as well, ends within half a second.

    Given a trainer that waits for 1 more group, which takes 400 ms
    Then what is whole waits, and is listed once it has waited for 1 s

  Scenario: nothing waits for a target that is far
    Given a trainer that waits for 1 more group, which takes 1200 ms
    Then what is whole is listed at once

  Scenario: nothing waits beyond the time at which the step is due
    Given a trainer that waits for 1 more group, which takes 400 ms
    Then what is whole is listed at once if the step is due

  Scenario: groups that came again are all waited for
    A trainer takes any of the others, but waits for each of those that it
    has handed in before.

    Given groups of 0.2 s, 0.3 s and 0.9 s, the last of which came again
    When the trainer waits for 1 other group
    Then its target takes 0.9 s

  Scenario: the end of a step reaches a trainer that reads twice a second
    Two groups end some tenths of a second after each other. A trainer's read
    waits for a second, returns with the first one, and the next may begin
    half a second after it did: the second group is read late, and the step
    that follows is handed in late, until steps are left out.

    Given a site and 8 steps whose two groups end 0.4 s apart
    When a trainer reads each of them twice a second
    Then a step ends at most 0.15 s after its last text, on average
