Feature: jobs whose owner changes, ends or stops

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
