Feature: jobs that come to an owner once more, or late

  Scenario: an ended job that is handed in again runs nothing
    A trainer ends a job and its owner starts anew. The job is handed in once
    more by a client that had no answer; the entry told the owner to run it,
    with no word of its end, and engines were at work for nobody.

    Given a site whose owner starts again and gets an ended job once more
    Then the job is taken and no engine works on its items

  Scenario: a job that is handed in again shows what was listed
    The owner starts anew while the store is slow to list. The job is handed
    in once more, and the owner took it for a new one: a reader was told that
    there is nothing at a position it had read, and items ran once more.

    Given a site whose owner starts again and gets a running job once more
    Then the second position is shown or not known, at every entry
    And no listed item runs a second time

  Scenario: a stopping entry does not run a job that is handed in again
    An entry stops and has handed its job over. The job is handed in once
    more there: it took it for a new one, ran it again and denied positions.

    Given a site whose only entry gets its job once more while it stops
    Then the second position is shown or not known, at every entry
    And no listed item runs a second time

  Scenario: a list of results that came late is no proof
    A second entry takes a job over, and the store's list of its results is
    seconds under way. Meanwhile the first owner lists two, and they are
    read. The second owner took its list for what the store has now, and
    denied a position that had been read two seconds before.

    Given a site whose second owner gets a list of results 2.5 s late
    Then the second position is shown or not known, at every entry

  Scenario: a job that is handed over late is looked up first
    An entry is given a new job after a while: it stood still, the sender
    gave up and ran the job. The entry took it for one with no results and
    denied a position that had been read.

    Given a site whose entry gets a new job after another has listed 2 results
    Then the second position is shown or not known, at every entry

  Scenario: a lookup that is answered late does not take a term back
    An owner was given its job back in a later term. A lookup that it began
    before that is answered seconds late, with the record of then. It took
    that for its own, and with the next look at the store it stopped.

    Given a site whose owner has its job in a later term, and an old record
    Then its term stays, and the job is listed whole
