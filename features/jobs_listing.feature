Feature: time at which results are listed

  Scenario: groups that complete shortly before the target wait for the others
    A trainer waits for ten groups, and nine are listed or complete. Results
    that were listed now would end the read that waits, and the trainer would
    read the tenth group late.

    Given results of complete groups, and 1 of 10 groups that is missing
    Then they wait, and are listed once they have waited for 1 s
    And they are listed at once when the target is reached

  Scenario: no result waits while many groups are missing
    Given results of complete groups, and 3 of 10 groups that are missing
    Then they are listed at once

  Scenario: no result waits beyond the time at which its step is due
    Given results of complete groups, and 1 of 10 groups that is missing
    Then they are listed at once if the step is due

  Scenario: the target includes every resubmitted group
    A trainer accepts any of the new groups, but waits for each group that it
    has submitted in an earlier job.

    Given a job of 4 groups with a target of 2, whose first one was resubmitted
    Then its target is not reached with the 3 others complete
    And it is reached with the first one and another

  Scenario: a trainer that reads twice a second gets the end of a step in time
    The last two groups of a step become complete some tenths of a second
    after each other. A trainer's read waits for up to a second and returns
    with the first of them, and the next read may begin half a second after
    this one began. So the trainer would read the last group late and submit
    the next step late, until it has to skip steps.

    Given a site and 8 steps of 8 groups whose last two end 0.4 s apart
    When a trainer reads each of them twice a second
    Then a step ends at most 0.15 s after its last text, on average

  Scenario: one read returns the end of a step, from however many records
    The last groups of a step have 500 kB and are stored in two records. If
    the first record woke a reader, it would get a part of the results and
    begin its next read half a second later.

    Given a site where a step's last groups take two records, and a reader
    Then one read returns all of them
