Feature: when results are listed

  Scenario: a group that is whole before the target waits for others
    A trainer waits for ten groups, and nine are listed or whole. What is
    listed now takes the read that waits; the tenth would be read late.

    Given results that are whole, and 1 of 10 groups that is missing
    Then they wait, and are listed once they have waited for 1 s
    And they are listed at once when the target is reached

  Scenario: nothing waits for a target that is far
    Given results that are whole, and 3 of 10 groups that are missing
    Then they are listed at once

  Scenario: nothing waits beyond the time at which the step is due
    Given results that are whole, and 1 of 10 groups that is missing
    Then they are listed at once if the step is due

  Scenario: groups that came again are all waited for
    A trainer takes any of the others, but waits for each of those that it
    has handed in before.

    Given a job of 4 groups with a target of 2, whose first one came again
    Then its target is not reached with 3 others whole
    And it is reached with the first one and another

  Scenario: the end of a step reaches a trainer that reads twice a second
    The last two groups end some tenths of a second after each other. A
    trainer's read waits for a second, returns with the first of them, and
    the next may begin half a second after it did: the last group is read
    late, and the step that follows is handed in late, until steps are left
    out.

    Given a site and 8 steps of 8 groups whose last two end 0.4 s apart
    When a trainer reads each of them twice a second
    Then a step ends at most 0.15 s after its last text, on average

  Scenario: what ends a step is shown at once, in however many records
    The last groups of a step are 500 kB, stored in two records. A reader
    that is woken by the first one gets a part of them, and begins its next
    read half a second later.

    Given a site whose last groups take two records, and a reader that waits
    Then its read shows all of them
