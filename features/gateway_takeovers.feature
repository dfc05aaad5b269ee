Feature: jobs whose owner changes, starts again or stops

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

  Scenario: the end of a job reaches the owner that took it over
    A job is taken over, and its first owner starts anew. A trainer ends the
    job at an entry that knows only of the first owner, which says that it
    took the end. The second owner ran on until it looked by itself.

    Given a site whose job has a second owner and is ended at a third entry
    Then no engine works on its items half a second later

  Scenario: the end of a job reaches its owner from the one before
    A job is taken over and its first owner does not know. A trainer ends
    the job there: the first owner stopped its own items and told nobody.

    Given a site whose job is ended at an owner that was taken over
    Then no engine works on its items half a second later

  Scenario: an owner that gets its job back does not let go of it
    A job is taken over by an entry that stops at once, and hands it back to
    its first owner, which still runs it. The first owner then took its own
    new term for another's: it stopped all items until the next read.

    Given a site whose owner gets its job back before it knew of the loss
    Then its items run on while nobody reads

  Scenario: an entry that knows no manifest runs no job
    An entry starts again and reaches no store, while the others do and reach
    it. It is given a new job: it can start nothing, tells readers that it
    cannot tell, and after ten seconds takes the job's route for gone. Once
    it reaches the store it lists every item as lost.

    Given a site whose next owner starts again and is cut off from its store
    Then every item of the job is listed whole at another entry in time
    And none is listed as lost once the owner reaches the store

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

  Scenario: an entry that stops and is cut off lets go of its jobs soon
    An entry is asked to stop while neither the store nor another entry
    answers it. It tries to keep what its items have before it lets go of
    its jobs. Readers are answered meanwhile, so nobody takes the jobs over:
    the items were at no engine for as long as all its calls took together.

    Given a site whose owner is cut off both ways and asked to stop
    Then another entry has its items at work within 2 s

  Scenario: the end of a job reaches an entry that is loading it
    An entry takes a job over and the store is slow to list it. The job is
    ended meanwhile: the entry is told and has nothing to end. Then it runs
    the job, which it found before its end, until it looks by itself.

    Given a site whose job is ended while its next owner takes 1.4 s to load it
    Then no engine works on its items half a second later
